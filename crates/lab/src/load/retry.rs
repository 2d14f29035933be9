//! Retries a request until it is completed or given up.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_types::{ServiceName, TenantName, ZoneName};
use reqwest::{Method, RequestBuilder};
use tokio::time::{Instant, sleep};

use super::client::{AttemptError, Client, RetryDecision};
use super::outcome::{Ending, Outcome, RequestKind, Violation};

/// Caller, target service and arrival time of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number of the request in the trace.
    pub number: usize,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Tenant of the caller.
    pub tenant: TenantName,
    /// Requested service.
    pub service: ServiceName,
    /// Arrival time of the request.
    pub arrived: Instant,
}

impl Caller {
    /// Builds a call to `router` for this caller's tenant and service.
    pub fn call(
        &self,
        client: &Client,
        method: Method,
        router: SocketAddr,
        path: &str,
    ) -> RequestBuilder {
        let call = client.call(method, router, path, &self.tenant);
        call.header("x-service", self.service.as_str())
    }
}

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The answer is complete.
    Complete,
    /// The answer is incomplete; a retry may bring the rest.
    Broken(AttemptError),
    /// The answer violates a guarantee.
    Violated(Violation),
}

impl From<Result<(), Violation>> for AttemptResult {
    fn from(checked: Result<(), Violation>) -> Self {
        match checked {
            Ok(()) => AttemptResult::Complete,
            Err(violation) => AttemptResult::Violated(violation),
        }
    }
}

/// A request that may take several attempts.
pub trait RetriedRequest: Send {
    /// Kind of the request.
    const KIND: RequestKind;

    /// Caller of the request.
    fn caller(&self) -> &Caller;

    /// Requests the missing part of the answer from `router`.
    fn attempt(
        &mut self,
        client: &Client,
        router: SocketAddr,
    ) -> impl Future<Output = AttemptResult> + Send;

    /// Whether part of the answer was received.
    fn is_partial(&self) -> bool;

    /// Time from arrival to the first piece of the answer.
    fn first(&self) -> Option<Duration>;

    /// Outcome of the request if the caller gives up after `error`.
    fn ending_after(&self, error: &AttemptError) -> Ending {
        error.ending()
    }
}

/// Tries one router after the other until the answer is complete or violates a
/// guarantee, or the caller gives up.
pub async fn run_with_retries<R: RetriedRequest>(request: &mut R, client: &Client) -> Outcome {
    let Caller { number, zone, arrived, .. } = request.caller().clone();
    let (mut attempts, mut resumed, mut refusals) = (0, 0, 0);
    let ending = loop {
        let Some(router) = client.router(&zone, number, attempts) else {
            break Ending::Failed("no_router".to_owned());
        };
        attempts += 1;
        resumed += u32::from(request.is_partial());
        let error = match request.attempt(client, router).await {
            AttemptResult::Complete => break Ending::Complete,
            AttemptResult::Violated(violation) => break Ending::Violated(violation),
            AttemptResult::Broken(error) => error,
        };
        match client.decide_retry(&error, arrived, &mut refusals) {
            RetryDecision::Retry(delay) => sleep(delay).await,
            RetryDecision::GiveUp => break request.ending_after(&error),
        }
    };
    Outcome {
        kind: R::KIND,
        ending,
        first: request.first(),
        total: arrived.elapsed(),
        attempts,
        resumed,
        prompt_tokens: 0,
        cached_tokens: 0,
    }
}
