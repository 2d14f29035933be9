//! Relays byte streams that resume by range.
//!
//! When a server fails in the middle, the rest is fetched from another one,
//! from the first byte that the caller lacks. The answer states its length, so
//! a stream that can't be completed ends in a broken connection, which the
//! caller can't take for the end.

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
use crate::crashes::{AskedRequest, SentTo, asked};
use crate::error::RequestError;
use crate::faces::{answer_or_error, insert};
use crate::shared::{InFlight, Shared};

/// Servers tried for one preview.
const MAX_ATTEMPTS: usize = 4;

/// Pieces buffered for a slow caller before the server's stream is held back.
const PIECE_BUFFER: usize = 8;

/// A server that sends nothing for this long is given up.
const STALL_LIMIT: Duration = Duration::from_secs(5);

/// Suggested pause when no server can be reached, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// The part of a preview that an answer covers, in bytes; `end` is exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    start: u64,
    end: u64,
    total: u64,
}

/// Why one server did not deliver.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum PreviewError {
    #[error("the server can't be reached")]
    Unreachable,
    #[error("the server broke off")]
    Broken,
    #[error("the server sent nothing for too long")]
    Stalled,
    #[error("the server answered with another part or another length")]
    Mismatch,
    #[error("the server answered with status {0}")]
    Status(u16),
}

/// A preview stream that a server has begun.
struct Begun {
    lease: Lease,
    sent: SentTo,
    response: reqwest::Response,
    span: Span,
    content_type: Option<HeaderValue>,
    tag: Option<HeaderValue>,
}

/// What a caller asks for.
struct PreviewCall {
    id: RequestId,
    path: String,
    tenant: TenantName,
}

impl PreviewCall {
    /// What is asked, as the same request asks it again, from whatever byte.
    fn asked(&self) -> AskedRequest<'_> {
        asked("GET", &self.path, &self.tenant, &[])
    }
}

/// How far the search for a server has come.
#[derive(Default)]
struct Search {
    excluded: Vec<EngineId>,
    /// Whether a server may have begun the preview.
    may_have_run: bool,
}

/// The relay of one preview.
struct PreviewRelay {
    shared: Arc<Shared>,
    call: PreviewCall,
    begun: Begun,
    search: Search,
    _in_flight: InFlight,
}

/// Serves `GET /previews/...`.
pub async fn preview(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let result = serve_preview(&shared, request).await;
    answer_or_error(&shared, "preview", result)
}

async fn serve_preview(shared: &Arc<Shared>, request: Request) -> Result<Response, RequestError> {
    let mut in_flight = shared.enter()?;
    let started = Instant::now();
    let view = shared.view();
    let (parts, _body) = request.into_parts();
    let caller = authenticate(&view.in_force, &parts.headers, TrafficKind::Preview)?;
    shared.check_cut_off(&caller.settings)?;
    shared.admit(&mut in_flight, &caller)?;
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
    let begun = begin_somewhere(shared, &call, start, &mut search).await?;
    shared.metrics.first_token.observe(started.elapsed().as_secs_f64());
    let mut response = Response::new(Body::empty());
    describe(&mut response, &begun, start);
    insert(response.headers_mut(), REQUEST_ID_HEADER, &request_id.to_string());
    let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
    let shared = Arc::clone(shared);
    let relay = PreviewRelay { shared, call, begun, search, _in_flight: in_flight };
    tokio::spawn(relay.run(sender));
    *response.body_mut() = Body::from_stream(ReceiverStream::new(receiver));
    Ok(response)
}

fn describe(response: &mut Response, begun: &Begun, start: u64) {
    let Span { end, total, .. } = begun.span;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(end - start));
    headers.insert(header::ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    if let Some(content_type) = &begun.content_type {
        headers.insert(header::CONTENT_TYPE, content_type.clone());
    }
    if let Some(tag) = &begun.tag {
        headers.insert(header::ETAG, tag.clone());
    }
    if start > 0 {
        insert(headers, "content-range", &format!("bytes {start}-{}/{total}", end - 1));
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

async fn begin_somewhere(
    shared: &Arc<Shared>,
    call: &PreviewCall,
    start: u64,
    search: &mut Search,
) -> Result<Begun, RequestError> {
    while search.excluded.len() < MAX_ATTEMPTS {
        shared.crashes.check(&call.id.to_string(), &call.asked())?;
        let zone = &shared.config.zone;
        let chosen = shared.back_ends.choose(BackEndKind::Preview, zone, &search.excluded);
        let Some(lease) = chosen else { break };
        let server = lease.target.id;
        match begin(shared, lease, call, start).await {
            Ok(begun) => return Ok(begun),
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

async fn begin(
    shared: &Shared,
    lease: Lease,
    call: &PreviewCall,
    start: u64,
) -> Result<Begun, PreviewError> {
    let url = format!("http://{}{}", lease.target.address, call.path);
    let (back_end, address) = (lease.target.id, lease.target.address);
    let sent = SentTo { back_end, address, incarnation: None, sent_at: shared.crashes.now() };
    let request = shared.http.get(url).header(header::RANGE, format!("bytes={start}-")).send();
    let response = match timeout(STALL_LIMIT, request).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            lease.failed();
            if error.is_connect() {
                return Err(PreviewError::Unreachable);
            }
            shared.crashes.note_cut(&call.id.to_string(), &call.asked(), sent);
            return Err(PreviewError::Broken);
        }
        Err(_) => {
            lease.failed();
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
    lease.answered();
    let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
    let tag = response.headers().get(header::ETAG).cloned();
    Ok(Begun { lease, sent, response, span, content_type, tag })
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
    async fn run(mut self, pieces: mpsc::Sender<Result<Bytes, PreviewError>>) {
        let mut next = self.begun.span.start;
        let end = self.begun.span.end;
        while next < end {
            let error = match self.pump(&pieces, &mut next).await {
                Ok(()) => return,
                Err(error) => error,
            };
            log::warn!("event=preview_interrupted at={next} reason=\"{error}\"");
            if error == PreviewError::Broken {
                let id = self.call.id.to_string();
                self.shared.crashes.note_cut(&id, &self.call.asked(), self.begun.sent);
            }
            self.search.may_have_run = true;
            if self.continue_elsewhere(next).await.is_err() {
                let _ = pieces.send(Err(error)).await;
                return;
            }
        }
    }

    /// Passes bytes on; ends well when all are sent or the caller has left.
    async fn pump(
        &mut self,
        pieces: &mpsc::Sender<Result<Bytes, PreviewError>>,
        next: &mut u64,
    ) -> Result<(), PreviewError> {
        let end = self.begun.span.end;
        while *next < end {
            let piece = timeout(STALL_LIMIT, self.begun.response.chunk()).await;
            let bytes = match piece {
                Err(_) => return Err(PreviewError::Stalled),
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None) | Err(_)) => return Err(PreviewError::Broken),
            };
            let length = bytes.len() as u64;
            if *next + length > end {
                return Err(PreviewError::Mismatch);
            }
            if pieces.send(Ok(bytes)).await.is_err() {
                return Ok(());
            }
            *next += length;
        }
        self.shared.crashes.note_answered(&self.call.id.to_string(), &self.call.asked());
        Ok(())
    }

    async fn continue_elsewhere(&mut self, next: u64) -> Result<(), RequestError> {
        self.begun.lease.failed();
        self.search.excluded.push(self.begun.lease.target.id);
        self.shared.metrics.retries.with_label_values(&["preview"]).inc();
        let begun = begin_somewhere(&self.shared, &self.call, next, &mut self.search).await?;
        // Another length or tag is another preview; mixing them is never right.
        if begun.span.total != self.begun.span.total || begun.tag != self.begun.tag {
            return Err(RequestError::BackEndFailed);
        }
        self.begun = begun;
        Ok(())
    }
}
