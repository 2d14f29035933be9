//! One attempt on one engine: the call, its errors, and its cancel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_routing::drain::DepartureSource;
use juniper_types::RequestId;
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use super::job::{CHAT_PATH, ChatJob};
use crate::access::REQUEST_ID_HEADER;
use crate::crashes::SentTo;
use crate::engines::Dispatch;
use crate::shared::Shared;

/// Error code of an engine that takes no new work.
const LEAVING_CODE: &str = "leaving";

/// Time within which an engine must take a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why one attempt on an engine ended early.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AttemptError {
    #[error("engine ran nothing: {0}")]
    NotRun(String),
    #[error("engine can't be reached")]
    Unreachable,
    #[error("connection to the engine broke")]
    Broken,
    #[error("engine sent an invalid stream")]
    Invalid,
    #[error("engine refused the request")]
    Rejected(String),
    #[error("deadline passed")]
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

/// An engine that has taken the request.
pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) dispatch: Dispatch,
    pub(super) sent: SentTo,
    pub(super) response: reqwest::Response,
    pub(super) cancel: CancelGuard,
}

/// Cancels the attempt on the engine unless it has ended there by itself.
pub(super) struct CancelGuard {
    http: reqwest::Client,
    url: String,
    armed: bool,
}

impl CancelGuard {
    /// The engine has ended the attempt itself.
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
    shared: &Arc<Shared>,
    job: &ChatJob,
    dispatch: Dispatch,
    from: u64,
) -> Result<Attempt, AttemptError> {
    let engine = dispatch.decision.engine;
    if !dispatch.wait_for_prefix().await {
        return Err(AttemptError::NotRun(LEAVING_CODE.to_owned()));
    }
    let address = shared.back_ends.address(engine).ok_or(AttemptError::Unreachable)?;
    let id = RequestId(rand::random());
    let url = format!("http://{address}/v1/requests/{id}/cancel");
    let mut cancel = CancelGuard { http: shared.http.clone(), url, armed: true };
    let (back_end, incarnation) = (engine, dispatch.decision.incarnation);
    let sent = SentTo { back_end, address, incarnation, sent_at: shared.crashes.now() };
    let request = engine_request(shared, job, &dispatch, address, id, from);
    let response = match timeout_at(job.deadline, request.send()).await {
        Err(_) => return Err(AttemptError::Deadline),
        Ok(Err(error)) if error.is_connect() => {
            cancel.armed = false;
            return Err(AttemptError::Unreachable);
        }
        Ok(Err(_)) => {
            shared.crashes.note_cut(&job.request_id.to_string(), &job.asked(), sent);
            return Err(AttemptError::Broken);
        }
        Ok(Ok(response)) => response,
    };
    if response.status().is_success() {
        return Ok(Attempt { id, dispatch, sent, response, cancel });
    }
    let is_client_error = response.status().is_client_error();
    let body: EngineErrorBody = response.json().await.unwrap_or_default();
    cancel.armed = !body.error.not_run;
    if body.error.code == LEAVING_CODE {
        shared.plane.engines.set_leaving(engine, DepartureSource::Engine, true);
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
    shared: &Shared,
    job: &ChatJob,
    dispatch: &Dispatch,
    address: SocketAddr,
    id: RequestId,
    from: u64,
) -> reqwest::RequestBuilder {
    let settings = &job.plan.settings;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let mut request = shared
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
    // The engine refuses the request if it has restarted since.
    if let Some(incarnation) = dispatch.decision.incarnation {
        request = request.header("x-engine-incarnation", incarnation.to_string());
    }
    request
}
