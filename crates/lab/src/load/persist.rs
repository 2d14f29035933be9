//! Asks again until a request has ended.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_types::{ServiceName, TenantName, ZoneName};
use reqwest::{Method, RequestBuilder};
use tokio::time::{Instant, sleep};

use super::client::{AttemptError, Client, Next};
use super::outcome::{Ending, Outcome, RequestKind, Violation};

/// Who asks, and since when.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number of the request in the trace.
    pub number: usize,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Whose request.
    pub tenant: TenantName,
    /// Service asked for.
    pub service: ServiceName,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Caller {
    /// A call to `router` for this caller's tenant and service.
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

/// How one attempt ended.
#[derive(Debug)]
pub enum Reading {
    /// The whole answer has come.
    Complete,
    /// It has not, and another attempt may bring the rest.
    Broken(AttemptError),
    /// Something came that must never come.
    Violated(Violation),
}

impl From<Result<(), Violation>> for Reading {
    fn from(checked: Result<(), Violation>) -> Self {
        match checked {
            Ok(()) => Reading::Complete,
            Err(violation) => Reading::Violated(violation),
        }
    }
}

/// A request that may take several attempts.
pub trait Persistent: Send {
    /// Its kind.
    const KIND: RequestKind;

    /// Who asks.
    fn caller(&self) -> &Caller;

    /// Asks `router` for what is still lacking.
    fn attempt(
        &mut self,
        client: &Client,
        router: SocketAddr,
    ) -> impl Future<Output = Reading> + Send;

    /// Whether part of the answer has come.
    fn has_begun(&self) -> bool;

    /// From arrival to the first piece of the answer.
    fn first(&self) -> Option<Duration>;

    /// How the request ends when it is given up after `error`.
    fn given_up(&self, error: &AttemptError) -> Ending {
        error.ending()
    }
}

/// Asks one router after the other until the answer is complete, must not be
/// taken, or the caller's patience is at its end.
pub async fn persist<R: Persistent>(request: &mut R, client: &Client) -> Outcome {
    let Caller { number, zone, arrived, .. } = request.caller().clone();
    let (mut attempts, mut resumed, mut refusals) = (0, 0, 0);
    let ending = loop {
        let Some(router) = client.router(&zone, number, attempts) else {
            break Ending::Failed("no_router".to_owned());
        };
        attempts += 1;
        resumed += u32::from(request.has_begun());
        let error = match request.attempt(client, router).await {
            Reading::Complete => break Ending::Complete,
            Reading::Violated(violation) => break Ending::Violated(violation),
            Reading::Broken(error) => error,
        };
        match client.next(&error, arrived, &mut refusals) {
            Next::Again(pause) => sleep(pause).await,
            Next::Leave => break request.given_up(&error),
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
