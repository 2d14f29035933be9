//! Calls to application servers through routers.

use juniper_emulators::application::{Execution, Receipt, listing_text};
use juniper_types::{ServiceName, TenantName, ZoneName};
use reqwest::Method;
use tokio::time::{Instant, sleep, timeout};

use super::client::{AttemptError, Client, Next};
use super::executions::{Belief, CallRecord};
use super::outcome::{Ending, Outcome, RequestKind, Violation, ViolationKind};

/// Codes that leave it open whether the call has run, whatever is asked again.
const UNKNOWN_CODES: [&str; 3] = ["outcome_unknown", "back_end_failed", "deadline_passed"];

/// A call that is about to be made.
#[derive(Clone, Debug)]
pub struct ApplicationCall {
    /// Number of the request in the trace.
    pub number: usize,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Whose call.
    pub tenant: TenantName,
    /// Service.
    pub service: ServiceName,
    /// Path at the router.
    pub path: String,
    /// When the request arrived.
    pub arrived: Instant,
}

enum Reading {
    Answer(String),
    Broken(AttemptError),
}

impl ApplicationCall {
    async fn attempt(
        &self,
        client: &Client,
        attempt: u32,
        once: Option<(&str, &[u8])>,
    ) -> Option<Reading> {
        let router = client.router(&self.zone, self.number, attempt)?;
        let method = if once.is_some() { Method::POST } else { Method::GET };
        let mut call = client
            .call(method, router, &self.path, &self.tenant)
            .header("x-service", self.service.as_str());
        if let Some((key, body)) = once {
            call = call.header("idempotency-key", key).body(body.to_vec());
        }
        let response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return Some(Reading::Broken(error)),
        };
        let text = match timeout(client.patience.stall, response.text()).await {
            Err(_) => Reading::Broken(AttemptError::Stalled),
            Ok(Err(_)) => Reading::Broken(AttemptError::Broken),
            Ok(Ok(text)) => Reading::Answer(text),
        };
        Some(text)
    }

    fn outcome(&self, kind: RequestKind, ending: Ending, attempts: u32) -> Outcome {
        let total = self.arrived.elapsed();
        Outcome {
            kind,
            first: (ending == Ending::Complete).then_some(total),
            ending,
            total,
            attempts,
            resumed: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Fetches a listing, which may be repeated.
    pub async fn run_listing(self, client: &Client) -> Outcome {
        let (mut attempts, mut refusals) = (0, 0);
        let ending = loop {
            let Some(reading) = self.attempt(client, attempts, None).await else {
                break Ending::Failed("no_router".to_owned());
            };
            attempts += 1;
            let error = match reading {
                Reading::Answer(text) => break check_listing(&self.path, &text),
                Reading::Broken(error) => error,
            };
            match client.next(&error, self.arrived, &mut refusals) {
                Next::Again(pause) => sleep(pause).await,
                Next::Leave => break error.ending(),
            }
        };
        self.outcome(RequestKind::Listing, ending, attempts)
    }

    /// Makes a call that runs at most once, and asks for its answer until it is
    /// known or can't be known. Says what the caller may believe of its execution.
    pub async fn run_once(
        self,
        client: &Client,
        key: String,
        body: Vec<u8>,
    ) -> (Outcome, CallRecord) {
        let (mut attempts, mut refusals) = (0, 0);
        let mut belief = Belief::NotRun;
        let ending = loop {
            let Some(reading) = self.attempt(client, attempts, Some((&key, &body))).await else {
                break Ending::Failed("no_router".to_owned());
            };
            attempts += 1;
            let error = match reading {
                Reading::Answer(text) => {
                    belief = Belief::Run;
                    break self.check_receipt(&key, &body, &text);
                }
                Reading::Broken(error) => error,
            };
            belief = belief.after(&error);
            match client.next(&error, self.arrived, &mut refusals) {
                Next::Again(pause) => sleep(pause).await,
                Next::Leave => break leave_once(&error, belief),
            }
        };
        let execution = Execution { tenant: self.tenant.to_string(), key };
        let record = CallRecord { execution, belief };
        (self.outcome(RequestKind::AtMostOnce, ending, attempts), record)
    }

    fn check_receipt(&self, key: &str, body: &[u8], text: &str) -> Ending {
        let wanted = Receipt::of(self.tenant.as_str(), key, &self.path, body);
        match serde_json::from_str::<Receipt>(text) {
            Ok(receipt) if receipt == wanted => Ending::Complete,
            _ => Ending::Violated(Violation::new(
                ViolationKind::WrongContent,
                format!("wanted={wanted:?} got={text:?}"),
            )),
        }
    }
}

fn check_listing(path: &str, text: &str) -> Ending {
    if text == listing_text(path) {
        return Ending::Complete;
    }
    let detail = format!("path={path} bytes={}", text.len());
    Ending::Violated(Violation::new(ViolationKind::WrongContent, detail))
}

fn leave_once(error: &AttemptError, belief: Belief) -> Ending {
    match (error, belief) {
        (AttemptError::Refused(detail), Belief::NotRun) => Ending::Refused(detail.code.clone()),
        (AttemptError::Refused(detail), _) if UNKNOWN_CODES.contains(&detail.code.as_str()) => {
            Ending::Unknown(detail.code.clone())
        }
        (other, Belief::NotRun) => Ending::Failed(other.to_string()),
        (other, _) => Ending::Unknown(other.to_string()),
    }
}
