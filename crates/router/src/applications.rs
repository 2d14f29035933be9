//! Relays at-most-once and repeatable requests to application servers.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use futures_util::StreamExt;
use juniper_protocol::ClaimOutcome;
use juniper_settings::{BackEndKind, TrafficKind};
use juniper_types::RequestId;
use tokio::time::{Instant, timeout_at};

use crate::access::{Caller, REQUEST_ID_HEADER, authenticate, request_id};
use crate::backends::Lease;
use crate::claims::{
    Claim, ClaimResult, IDEMPOTENCY_KEY_HEADER, MAX_STORED_BODY_BYTES, fingerprint, idempotency_key,
};
use crate::crashes::{RequestIdentity, SentAttempt};
use crate::error::RequestError;
use crate::http_api::{insert_header, into_counted_response, read_body};
use crate::router_state::{InFlight, RouterState};

/// Largest buffered answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Retry delay suggested to callers when no server is reachable, in milliseconds.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// Maximum number of servers tried for one repeatable request.
const MAX_ATTEMPTS: usize = 3;

/// Maximum execution time of an at-most-once request, which may exceed the caller's deadline.
const EXECUTION_LIMIT: Duration = Duration::from_secs(120);

/// A request to forward to an application server.
#[derive(Clone, Debug)]
struct ForwardedRequest {
    method: reqwest::Method,
    path: String,
    content_type: Option<HeaderValue>,
    key: Option<String>,
    request_id: RequestId,
    tenant: String,
    body: Bytes,
}

/// Buffered answer of an application server.
#[derive(Clone, Debug)]
struct Answer {
    status: u16,
    content_type: String,
    body: Bytes,
}

/// Error of one attempt on an application server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ForwardError {
    #[error("the server is unreachable; nothing was sent")]
    Unreachable,
    #[error("the connection broke after the request was sent")]
    Broken,
    #[error("the answer is larger than {MAX_ANSWER_BYTES} bytes")]
    TooLarge,
}

impl ForwardedRequest {
    /// Content that identifies the request across retries; excludes the idempotency key, which
    /// may differ for each submission.
    fn identity(&self) -> RequestIdentity<'_> {
        let (method, path) = (self.method.as_str(), self.path.as_str());
        RequestIdentity { method, path, tenant: &self.tenant, body: &self.body }
    }
}

impl IntoResponse for Answer {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = (status, Body::from(self.body)).into_response();
        insert_header(response.headers_mut(), "content-type", &self.content_type);
        response
    }
}

/// Serves `POST /apply/...` with at-most-once execution.
pub async fn apply(State(state): State<Arc<RouterState>>, request: Request) -> Response {
    let result = serve_at_most_once(&state, request).await;
    into_counted_response(&state, "at_most_once", result)
}

/// Serves `GET /board/...`, which is safe to retry.
pub async fn board(State(state): State<Arc<RouterState>>, request: Request) -> Response {
    let result = serve_repeatable(&state, request).await;
    into_counted_response(&state, "repeatable", result)
}

async fn accept(
    state: &RouterState,
    request: Request,
    kind: TrafficKind,
) -> Result<(Caller, ForwardedRequest), RequestError> {
    let view = state.view();
    let (parts, body) = request.into_parts();
    let caller = authenticate(&view.in_force, &parts.headers, kind)?;
    state.check_cut_off(&caller.settings)?;
    let body = read_body(&parts, body, &caller).await?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let forward = ForwardedRequest {
        method: parts.method,
        path,
        content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
        key: None,
        request_id: request_id(&parts.headers)?,
        tenant: caller.home.tenant.to_string(),
        body,
    };
    let forward = match kind {
        TrafficKind::AtMostOnce => {
            ForwardedRequest { key: Some(idempotency_key(&parts.headers)?.to_string()), ..forward }
        }
        _ => forward,
    };
    log::info!(
        "event=request_accepted request={} tenant={} service={} revision={}",
        forward.request_id,
        caller.home.tenant,
        caller.service,
        view.in_force.revision
    );
    Ok((caller, forward))
}

async fn serve_at_most_once(
    state: &Arc<RouterState>,
    request: Request,
) -> Result<Response, RequestError> {
    let mut in_flight = state.begin_request()?;
    let started = Instant::now();
    let (caller, forward) = accept(state, request, TrafficKind::AtMostOnce).await?;
    state.admit(&mut in_flight, &caller)?;
    let key_text = forward.key.clone().unwrap_or_default();
    let claim = Claim {
        tenant: caller.home.tenant.clone(),
        key: key_text.parse().map_err(|error| {
            RequestError::Malformed(format!("{IDEMPOTENCY_KEY_HEADER}: {error}"))
        })?,
        fingerprint: fingerprint(forward.method.as_str(), &forward.path, &forward.body),
        attempt: rand::random(),
    };
    let request_id = forward.request_id;
    let mut response = match claim.acquire(&state.plane.control).await? {
        ClaimResult::Settled(outcome) => replay(outcome)?,
        ClaimResult::Granted => {
            // Runs to completion even if the caller disconnects, so that a retry finds the outcome.
            let execution = tokio::spawn(execute(Arc::clone(state), claim, forward, in_flight));
            let deadline = started + Duration::from_millis(caller.settings.deadline_ms);
            match timeout_at(deadline, execution).await {
                Ok(Ok(result)) => result?.into_response(),
                Ok(Err(_)) | Err(_) => return Err(RequestError::OutcomeUnknown),
            }
        }
    };
    insert_header(response.headers_mut(), IDEMPOTENCY_KEY_HEADER, &key_text);
    insert_header(response.headers_mut(), REQUEST_ID_HEADER, &request_id.to_string());
    Ok(response)
}

/// Answers a retried request with the recorded outcome.
fn replay(outcome: ClaimOutcome) -> Result<Response, RequestError> {
    if !outcome.whole {
        return Err(RequestError::AnswerNotKept { status: outcome.status });
    }
    let answer = Answer {
        status: outcome.status,
        content_type: outcome.content_type,
        body: Bytes::from(outcome.body),
    };
    let mut response = answer.into_response();
    insert_header(response.headers_mut(), "x-idempotent-replay", "true");
    Ok(response)
}

/// Runs a claimed request at most once and records its outcome.
async fn execute(
    state: Arc<RouterState>,
    claim: Claim,
    forward: ForwardedRequest,
    _in_flight: InFlight,
) -> Result<Answer, RequestError> {
    let mut excluded = Vec::new();
    let deadline = Instant::now() + EXECUTION_LIMIT;
    loop {
        if let Err(error) =
            state.crashes.check(&forward.request_id.to_string(), &forward.identity())
        {
            claim.settle(&state.plane.control, not_run_outcome(&error)).await;
            return Err(error);
        }
        let zone = &state.config.zone;
        let chosen = state.back_ends.choose(BackEndKind::Application, zone, &excluded);
        let Some(lease) = chosen else {
            let error = RequestError::NoBackEnd { retry_after_ms: NO_SERVER_RETRY_MS };
            claim.settle(&state.plane.control, not_run_outcome(&error)).await;
            return Err(error);
        };
        excluded.push(lease.target.id);
        match timeout_at(deadline, send(&state, &lease, &forward)).await {
            Ok(Ok(answer)) => {
                let outcome = outcome_of(&answer);
                let control = Arc::clone(&state.plane.control);
                tokio::spawn(async move { claim.settle(&control, outcome).await });
                return Ok(answer);
            }
            // Nothing was sent, so another server may be tried.
            Ok(Err(ForwardError::Unreachable)) => {}
            // The request may have run, so it must not be sent again.
            Ok(Err(ForwardError::Broken | ForwardError::TooLarge)) | Err(_) => {
                return Err(RequestError::OutcomeUnknown);
            }
        }
    }
}

fn outcome_of(answer: &Answer) -> ClaimOutcome {
    let is_complete = answer.body.len() <= MAX_STORED_BODY_BYTES;
    ClaimOutcome {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: if is_complete { answer.body.to_vec() } else { Vec::new() },
        whole: is_complete,
    }
}

fn not_run_outcome(error: &RequestError) -> ClaimOutcome {
    ClaimOutcome {
        status: error.status().as_u16(),
        content_type: "application/json".into(),
        body: error.json(),
        whole: true,
    }
}

async fn serve_repeatable(
    state: &Arc<RouterState>,
    request: Request,
) -> Result<Response, RequestError> {
    let mut in_flight = state.begin_request()?;
    let started = Instant::now();
    let (caller, forward) = accept(state, request, TrafficKind::Repeatable).await?;
    state.admit(&mut in_flight, &caller)?;
    let deadline = started + Duration::from_millis(caller.settings.deadline_ms);
    let mut excluded = Vec::new();
    let mut sent = false;
    while excluded.len() < MAX_ATTEMPTS {
        state.crashes.check(&forward.request_id.to_string(), &forward.identity())?;
        let zone = &state.config.zone;
        let chosen = state.back_ends.choose(BackEndKind::Application, zone, &excluded);
        let Some(lease) = chosen else { break };
        excluded.push(lease.target.id);
        match timeout_at(deadline, send(state, &lease, &forward)).await {
            Ok(Ok(answer)) => return Ok(answer.into_response()),
            Ok(Err(ForwardError::Unreachable)) => {}
            Ok(Err(ForwardError::TooLarge)) => return Err(RequestError::BackEndFailed),
            Ok(Err(ForwardError::Broken)) => sent = true,
            Err(_) => return Err(RequestError::DeadlinePassed),
        }
        state.metrics.retries.with_label_values(&["application"]).inc();
    }
    if sent {
        return Err(RequestError::BackEndFailed);
    }
    Err(RequestError::NoBackEnd { retry_after_ms: NO_SERVER_RETRY_MS })
}

async fn send(
    state: &RouterState,
    lease: &Lease,
    forward: &ForwardedRequest,
) -> Result<Answer, ForwardError> {
    let url = format!("http://{}{}", lease.target.address, forward.path);
    let mut request = state
        .http
        .request(forward.method.clone(), url)
        .header(REQUEST_ID_HEADER, forward.request_id.to_string())
        .header("x-tenant", &forward.tenant)
        .body(forward.body.clone());
    if let Some(content_type) = &forward.content_type {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    if let Some(key) = &forward.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    let sent = SentAttempt {
        back_end: lease.target.id,
        address: lease.target.address,
        incarnation: None,
        sent_at: state.crashes.now(),
    };
    let answered = match request.send().await {
        Ok(response) => {
            lease.record_success();
            read_answer(response).await
        }
        Err(error) => {
            lease.record_failure();
            Err(match error.is_connect() {
                true => ForwardError::Unreachable,
                false => ForwardError::Broken,
            })
        }
    };
    let id = forward.request_id.to_string();
    match &answered {
        Ok(answer) if answer.status < 500 => {
            state.crashes.record_completed(&id, &forward.identity())
        }
        Err(ForwardError::Broken) => {
            state.crashes.record_interrupted(&id, &forward.identity(), sent)
        }
        _ => {}
    }
    answered
}

async fn read_answer(response: reqwest::Response) -> Result<Answer, ForwardError> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let mut body = Vec::new();
    let mut pieces = response.bytes_stream();
    while let Some(piece) = pieces.next().await {
        body.extend_from_slice(&piece.map_err(|_| ForwardError::Broken)?);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(ForwardError::TooLarge);
        }
    }
    Ok(Answer { status, content_type, body: Bytes::from(body) })
}
