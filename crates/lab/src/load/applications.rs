//! Requests to application servers through routers.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::application::{Execution, Receipt, listing_text};
use reqwest::{Method, RequestBuilder};
use tokio::time::timeout;

use super::client::{AttemptError, Client};
use super::executions::{Belief, CallRecord};
use super::outcome::{Ending, Outcome, RequestKind, Violation, ViolationKind};
use super::retry::{AttemptResult, Caller, RetriedRequest, run_with_retries};

/// Sends `call` and waits for the whole text of its answer.
async fn fetch(client: &Client, call: RequestBuilder) -> Result<String, AttemptError> {
    let response = client.send(call).await?;
    match timeout(client.retry_policy.stall, response.text()).await {
        Err(_) => Err(AttemptError::Stalled),
        Ok(Err(_)) => Err(AttemptError::Broken),
        Ok(Ok(text)) => Ok(text),
    }
}

/// A listing request in flight; safe to retry.
#[derive(Clone, Debug)]
pub struct ListingCall {
    caller: Caller,
    path: String,
    first: Option<Duration>,
}

impl ListingCall {
    /// Creates the request for the listing under `path`.
    pub fn new(caller: Caller, path: String) -> Self {
        ListingCall { caller, path, first: None }
    }

    /// Retries until the listing is received or the caller gives up.
    pub async fn run(mut self, client: &Client) -> Outcome {
        run_with_retries(&mut self, client).await
    }
}

impl RetriedRequest for ListingCall {
    const KIND: RequestKind = RequestKind::Listing;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> AttemptResult {
        let call = self.caller.call(client, Method::GET, router, &self.path);
        let text = match fetch(client, call).await {
            Ok(text) => text,
            Err(error) => return AttemptResult::Broken(error),
        };
        self.first = Some(self.caller.arrived.elapsed());
        if text == listing_text(&self.path) {
            return AttemptResult::Complete;
        }
        let detail = format!("path={} bytes={}", self.path, text.len());
        AttemptResult::Violated(Violation::new(ViolationKind::WrongContent, detail))
    }

    fn is_partial(&self) -> bool {
        false
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }
}

/// An at-most-once request in flight.
#[derive(Clone, Debug)]
pub struct AtMostOnceCall {
    caller: Caller,
    path: String,
    key: String,
    body: Vec<u8>,
    belief: Belief,
    first: Option<Duration>,
}

impl AtMostOnceCall {
    /// Creates the call to `path` with `body` and the idempotency key `key`.
    pub fn new(caller: Caller, path: String, key: String, body: Vec<u8>) -> Self {
        AtMostOnceCall { caller, path, key, body, belief: Belief::NotRun, first: None }
    }

    /// Retries until the call is answered or the caller gives up. Also returns
    /// the execution state that the answers imply.
    pub async fn run(mut self, client: &Client) -> (Outcome, CallRecord) {
        let outcome = run_with_retries(&mut self, client).await;
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

impl RetriedRequest for AtMostOnceCall {
    const KIND: RequestKind = RequestKind::AtMostOnce;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> AttemptResult {
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
                AttemptResult::Broken(error)
            }
        }
    }

    fn is_partial(&self) -> bool {
        false
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Considers all attempts, since an earlier one may have left the execution
    /// unknown.
    fn ending_after(&self, error: &AttemptError) -> Ending {
        match self.belief {
            Belief::NotRun => error.ending(),
            Belief::Run | Belief::Open => Ending::Unknown(error.to_string()),
        }
    }
}
