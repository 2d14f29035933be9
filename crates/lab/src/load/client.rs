//! HTTP client for the routers: router selection, timeouts and retries.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use juniper_types::{TenantName, ZoneName};
use reqwest::{RequestBuilder, Response};
use tokio::time::{Instant, timeout};

use super::outcome::Ending;
use super::stream::{ErrorBody, ErrorDetail};

/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a retry at another router after a broken connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Upper bound on the Retry-After delay that a caller obeys.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Error code of a router that is shutting down; another one can serve.
const STOPPING_CODE: &str = "stopping";

/// Error code of a stream that can't be resumed with the model weights it started with.
const WEIGHTS_CHANGED_CODE: &str = "weights_changed";

/// Address of a router and its zone, if known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterTarget {
    /// Zone of the router; callers of the same zone prefer it.
    pub zone: Option<ZoneName>,
    /// Address for callers.
    pub address: SocketAddr,
}

/// Malformed router argument.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a router is given as ADDRESS or ZONE=ADDRESS")]
pub struct RouterTargetError;

impl FromStr for RouterTarget {
    type Err = RouterTargetError;

    fn from_str(text: &str) -> Result<Self, RouterTargetError> {
        let (zone, address) = match text.split_once('=') {
            Some((zone, address)) => {
                (Some(ZoneName::new(zone).map_err(|_| RouterTargetError)?), address)
            }
            None => (None, text),
        };
        let address = address.parse().map_err(|_| RouterTargetError)?;
        Ok(RouterTarget { zone, address })
    }
}

/// Timeouts and retry limit of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Total time after which a caller gives up.
    pub total: Duration,
    /// Time without a byte after which a caller retries at another router.
    pub stall: Duration,
    /// Refusals with Retry-After that a caller obeys before giving up.
    pub refusals: u32,
}

impl Default for RetryPolicy {
    /// One minute in total, 20 seconds without a byte, one refusal.
    fn default() -> Self {
        RetryPolicy { total: Duration::from_secs(60), stall: Duration::from_secs(20), refusals: 1 }
    }
}

/// Failure of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// Connecting failed; nothing was sent.
    #[error("not reached")]
    NotReached,
    /// The connection broke.
    #[error("connection broken")]
    Broken,
    /// No byte arrived within the stall timeout.
    #[error("stalled")]
    Stalled,
    /// The router answered with an error.
    #[error("{}", .0.code)]
    Refused(ErrorDetail),
}

impl AttemptError {
    /// Outcome of a repeatable request that is given up after this error.
    pub fn ending(&self) -> Ending {
        match self {
            AttemptError::Refused(detail) if detail.not_run => Ending::Refused(detail.code.clone()),
            other => Ending::Failed(other.to_string()),
        }
    }
}

/// Reaction of a caller to a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this delay.
    Retry(Duration),
    /// Give up.
    GiveUp,
}

/// Client shared by all callers of one run.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    routers: Vec<RouterTarget>,
    key_prefix: String,
    /// Timeouts and retry limit of callers.
    pub retry_policy: RetryPolicy,
}

impl Client {
    /// Creates callers of `routers`. A tenant's API key is `key_prefix` followed by the tenant's name.
    ///
    /// # Errors
    /// Fails when the HTTP client can't be set up.
    pub fn new(
        routers: Vec<RouterTarget>,
        key_prefix: String,
        retry_policy: RetryPolicy,
    ) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build()?;
        Ok(Client { http, routers, key_prefix, retry_policy })
    }

    /// Selects the router for attempt number `attempt` of a caller in `zone`:
    /// routers of the same zone first, then the others.
    pub fn router(&self, zone: &ZoneName, number: usize, attempt: u32) -> Option<SocketAddr> {
        let is_near = |target: &&RouterTarget| target.zone.as_ref().is_none_or(|z| z == zone);
        let (near, far): (Vec<_>, Vec<_>) = self.routers.iter().partition(is_near);
        let order: Vec<_> = rotated(near, number).chain(rotated(far, number)).collect();
        let index = (attempt as usize).checked_rem(order.len())?;
        order.get(index).map(|target| target.address)
    }

    /// Builds a call as `tenant`.
    pub fn call(
        &self,
        method: reqwest::Method,
        router: SocketAddr,
        path: &str,
        tenant: &TenantName,
    ) -> RequestBuilder {
        let key = format!("{}{tenant}", self.key_prefix);
        self.http.request(method, format!("http://{router}{path}")).bearer_auth(key)
    }

    /// Sends a call and waits for the response head.
    ///
    /// # Errors
    /// Fails when no response head arrives, or with an error status.
    pub async fn send(&self, call: RequestBuilder) -> Result<Response, AttemptError> {
        let response = match timeout(self.retry_policy.stall, call.send()).await {
            Err(_) => return Err(AttemptError::Stalled),
            Ok(Err(error)) if error.is_connect() => return Err(AttemptError::NotReached),
            Ok(Err(_)) => return Err(AttemptError::Broken),
            Ok(Ok(response)) => response,
        };
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let body: ErrorBody = response.json().await.unwrap_or_default();
        let mut detail = body.error;
        if detail.code.is_empty() {
            detail.code = format!("status_{}", status.as_u16());
        }
        Err(AttemptError::Refused(detail))
    }

    /// Decides the reaction to `error` after `refusals` obeyed refusals.
    pub fn decide_retry(
        &self,
        error: &AttemptError,
        started: Instant,
        refusals: &mut u32,
    ) -> RetryDecision {
        let delay = match error {
            AttemptError::NotReached | AttemptError::Broken | AttemptError::Stalled => {
                RECONNECT_DELAY
            }
            AttemptError::Refused(detail) if detail.code == STOPPING_CODE => RECONNECT_DELAY,
            AttemptError::Refused(detail) if detail.code == WEIGHTS_CHANGED_CODE => RECONNECT_DELAY,
            AttemptError::Refused(detail) => {
                let Some(after) = detail.retry_after_ms else { return RetryDecision::GiveUp };
                *refusals += 1;
                if *refusals > self.retry_policy.refusals {
                    return RetryDecision::GiveUp;
                }
                Duration::from_millis(after).min(MAX_RETRY_DELAY)
            }
        };
        if started.elapsed() + delay >= self.retry_policy.total {
            return RetryDecision::GiveUp;
        }
        RetryDecision::Retry(delay)
    }
}

/// Rotates `targets` by request to spread the load.
fn rotated(mut targets: Vec<&RouterTarget>, number: usize) -> impl Iterator<Item = &RouterTarget> {
    let shift = number.checked_rem(targets.len()).unwrap_or(0);
    targets.rotate_left(shift);
    targets.into_iter()
}
