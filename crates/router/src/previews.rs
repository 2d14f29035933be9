//! Relays preview byte streams, which resume by range requests.
//!
//! When a server fails in the middle of a stream, the remaining bytes are fetched
//! from another server. A silent one is left only once another one has answered. The response has a content length, so a caller detects a
//! stream that ends early.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use juniper_settings::{BackEndKind, TrafficKind};
use juniper_types::{EngineId, RequestId, TenantName};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_stream::wrappers::ReceiverStream;

use crate::access::{REQUEST_ID_HEADER, authenticate, request_id};
use crate::backends::Lease;
use crate::crashes::{RequestIdentity, SentAttempt, request_identity};
use crate::error::RequestError;
use crate::http_api::{insert_header, into_counted_response};
use crate::router_state::{InFlight, RouterState};

/// Maximum number of servers tried for one preview.
const MAX_ATTEMPTS: usize = 4;

/// Pieces buffered for a slow caller before backpressure applies to the server's stream.
const PIECE_BUFFER: usize = 8;

/// Timeout of the response head, and gap in a stream after which another server is looked for.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay suggested to callers when no server is reachable, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// Byte range of a preview that a response covers; `end` is exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    start: u64,
    end: u64,
    total: u64,
}

/// Error of one attempt on a preview server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum PreviewError {
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
struct OpenPreview {
    lease: Lease,
    sent: SentAttempt,
    response: reqwest::Response,
    span: Span,
    content_type: Option<HeaderValue>,
    tag: Option<HeaderValue>,
}

/// A caller's preview request.
struct PreviewCall {
    id: RequestId,
    path: String,
    tenant: TenantName,
}

impl PreviewCall {
    /// Content that identifies the request across retries; excludes the start of the range.
    fn identity(&self) -> RequestIdentity<'_> {
        request_identity("GET", &self.path, &self.tenant, &[])
    }
}

/// State of the search for a server.
#[derive(Default)]
struct Search {
    excluded: Vec<EngineId>,
    /// Whether a server may have started the preview.
    may_have_run: bool,
}

/// Relay of one preview stream.
struct PreviewRelay {
    state: Arc<RouterState>,
    call: PreviewCall,
    opened: OpenPreview,
    search: Search,
    /// What the current server sent while another one was looked for.
    received: Option<ReceivedPiece>,
    _in_flight: InFlight,
}

/// Next part of a server's answer; `None` at its end.
type ReceivedPiece = Result<Option<Bytes>, reqwest::Error>;

/// Sender of the parts of an answer to the caller.
type PieceSender = mpsc::Sender<Result<Bytes, PreviewError>>;

/// Serves `GET /previews/...`.
pub async fn preview(State(state): State<Arc<RouterState>>, request: Request) -> Response {
    let result = serve_preview(&state, request).await;
    into_counted_response(&state, "preview", result)
}

async fn serve_preview(
    state: &Arc<RouterState>,
    request: Request,
) -> Result<Response, RequestError> {
    let mut in_flight = state.begin_request()?;
    let started = Instant::now();
    let view = state.view();
    let (parts, _body) = request.into_parts();
    let caller = authenticate(&view.in_force, &parts.headers, TrafficKind::Preview)?;
    state.check_cut_off(&caller.settings)?;
    state.admit(&mut in_flight, &caller)?;
    let request_id = request_id(&parts.headers)?;
    let start = range_start(&parts.headers)?;
    let path = parts.uri.path().to_owned();
    log::info!(
        "event=request_accepted request={request_id} tenant={} service={} revision={}",
        caller.home.tenant,
        caller.service,
        view.in_force.revision
    );
    let call = PreviewCall { id: request_id, path, tenant: caller.home.tenant.clone() };
    let mut search = Search::default();
    let opened = open_on_any_server(state, &call, start, &mut search).await?;
    state.metrics.first_token.observe(started.elapsed().as_secs_f64());
    let mut response = Response::new(Body::empty());
    set_headers(&mut response, &opened, start);
    insert_header(response.headers_mut(), REQUEST_ID_HEADER, &request_id.to_string());
    let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
    let state = Arc::clone(state);
    let relay = PreviewRelay { state, call, opened, search, received: None, _in_flight: in_flight };
    tokio::spawn(relay.run(sender));
    *response.body_mut() = Body::from_stream(ReceiverStream::new(receiver));
    Ok(response)
}

fn set_headers(response: &mut Response, opened: &OpenPreview, start: u64) {
    let Span { end, total, .. } = opened.span;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(end - start));
    headers.insert(header::ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    if let Some(content_type) = &opened.content_type {
        headers.insert(header::CONTENT_TYPE, content_type.clone());
    }
    if let Some(tag) = &opened.tag {
        headers.insert(header::ETAG, tag.clone());
    }
    if start > 0 {
        insert_header(headers, "content-range", &format!("bytes {start}-{}/{total}", end - 1));
        *response.status_mut() = StatusCode::PARTIAL_CONTENT;
    }
}

/// Reads `range: bytes=N-`; other forms are refused.
fn range_start(headers: &HeaderMap) -> Result<u64, RequestError> {
    let Some(value) = headers.get(header::RANGE) else {
        return Ok(0);
    };
    let start = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok());
    start.ok_or_else(|| RequestError::Malformed("range must read bytes=N-".into()))
}

async fn open_on_any_server(
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

impl PreviewRelay {
    async fn run(mut self, pieces: PieceSender) {
        let mut next = self.opened.span.start;
        let end = self.opened.span.end;
        while next < end {
            let error = match self.forward_bytes(&pieces, &mut next).await {
                Ok(()) => return,
                Err(PreviewError::Stalled) => {
                    self.replace_silent(next, &pieces).await;
                    continue;
                }
                Err(error) => error,
            };
            log::warn!("event=preview_interrupted at={next} reason=\"{error}\"");
            if error == PreviewError::Broken {
                let id = self.call.id.to_string();
                self.state.crashes.record_interrupted(&id, &self.call.identity(), self.opened.sent);
            }
            self.search.may_have_run = true;
            if self.resume_on_another_server(next).await.is_err() {
                let _ = pieces.send(Err(error)).await;
                return;
            }
        }
    }

    /// Forwards bytes until all are sent or the caller has disconnected.
    async fn forward_bytes(
        &mut self,
        pieces: &PieceSender,
        next: &mut u64,
    ) -> Result<(), PreviewError> {
        let end = self.opened.span.end;
        while *next < end {
            let piece = match self.received.take() {
                Some(received) => received,
                None => tokio::select! {
                    piece = timeout(STALL_TIMEOUT, self.opened.response.chunk()) => {
                        piece.map_err(|_| PreviewError::Stalled)?
                    }
                    () = pieces.closed() => return Ok(()),
                },
            };
            let Ok(Some(bytes)) = piece else { return Err(PreviewError::Broken) };
            let length = bytes.len() as u64;
            if *next + length > end {
                return Err(PreviewError::Mismatch);
            }
            if pieces.send(Ok(bytes)).await.is_err() {
                return Ok(());
            }
            *next += length;
        }
        // The rest of a preview doesn't show that a server survives the whole request.
        if self.opened.span.start == 0 {
            self.state.crashes.record_completed(&self.call.id.to_string(), &self.call.identity());
        }
        Ok(())
    }

    async fn resume_on_another_server(&mut self, next: u64) -> Result<(), RequestError> {
        self.opened.lease.record_failure();
        self.search.excluded.push(self.opened.lease.target.id);
        self.state.metrics.retries.with_label_values(&["preview"]).inc();
        let opened = open_on_any_server(&self.state, &self.call, next, &mut self.search).await?;
        if !self.is_unchanged(&opened) {
            return Err(RequestError::BackEndFailed);
        }
        self.opened = opened;
        Ok(())
    }

    /// Looks for a server to replace one that is silent but may still be at work, until that one sends
    /// data. Its connection stays open meanwhile: without another server it is waited for.
    async fn replace_silent(&mut self, next: u64, pieces: &PieceSender) {
        let silent = self.opened.lease.target.id;
        self.opened.lease.record_failure();
        self.state.metrics.retries.with_label_values(&["preview"]).inc();
        // The servers that failed before may be back.
        let mut search = Search { excluded: vec![silent], may_have_run: true };
        let found = tokio::select! {
            found = open_on_any_server(&self.state, &self.call, next, &mut search) => found.ok(),
            piece = self.opened.response.chunk() => {
                self.received = Some(piece);
                None
            }
            () = pieces.closed() => None,
        };
        let found = found.filter(|opened| self.is_unchanged(opened));
        log::info!("event=preview_silent engine={silent} at={next} replaced={}", found.is_some());
        if let Some(opened) = found {
            self.search.excluded.push(silent);
            self.search.may_have_run = true;
            self.opened = opened;
        }
    }

    /// Whether the rest of the preview fits what was sent: another length or tag means that the
    /// preview has changed.
    fn is_unchanged(&self, opened: &OpenPreview) -> bool {
        opened.span.total == self.opened.span.total && opened.tag == self.opened.tag
    }
}
