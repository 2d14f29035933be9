//! Relays preview byte streams, which resume by range requests.
//!
//! When a server fails in the middle of a stream, the remaining bytes are fetched from another server.
//! A silent one is left only once another one has answered. The response has a content length, so a
//! caller detects a stream that ends early.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::Response;
use juniper_settings::TrafficKind;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_stream::wrappers::ReceiverStream;

use crate::access::{REQUEST_ID_HEADER, authenticate, request_id};
use crate::error::RequestError;
use crate::http_api::{insert_header, into_counted_response};
use crate::open_answer::{CALLER_LEFT, OpenAnswer};
use crate::preview_search::{
    OpenPreview, PreviewCall, PreviewError, PreviewSearch, STALL_TIMEOUT, Span,
};
use crate::router_state::{InFlight, RouterState};

/// Pieces buffered for a slow caller before backpressure applies to the server's stream.
const PIECE_BUFFER: usize = 8;

/// Relay of one preview stream.
struct PreviewRelay {
    state: Arc<RouterState>,
    call: PreviewCall,
    opened: OpenPreview,
    search: PreviewSearch,
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
    let mut search = PreviewSearch::default();
    let deadline = started + Duration::from_millis(caller.settings.deadline_ms);
    let opening = timeout_at(deadline, search.run(state, &call, start)).await;
    let opened = opening.map_err(|_| RequestError::DeadlinePassed)??;
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

impl PreviewRelay {
    async fn run(mut self, pieces: PieceSender) {
        let answer = OpenAnswer::start(&self.state, "preview", self.call.id);
        let mut next = self.opened.span.start;
        let end = self.opened.span.end;
        while next < end {
            let error = match self.forward_bytes(&pieces, &mut next).await {
                Ok(()) if next < end => return answer.end_early(CALLER_LEFT),
                Ok(()) => break,
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
            let is_resumed = tokio::select! {
                resumed = self.resume_on_another_server(next) => resumed.is_ok(),
                () = pieces.closed() => return answer.end_early(CALLER_LEFT),
            };
            if !is_resumed {
                answer.end_early(error.label());
                let _ = pieces.send(Err(error)).await;
                return;
            }
        }
        answer.complete();
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
        let opened = self.search.run(&self.state, &self.call, next).await?;
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
        let mut search = PreviewSearch { excluded: vec![silent], may_have_run: true };
        let found = tokio::select! {
            found = search.run(&self.state, &self.call, next) => found.ok(),
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
