//! Calls to application servers through routers.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::application::{Execution, Receipt, listing_text};
use reqwest::{Method, RequestBuilder};
use tokio::time::timeout;

use super::client::{AttemptError, Client};
use super::executions::{Belief, CallRecord};
use super::outcome::{Ending, Outcome, RequestKind, Violation, ViolationKind};
use super::persist::{Caller, Persistent, Reading, persist};

/// Sends `call` and waits for the whole text of its answer.
async fn fetch(client: &Client, call: RequestBuilder) -> Result<String, AttemptError> {
    let response = client.send(call).await?;
    match timeout(client.patience.stall, response.text()).await {
        Err(_) => Err(AttemptError::Stalled),
        Ok(Err(_)) => Err(AttemptError::Broken),
        Ok(Ok(text)) => Ok(text),
    }
}

/// A listing under way; it may be repeated.
#[derive(Clone, Debug)]
pub struct ListingCall {
    caller: Caller,
    path: String,
    first: Option<Duration>,
}

impl ListingCall {
    /// The listing under `path`.
    pub fn new(caller: Caller, path: String) -> Self {
        ListingCall { caller, path, first: None }
    }

    /// Fetches until the listing has come or the caller gives up.
    pub async fn run(mut self, client: &Client) -> Outcome {
        persist(&mut self, client).await
    }
}

impl Persistent for ListingCall {
    const KIND: RequestKind = RequestKind::Listing;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> Reading {
        let call = self.caller.call(client, Method::GET, router, &self.path);
        let text = match fetch(client, call).await {
            Ok(text) => text,
            Err(error) => return Reading::Broken(error),
        };
        self.first = Some(self.caller.arrived.elapsed());
        if text == listing_text(&self.path) {
            return Reading::Complete;
        }
        let detail = format!("path={} bytes={}", self.path, text.len());
        Reading::Violated(Violation::new(ViolationKind::WrongContent, detail))
    }

    fn has_begun(&self) -> bool {
        false
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }
}

/// A call that runs at most once, under way.
#[derive(Clone, Debug)]
pub struct OnceCall {
    caller: Caller,
    path: String,
    key: String,
    body: Vec<u8>,
    belief: Belief,
    first: Option<Duration>,
}

impl OnceCall {
    /// The call to `path` with `body` under the idempotency key `key`.
    pub fn new(caller: Caller, path: String, key: String, body: Vec<u8>) -> Self {
        OnceCall { caller, path, key, body, belief: Belief::NotRun, first: None }
    }

    /// Asks until the answer is known, or can't be known. Says also what the
    /// caller may believe of the call's execution.
    pub async fn run(mut self, client: &Client) -> (Outcome, CallRecord) {
        let outcome = persist(&mut self, client).await;
        let execution = Execution { tenant: self.caller.tenant.to_string(), key: self.key };
        (outcome, CallRecord { execution, belief: self.belief })
    }

    fn check(&self, text: &str) -> Result<(), Violation> {
        let tenant = self.caller.tenant.as_str();
        let wanted = Receipt::of(tenant, &self.key, &self.path, &self.body);
        match serde_json::from_str::<Receipt>(text) {
            Ok(receipt) if receipt == wanted => Ok(()),
            _ => {
                let detail = format!("wanted={wanted:?} got={text:?}");
                Err(Violation::new(ViolationKind::WrongContent, detail))
            }
        }
    }
}

impl Persistent for OnceCall {
    const KIND: RequestKind = RequestKind::AtMostOnce;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> Reading {
        let call = self
            .caller
            .call(client, Method::POST, router, &self.path)
            .header("idempotency-key", &self.key)
            .body(self.body.clone());
        match fetch(client, call).await {
            Ok(text) => {
                self.belief = Belief::Run;
                self.first = Some(self.caller.arrived.elapsed());
                self.check(&text).into()
            }
            Err(error) => {
                self.belief = self.belief.after(&error);
                Reading::Broken(error)
            }
        }
    }

    fn has_begun(&self) -> bool {
        false
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Whatever the last answer said, an earlier attempt may have left it open.
    fn given_up(&self, error: &AttemptError) -> Ending {
        match self.belief {
            Belief::NotRun => error.ending(),
            Belief::Run | Belief::Open => Ending::Unknown(error.to_string()),
        }
    }
}
