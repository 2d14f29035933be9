//! One attempt of a chat completion on one engine, and its cancellation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_routing::drain::DepartureSource;
use juniper_types::{RequestId, SoftwareVersion};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use super::job::{CHAT_PATH, ChatJob};
use crate::access::REQUEST_ID_HEADER;
use crate::crashes::SentAttempt;
use crate::engines::Dispatch;
use crate::router_state::RouterState;

/// Error code of an engine that refuses new requests because it is leaving.
const LEAVING_CODE: &str = "leaving";

/// Header in which engines state their software version.
const SOFTWARE_HEADER: &str = "x-engine-software";

/// Timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of one attempt on an engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    #[error("the engine did not run the request: {0}")]
    NotRun(String),
    #[error("the engine is unreachable")]
    Unreachable,
    #[error("the connection to the engine broke")]
    Broken,
    #[error("the engine sent an invalid stream")]
    Invalid,
    #[error("the engine runs another software version")]
    OtherSoftware,
    #[error("the engine rejected the request as invalid")]
    Rejected(String),
    #[error("the deadline passed")]
    Deadline,
}

#[derive(Deserialize, Default)]
struct EngineErrorBody {
    error: EngineErrorDetail,
}

#[derive(Deserialize, Default)]
struct EngineErrorDetail {
    #[serde(default)]
    code: String,
    #[serde(default)]
    not_run: bool,
}

/// An attempt that the engine has accepted.
pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) dispatch: Dispatch,
    pub(super) sent: SentAttempt,
    pub(super) response: reqwest::Response,
    /// Software version that the engine states in its answer, if any.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) cancel: CancelGuard,
    /// Whether the engine generates the answer from its first token.
    pub(super) is_whole: bool,
}

/// Cancels the attempt on the engine when dropped, unless disarmed.
pub(super) struct CancelGuard {
    http: reqwest::Client,
    url: String,
    armed: bool,
}

impl CancelGuard {
    /// Disarms the guard because the attempt has ended on the engine.
    pub(super) fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let request = self.http.post(&self.url).timeout(CANCEL_TIMEOUT);
        tokio::spawn(async move {
            if let Err(error) = request.send().await {
                log::debug!("event=cancel_failed reason=\"{error}\"");
            }
        });
    }
}

/// Sends the request to the engine of `dispatch`.
pub(super) async fn try_engine(
    state: &Arc<RouterState>,
    job: &ChatJob,
    dispatch: Dispatch,
    from: u64,
) -> Result<Attempt, AttemptError> {
    let engine = dispatch.decision.engine;
    if !dispatch.wait_for_prefix().await {
        return Err(AttemptError::NotRun(LEAVING_CODE.to_owned()));
    }
    let address = state.back_ends.address(engine).ok_or(AttemptError::Unreachable)?;
    let id = RequestId(rand::random());
    let url = format!("http://{address}/v1/requests/{id}/cancel");
    let mut cancel = CancelGuard { http: state.http.clone(), url, armed: true };
    let (back_end, incarnation) = (engine, dispatch.decision.incarnation);
    let sent = SentAttempt { back_end, address, incarnation, sent_at: state.crashes.now() };
    let request = engine_request(state, job, &dispatch, address, id, from);
    let response = match timeout_at(job.deadline, request.send()).await {
        Err(_) => return Err(AttemptError::Deadline),
        Ok(Err(error)) if error.is_connect() => {
            cancel.armed = false;
            return Err(AttemptError::Unreachable);
        }
        Ok(Err(_)) => {
            state.crashes.record_interrupted(&job.request_id.to_string(), &job.identity(), sent);
            return Err(AttemptError::Broken);
        }
        Ok(Ok(response)) => response,
    };
    if response.status().is_success() {
        let is_whole = from == 0;
        let header = response.headers().get(SOFTWARE_HEADER);
        let software = header.and_then(|it| it.to_str().ok()).and_then(SoftwareVersion::new);
        return Ok(Attempt { id, dispatch, sent, response, software, cancel, is_whole });
    }
    let is_client_error = response.status().is_client_error();
    let body: EngineErrorBody = response.json().await.unwrap_or_default();
    cancel.armed = !body.error.not_run;
    if body.error.code == LEAVING_CODE {
        state.plane.engines.set_leaving(engine, DepartureSource::Engine, true);
    }
    if body.error.not_run {
        return Err(AttemptError::NotRun(body.error.code));
    }
    if is_client_error {
        return Err(AttemptError::Rejected(body.error.code));
    }
    Err(AttemptError::Broken)
}

fn engine_request(
    state: &RouterState,
    job: &ChatJob,
    dispatch: &Dispatch,
    address: SocketAddr,
    id: RequestId,
    from: u64,
) -> reqwest::RequestBuilder {
    let settings = &job.plan.settings;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let mut request = state
        .http
        .post(format!("http://{address}{CHAT_PATH}"))
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, id.to_string())
        .header("x-cache-tenant", job.tenant.as_str())
        .header("x-cache-weights", settings.weights.0.to_string())
        .header("x-priority", settings.priority.to_string())
        .header("x-deadline-ms", remaining.as_millis().to_string())
        .header("x-expected-blocks", dispatch.decision.expected_blocks.to_string())
        .header("x-resume-from", from.to_string())
        .body(job.chat.engine_body.clone());
    if let Some(adapter) = settings.adapter() {
        request = request.header("x-cache-adapter", adapter.as_str());
    }
    // An engine that has restarted since the decision refuses the request.
    if let Some(incarnation) = dispatch.decision.incarnation {
        request = request.header("x-engine-incarnation", incarnation.to_string());
    }
    request
}
