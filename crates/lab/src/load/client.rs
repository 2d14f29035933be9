//! A caller of the routers: whom it asks, and how long it waits.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use juniper_types::{TenantName, ZoneName};
use reqwest::{RequestBuilder, Response};
use tokio::time::{Instant, timeout};

use super::outcome::Ending;
use super::stream::{ErrorBody, ErrorDetail};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before another router is asked after a broken connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause that a caller takes because a router told it to come back later.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Code of a router that is stopping: another one serves.
const STOPPING: &str = "stopping";

/// Code of a stream that can't go on with the weights it began with.
const WEIGHTS_CHANGED: &str = "weights_changed";

/// A router and the zone that it stands in, if known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterTarget {
    /// Zone; callers of the same zone prefer it.
    pub zone: Option<ZoneName>,
    /// Where callers reach it.
    pub address: SocketAddr,
}

/// A text is no router.
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

/// How callers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Time after which a caller gives up.
    pub total: Duration,
    /// Time without a byte after which a caller asks another router.
    pub stall: Duration,
    /// Refusals with "come back later" that a caller obeys before it leaves.
    pub refusals: u32,
}

impl Default for Patience {
    /// A minute in all; a third of it in silence; one refusal.
    fn default() -> Self {
        Patience { total: Duration::from_secs(60), stall: Duration::from_secs(20), refusals: 1 }
    }
}

/// Why one attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptError {
    /// No connection came about: nothing was sent.
    #[error("not reached")]
    NotReached,
    /// The connection broke.
    #[error("connection broken")]
    Broken,
    /// Nothing came for too long.
    #[error("stalled")]
    Stalled,
    /// The router answered with an error.
    #[error("{}", .0.code)]
    Refused(ErrorDetail),
}

impl AttemptError {
    /// How a repeatable request ends that is given up after this.
    pub fn ending(&self) -> Ending {
        match self {
            AttemptError::Refused(detail) if detail.not_run => Ending::Refused(detail.code.clone()),
            other => Ending::Failed(other.to_string()),
        }
    }
}

/// What a caller does after an attempt that brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask again after this time.
    Again(Duration),
    /// Leave.
    Leave,
}

/// All callers of one run.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    routers: Vec<RouterTarget>,
    key_prefix: String,
    /// How callers behave.
    pub patience: Patience,
}

impl Client {
    /// Callers that ask `routers`. The API key of a tenant is `key_prefix` and its name.
    ///
    /// # Errors
    /// Fails when the HTTP client can't be set up.
    pub fn new(
        routers: Vec<RouterTarget>,
        key_prefix: String,
        patience: Patience,
    ) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).build()?;
        Ok(Client { http, routers, key_prefix, patience })
    }

    /// The router for attempt number `attempt` of a caller in `zone`: its own
    /// zone's routers first, then the others.
    pub fn router(&self, zone: &ZoneName, number: usize, attempt: u32) -> Option<SocketAddr> {
        let is_near = |target: &&RouterTarget| target.zone.as_ref().is_none_or(|z| z == zone);
        let (near, far): (Vec<_>, Vec<_>) = self.routers.iter().partition(is_near);
        let order: Vec<_> = rotated(near, number).chain(rotated(far, number)).collect();
        let place = (attempt as usize).checked_rem(order.len())?;
        order.get(place).map(|target| target.address)
    }

    /// A call as `tenant`.
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

    /// Sends a call and waits for the head of its answer.
    ///
    /// # Errors
    /// Fails when there is none, or when it is an error.
    pub async fn send(&self, call: RequestBuilder) -> Result<Response, AttemptError> {
        let response = match timeout(self.patience.stall, call.send()).await {
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

    /// What to do after `error`, the caller having obeyed `refusals` before.
    pub fn next(&self, error: &AttemptError, started: Instant, refusals: &mut u32) -> Next {
        let pause = match error {
            AttemptError::NotReached | AttemptError::Broken | AttemptError::Stalled => {
                RECONNECT_PAUSE
            }
            AttemptError::Refused(detail) if detail.code == STOPPING => RECONNECT_PAUSE,
            AttemptError::Refused(detail) if detail.code == WEIGHTS_CHANGED => RECONNECT_PAUSE,
            AttemptError::Refused(detail) => {
                let Some(after) = detail.retry_after_ms else { return Next::Leave };
                *refusals += 1;
                if *refusals > self.patience.refusals {
                    return Next::Leave;
                }
                Duration::from_millis(after).min(MAX_RETRY_PAUSE)
            }
        };
        if started.elapsed() + pause >= self.patience.total {
            return Next::Leave;
        }
        Next::Again(pause)
    }
}

/// `targets`, begun at another one for each request, so that all share the load.
fn rotated(mut targets: Vec<&RouterTarget>, number: usize) -> impl Iterator<Item = &RouterTarget> {
    let shift = number.checked_rem(targets.len()).unwrap_or(0);
    targets.rotate_left(shift);
    targets.into_iter()
}
