//! Search for a preview server that answers a request.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use juniper_settings::BackEndKind;
use juniper_types::{EngineId, RequestId, TenantName};
use tokio::time::timeout;

use crate::backends::Lease;
use crate::crashes::{RequestIdentity, SentAttempt, request_identity};
use crate::error::RequestError;
use crate::router_state::RouterState;

/// Maximum number of servers tried for one preview.
const MAX_ATTEMPTS: usize = 4;

/// Timeout of the response head, and gap in a stream after which another server is looked for.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay suggested to callers when no server is reachable, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// Byte range of a preview that a response covers; `end` is exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub start: u64,
    pub end: u64,
    pub total: u64,
}

/// Error of one attempt on a preview server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PreviewError {
    #[error("the server is unreachable")]
    Unreachable,
    #[error("the connection to the server broke")]
    Broken,
    #[error("the server sent nothing within the timeout")]
    Stalled,
    #[error("the server answered with an unexpected range or length")]
    Mismatch,
    #[error("the server answered with status {0}")]
    Status(u16),
}

/// A preview stream whose response head was received.
pub(crate) struct OpenPreview {
    pub lease: Lease,
    pub sent: SentAttempt,
    pub response: reqwest::Response,
    pub span: Span,
    pub content_type: Option<HeaderValue>,
    pub tag: Option<HeaderValue>,
}

/// A caller's preview request.
pub(crate) struct PreviewCall {
    pub id: RequestId,
    pub path: String,
    pub tenant: TenantName,
}

impl PreviewCall {
    /// Content that identifies the request across retries; excludes the start of the range.
    pub(crate) fn identity(&self) -> RequestIdentity<'_> {
        request_identity("GET", &self.path, &self.tenant, &[])
    }
}

/// State of the search for a server.
#[derive(Default)]
pub(crate) struct Search {
    pub excluded: Vec<EngineId>,
    /// Whether a server may have started the preview.
    pub may_have_run: bool,
}

pub(crate) async fn open_on_any_server(
    state: &Arc<RouterState>,
    call: &PreviewCall,
    start: u64,
    search: &mut Search,
) -> Result<OpenPreview, RequestError> {
    while search.excluded.len() < MAX_ATTEMPTS {
        state.crashes.check(&call.id.to_string(), &call.identity())?;
        let zone = &state.config.zone;
        let chosen = state.back_ends.choose(BackEndKind::Preview, zone, &search.excluded);
        let Some(lease) = chosen else { break };
        let server = lease.target.id;
        match open_on_server(state, lease, call, start).await {
            Ok(opened) => return Ok(opened),
            Err(PreviewError::Status(404)) => return Err(RequestError::NotFound),
            Err(PreviewError::Status(416)) => {
                return Err(RequestError::Malformed("the range starts after the end".into()));
            }
            Err(error) => {
                search.may_have_run |= error != PreviewError::Unreachable;
                log::warn!("event=attempt_failed engine={server} reason=\"{error}\"");
            }
        }
        search.excluded.push(server);
    }
    Err(match search.may_have_run {
        true => RequestError::BackEndFailed,
        false => RequestError::NoBackEnd { retry_after_ms: NO_SERVER_RETRY_MS },
    })
}

async fn open_on_server(
    state: &RouterState,
    lease: Lease,
    call: &PreviewCall,
    start: u64,
) -> Result<OpenPreview, PreviewError> {
    let url = format!("http://{}{}", lease.target.address, call.path);
    let (back_end, address) = (lease.target.id, lease.target.address);
    let sent = SentAttempt { back_end, address, incarnation: None, sent_at: state.crashes.now() };
    let request = state.http.get(url).header(header::RANGE, format!("bytes={start}-")).send();
    let response = match timeout(STALL_TIMEOUT, request).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            lease.record_failure();
            if error.is_connect() {
                return Err(PreviewError::Unreachable);
            }
            state.crashes.record_interrupted(&call.id.to_string(), &call.identity(), sent);
            return Err(PreviewError::Broken);
        }
        Err(_) => {
            lease.record_failure();
            return Err(PreviewError::Stalled);
        }
    };
    if response.status() != StatusCode::PARTIAL_CONTENT {
        return Err(PreviewError::Status(response.status().as_u16()));
    }
    let span = content_range(response.headers()).ok_or(PreviewError::Mismatch)?;
    if span.start != start || span.end != span.total {
        return Err(PreviewError::Mismatch);
    }
    lease.record_success();
    let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
    let tag = response.headers().get(header::ETAG).cloned();
    Ok(OpenPreview { lease, sent, response, span, content_type, tag })
}

/// Parses `content-range: bytes A-B/TOTAL`.
fn content_range(headers: &HeaderMap) -> Option<Span> {
    let text = headers.get(header::CONTENT_RANGE)?.to_str().ok()?;
    let (range, total) = text.strip_prefix("bytes ")?.split_once('/')?;
    let (start, last) = range.split_once('-')?;
    let start = start.parse().ok()?;
    let last: u64 = last.parse().ok()?;
    Some(Span { start, end: last.checked_add(1)?, total: total.parse().ok()? })
}
