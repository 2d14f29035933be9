//! Reads the bodies of requests before their handlers run.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use hyper::StatusCode;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use tokio::time::Instant;

use crate::memory::CallerMemory;
use crate::read::{ReadError, ReadLimits, read_body};
use crate::segments::SegmentedBody;

/// Longest time between two pieces of a body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes that a handler holds for each byte of the body: the body in one piece, the parsed value, the
/// encoded command, and its place in the log.
const HANDLER_FACTOR: usize = 4;

/// Body below which the handler's memory isn't accounted for, in bytes.
const SMALL_BODY: usize = 64 << 10;

/// Where and how far the bodies of requests are read.
#[derive(Clone, Debug)]
pub struct BodyHolder {
    /// The account.
    pub memory: CallerMemory,
    /// Longest body, in bytes.
    pub max_bytes: usize,
}

/// Middleware: reads the body of a request under the account, and
/// holds what the handler takes besides it. Layered inside of the check of keys, so that others hold
/// nothing.
pub async fn hold_body(
    State(BodyHolder { memory, max_bytes }): State<BodyHolder>,
    request: Request,
    next: Next,
) -> Response {
    let (head, mut body) = request.into_parts();
    let limits = ReadLimits {
        max_bytes,
        idle_timeout: IDLE_TIMEOUT,
        deadline: Instant::now() + BODY_TIMEOUT,
    };
    let read = read_body(&memory, &mut body, limits).await.and_then(|body| {
        let bytes = if body.len() > SMALL_BODY { body.len() * HANDLER_FACTOR } else { 0 };
        memory.hold_answer(bytes).map(|handling| (body, handling)).ok_or(ReadError::NoMemory)
    });
    match read {
        Ok((body, _handling)) => {
            next.run(Request::from_parts(head, Body::new(SegmentedBody::from(body)))).await
        }
        Err(error) => {
            let (method, path) = (&head.method, head.uri.path());
            log::info!("event=call_refused method={method} path={path} reason=\"{error}\"");
            refusal(error).into_response()
        }
    }
}

/// Answer to a call that was not handled. Its connection is closed, since the rest of the body is unread.
pub(crate) fn refusal(error: ReadError) -> impl IntoResponse {
    let status = match error {
        ReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::TooLate | ReadError::Stalled | ReadError::CallerLeft => {
            StatusCode::REQUEST_TIMEOUT
        }
        ReadError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
    };
    let headers = [
        (CONNECTION, HeaderValue::from_static("close")),
        (CONTENT_TYPE, HeaderValue::from_static("application/json")),
    ];
    (status, headers, format!("{{\"error\":\"{error}\"}}"))
}
