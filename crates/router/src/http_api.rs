//! HTTP APIs: inference and applications for callers, health and metrics for operators.

use std::sync::Arc;
use std::time::Duration;

use axum::Router as AxumRouter;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use futures_util::StreamExt;
use juniper_intake::{CallerMemory, ReadError, ReadLimits};
use juniper_settings::TrafficKind;
use juniper_types::{RequestId, SoftwareVersion};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::access::{Caller, REQUEST_ID_HEADER, authenticate, is_operator, request_id};
use crate::applications;
use crate::chat::ChatRequest;
use crate::engines::ChatPlan;
use crate::error::RequestError;
use crate::previews;
use crate::relay::{ChatJob, Piece, caller_event, collect, open};
use crate::router_state::{InFlight, RouterState};

/// Pieces buffered for a slow caller before backpressure applies to the engine's stream.
const PIECE_BUFFER: usize = 32;

/// Longest time between two pieces of a caller's body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Header with the index of the first output token that the caller hasn't received.
const RESUME_HEADER: &str = "x-resume-from";

/// Software version that generates an answer; in a request, the one that began the resumed answer.
const SOFTWARE_HEADER: &str = "x-juniper-software";

/// Retry delay suggested while engines haven't reported what they run, in milliseconds.
const REPORT_RETRY_MS: u64 = 500;

/// Returns the routes of the caller API.
pub fn caller_api(state: Arc<RouterState>) -> AxumRouter {
    AxumRouter::new()
        .route("/v1/chat/completions", post(chat_completions))
        .route("/apply/{*path}", post(applications::apply))
        .route("/board/{*path}", get(applications::board))
        .route("/previews/{*path}", get(previews::preview))
        .with_state(state)
}

/// Returns the routes of the operator API.
pub fn operator_api(state: Arc<RouterState>) -> AxumRouter {
    AxumRouter::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status))
        .with_state(state)
}

async fn ready(State(state): State<Arc<RouterState>>) -> Response {
    match state.is_ready() {
        true => (StatusCode::OK, "ready\n").into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response(),
    }
}

async fn metrics(State(state): State<Arc<RouterState>>) -> Vec<u8> {
    let revision = state.view().in_force.revision.0;
    state.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    let age = state.settings_age().at_least().as_millis();
    state.metrics.settings_age_ms.set(i64::try_from(age).unwrap_or(i64::MAX));
    let traffic = &state.plane.traffic;
    let control = &state.metrics.control_bytes;
    let counted = [
        (control.with_label_values(&["in"]), traffic.received()),
        (control.with_label_values(&["out"]), traffic.sent()),
        (state.metrics.lookup_bytes.with_label_values(&["both"]), traffic.lookups()),
    ];
    for (counter, bytes) in counted {
        counter.inc_by(bytes.saturating_sub(counter.get()));
    }
    state.metrics.render()
}

async fn status(State(state): State<Arc<RouterState>>, headers: HeaderMap) -> Response {
    if !is_operator(&headers, &state.config.operator_keys) {
        return RequestError::Unauthenticated.into_response();
    }
    let body = json!({
        "node": state.config.node.0,
        "zone": state.config.zone.as_str(),
        "ready": state.is_ready(),
        "revision": state.view().in_force.revision.0,
        "peers": state.plane.peers.borrow().routers.iter().map(|peer| peer.node.0).collect::<Vec<_>>(),
        "settings_age_ms": state.settings_age().at_least().as_millis() as u64,
        "in_flight": state.metrics.in_flight.get(),
    });
    axum::Json(body).into_response()
}

async fn chat_completions(State(state): State<Arc<RouterState>>, request: Request) -> Response {
    let started = Instant::now();
    let result = serve_chat(Arc::clone(&state), request, started).await;
    into_counted_response(&state, "chat", result)
}

/// Counts the result of a request and converts an error into a response.
pub(crate) fn into_counted_response(
    state: &RouterState,
    kind: &str,
    result: Result<Response, RequestError>,
) -> Response {
    let code = match &result {
        Ok(_) => "accepted",
        Err(error) => error.code(),
    };
    state.metrics.requests.with_label_values(&[kind, code]).inc();
    result.unwrap_or_else(|error| {
        log::info!("event=request_refused kind={kind} code={code} reason=\"{error}\"");
        error.into_response()
    })
}

async fn serve_chat(
    state: Arc<RouterState>,
    request: Request,
    started: Instant,
) -> Result<Response, RequestError> {
    let mut in_flight = state.begin_request()?;
    let view = state.view();
    let (parts, body) = request.into_parts();
    let caller = authenticate(&view.in_force, &parts.headers, TrafficKind::Chat)?;
    state.check_cut_off(&caller.settings)?;
    let request_id = request_id(&parts.headers)?;
    let resume_from = resume_from(&parts.headers)?;
    let body = read_body(&parts, body, &caller).await?;
    let chat =
        ChatRequest::parse(&body, &caller.settings.model, caller.settings.max_output_tokens)?;
    let software = match resume_from {
        0 => None,
        _ => {
            let longest_answer = Duration::from_millis(caller.settings.deadline_ms);
            Some(resumed_software(&state, &parts.headers, longest_answer)?)
        }
    };
    let stream = chat.stream;
    let model = caller.settings.model.clone();
    log::info!(
        "event=request_accepted request={request_id} tenant={} service={} revision={}",
        caller.home.tenant,
        caller.service,
        view.in_force.revision
    );
    let deadline = started + Duration::from_millis(caller.settings.deadline_ms);
    let tenant = caller.home.tenant.clone();
    state.plane.engines.record_request(caller.settings.retry_budget_percent);
    let mut plan = ChatPlan::new(&tenant, Arc::clone(&caller.settings), &chat.prompt);
    state.admit(&mut in_flight, &caller)?;
    plan.shared_holders = state.plane.hub.holders(&plan.blocks.hashes).await;
    let job = ChatJob { request_id, tenant, chat, plan, started, deadline, resume_from, software };
    let (relay, origin) = open(Arc::clone(&state), job).await?;
    log::info!(
        "event=request_opened request={request_id} engine={} cached_tokens={}",
        origin.engine,
        origin.cached_tokens
    );
    let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
    tokio::spawn(relay.run(sender));
    let pieces = ReceiverStream::new(receiver);
    let mut response = if stream {
        let first_token = FirstToken { state: Arc::clone(&state), started, seen: false };
        stream_response(request_id, model.to_string(), pieces, in_flight, first_token)
    } else {
        axum::Json(collect(request_id, model.as_str(), pieces).await?).into_response()
    };
    let headers = response.headers_mut();
    insert_header(headers, REQUEST_ID_HEADER, &request_id.to_string());
    insert_header(headers, "x-juniper-engine", &origin.engine.0.to_string());
    if let Some(software) = &origin.software {
        insert_header(headers, SOFTWARE_HEADER, software.as_str());
    }
    insert_header(headers, "x-juniper-revision", &view.in_force.revision.to_string());
    insert_header(headers, "x-cached-tokens", &origin.cached_tokens.to_string());
    Ok(response)
}

/// Sets a header if `value` is a valid header value.
pub(crate) fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn resume_from(headers: &HeaderMap) -> Result<u64, RequestError> {
    let Some(value) = headers.get(RESUME_HEADER) else {
        return Ok(0);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.ok_or_else(|| RequestError::Malformed("x-resume-from is not a number".into()))
}

/// Software version that began the answer which a caller resumes: the one that the caller got with it,
/// otherwise the only one that the engines have run for as long as an answer can have lasted.
fn resumed_software(
    state: &RouterState,
    headers: &HeaderMap,
    longest_answer: Duration,
) -> Result<SoftwareVersion, RequestError> {
    let engines = &state.plane.engines;
    let stated = match headers.get(SOFTWARE_HEADER) {
        Some(value) => {
            let version = value.to_str().ok().and_then(SoftwareVersion::new);
            let malformed = || RequestError::Malformed(format!("{SOFTWARE_HEADER} is no version"));
            Some(version.ok_or_else(malformed)?)
        }
        None => engines.sole_software(longest_answer),
    };
    match stated {
        Some(software) if engines.has_software(&software, &[]) => Ok(software),
        _ if engines.awaits_reports() => {
            Err(RequestError::NoBackEnd { retry_after_ms: REPORT_RETRY_MS })
        }
        Some(_) => Err(RequestError::SoftwareGone),
        None => Err(RequestError::SoftwareUnknown),
    }
}

/// Reads the complete body of a request, of at most `limit` bytes.
pub(crate) async fn read_body(
    parts: &Parts,
    mut body: Body,
    caller: &Caller,
) -> Result<Bytes, RequestError> {
    let limit = caller.settings.max_body_bytes;
    let memory = parts.extensions.get::<CallerMemory>().ok_or(RequestError::NoMemory)?;
    let limits = ReadLimits {
        max_bytes: usize::try_from(limit).unwrap_or(usize::MAX),
        idle_timeout: BODY_IDLE_TIMEOUT,
        deadline: Instant::now() + Duration::from_millis(caller.settings.deadline_ms),
    };
    match juniper_intake::read_body(memory, &mut body, limits).await {
        Ok(body) => Ok(body.into()),
        Err(ReadError::TooLarge) => Err(RequestError::TooLarge { limit }),
        Err(ReadError::NoMemory) => Err(RequestError::NoMemory),
        Err(ReadError::TooLate | ReadError::Stalled | ReadError::CallerLeft) => {
            Err(RequestError::BodyTimeout)
        }
    }
}

/// Records the time to first token of one stream.
struct FirstToken {
    state: Arc<RouterState>,
    started: Instant,
    seen: bool,
}

impl FirstToken {
    fn record(&mut self) {
        if !self.seen {
            self.seen = true;
            self.state.metrics.first_token.observe(self.started.elapsed().as_secs_f64());
        }
    }
}

fn stream_response(
    request_id: RequestId,
    model: String,
    pieces: ReceiverStream<Piece>,
    in_flight: InFlight,
    mut first_token: FirstToken,
) -> Response {
    let events = pieces.map(move |piece| {
        // Owned by the body stream, so that the request counts as in flight until its last byte.
        let _in_flight = &in_flight;
        let text = match piece {
            Piece::Chunk(chunk) => {
                first_token.record();
                caller_event(request_id, &model, &chunk)
            }
            Piece::Done => "data: [DONE]\n\n".to_owned(),
            Piece::Failed(error) => error.stream_event(),
        };
        Ok::<_, std::convert::Infallible>(Bytes::from(text))
    });
    let mut response = Response::new(Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}
