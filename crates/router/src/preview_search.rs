//! Search for a preview server that answers a request.

use std::pin::pin;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use juniper_settings::BackEndKind;
use juniper_types::{EngineId, RequestId, TenantName};
use tokio::time::timeout;

use crate::backends::Lease;
use crate::crashes::{RequestIdentity, SentAttempt, request_identity};
use crate::error::RequestError;
use crate::router_state::RouterState;

/// Maximum number of servers tried for one preview.
const MAX_ATTEMPTS: usize = 4;

/// Time without a response head, and gap in a stream, after which another server is looked for.
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

impl PreviewError {
    /// Value of `reason` in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            PreviewError::Unreachable => "unreachable",
            PreviewError::Broken => "server_broke_off",
            PreviewError::Stalled => "silent",
            PreviewError::Mismatch => "mismatch",
            PreviewError::Status(_) => "server_status",
        }
    }
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
pub(crate) struct PreviewSearch {
    /// Servers that have failed or are silent.
    pub excluded: Vec<EngineId>,
    /// Whether a server may have started the preview.
    pub may_have_run: bool,
}

impl PreviewSearch {
    /// Sends the request to one server after another until one answers. A silent server may still be
    /// at work: it is abandoned only once another one has answered.
    pub(crate) async fn run(
        &mut self,
        state: &RouterState,
        call: &PreviewCall,
        start: u64,
    ) -> Result<OpenPreview, RequestError> {
        let mut running = FuturesUnordered::new();
        // Server of the latest attempt, until it has answered or is silent.
        let mut awaited = None;
        loop {
            if awaited.is_none() {
                match self.choose_next(state, call) {
                    Ok(lease) => {
                        awaited = Some(lease.target.id);
                        running.push(open_on_server(state, lease, call, start));
                    }
                    Err(error) if running.is_empty() => return Err(error),
                    // A silent server may still answer.
                    Err(_) => {}
                }
            }
            let Ok(Some((server, result))) = timeout(STALL_TIMEOUT, running.next()).await else {
                if let Some(silent) = awaited.take() {
                    self.record_silence(silent);
                }
                continue;
            };
            awaited.take_if(|awaited| *awaited == server);
            match result {
                Ok(opened) => {
                    self.excluded.retain(|excluded| *excluded != server);
                    return Ok(opened);
                }
                Err(error) => self.record_failure(server, error)?,
            }
        }
    }

    fn choose_next(&self, state: &RouterState, call: &PreviewCall) -> Result<Lease, RequestError> {
        state.crashes.check(&call.id.to_string(), &call.identity())?;
        let zone = &state.config.zone;
        let chosen = match self.excluded.len() < MAX_ATTEMPTS {
            true => state.back_ends.choose(BackEndKind::Preview, zone, &self.excluded),
            false => None,
        };
        chosen.ok_or(match self.may_have_run {
            true => RequestError::BackEndFailed,
            false => RequestError::NoBackEnd { retry_after_ms: NO_SERVER_RETRY_MS },
        })
    }

    fn record_silence(&mut self, server: EngineId) {
        log::info!("event=attempt_silent engine={server}");
        self.may_have_run = true;
        self.excluded.push(server);
    }

    /// Records a failed attempt.
    ///
    /// # Errors
    /// Fails if the other servers would answer the same.
    fn record_failure(
        &mut self,
        server: EngineId,
        error: PreviewError,
    ) -> Result<(), RequestError> {
        match error {
            PreviewError::Status(404) => return Err(RequestError::NotFound),
            PreviewError::Status(416) => {
                return Err(RequestError::Malformed("the range starts after the end".into()));
            }
            _ => {}
        }
        log::warn!("event=attempt_failed engine={server} reason=\"{error}\"");
        self.may_have_run |= error != PreviewError::Unreachable;
        if !self.excluded.contains(&server) {
            self.excluded.push(server);
        }
        Ok(())
    }
}

/// Sends the request to a server and waits for the head of its answer.
async fn open_on_server(
    state: &RouterState,
    lease: Lease,
    call: &PreviewCall,
    start: u64,
) -> (EngineId, Result<OpenPreview, PreviewError>) {
    let (back_end, address) = (lease.target.id, lease.target.address);
    let url = format!("http://{address}{}", call.path);
    let sent = SentAttempt { back_end, address, incarnation: None, sent_at: state.crashes.now() };
    let request = state.http.get(url).header(header::RANGE, format!("bytes={start}-"));
    let result = match receive_head(&lease, request).await {
        Ok(response) => read_head(lease, sent, response, start),
        Err(error) => {
            if error == PreviewError::Broken {
                state.crashes.record_interrupted(&call.id.to_string(), &call.identity(), sent);
            }
            Err(error)
        }
    };
    (back_end, result)
}

/// Waits for the head of an answer. The server counts as failing once it has been silent for too long.
async fn receive_head(
    lease: &Lease,
    request: reqwest::RequestBuilder,
) -> Result<reqwest::Response, PreviewError> {
    let mut sending = pin!(request.send());
    let sent = match timeout(STALL_TIMEOUT, &mut sending).await {
        Ok(sent) => sent,
        Err(_) => {
            lease.record_failure();
            sending.await
        }
    };
    sent.map_err(|error| {
        lease.record_failure();
        match error.is_connect() {
            true => PreviewError::Unreachable,
            false => PreviewError::Broken,
        }
    })
}

/// Checks the head of a server's answer.
fn read_head(
    lease: Lease,
    sent: SentAttempt,
    response: reqwest::Response,
    start: u64,
) -> Result<OpenPreview, PreviewError> {
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
