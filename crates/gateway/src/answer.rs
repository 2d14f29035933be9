//! Responses that the gateway generates itself.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::AnswerBody;
use crate::dialect::Dialect;
use crate::resume::ResumeRefusal;

/// `Retry-After` while no configuration is known.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` while the memory for callers is short: bodies that stall give way within a second.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// `Retry-After` while the configuration can't be confirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason for which the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnAnswer {
    /// The request can't be parsed.
    Malformed,
    /// The key is unknown.
    UnknownKey,
    /// No route matches the request.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// The body stalled, or took longer than its request has. The request has not run.
    BodyTimeout,
    /// The memory for callers is short. The request has not run and may be retried.
    NoMemory,
    /// No configuration is known yet.
    Starting,
    /// The configuration can't be confirmed.
    Unconfirmed,
    /// No server is available. The request has not run and may be retried after the duration.
    NoServer(Duration),
    /// All servers are full. The request has not run and may be retried after the duration.
    Full(Duration),
    /// The servers are overloaded. The request has not run and may be retried after the duration;
    /// without one, no capacity is expected in the time that the caller has left.
    Overloaded(Option<Duration>),
    /// All servers have reached their advertised limits. The request has not run and may be retried
    /// after the duration.
    ServersAtLimit(Duration),
    /// All servers are backing off. The request has not run and may be retried after the duration.
    ServersBackingOff(Duration),
    /// The tenant's limit is reached. The request has not run and may be retried after the
    /// duration.
    OverLimit(Duration),
    /// Too little time was left to send the request, which has not run.
    TooLate,
    /// Servers crashed under the same request, so it isn't sent to any server. It may have run
    /// before.
    Quarantined,
    /// The stream can't be resumed. The request has not run.
    NotResumable(ResumeRefusal),
    /// The server failed; the request may have run.
    ServerFailed,
    /// The deadline has passed; the request may have run.
    DeadlinePassed,
}

impl OwnAnswer {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            OwnAnswer::Malformed => StatusCode::BAD_REQUEST,
            OwnAnswer::UnknownKey => StatusCode::UNAUTHORIZED,
            OwnAnswer::NoRoute => StatusCode::NOT_FOUND,
            OwnAnswer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OwnAnswer::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            OwnAnswer::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            OwnAnswer::Starting
            | OwnAnswer::NoMemory
            | OwnAnswer::Unconfirmed
            | OwnAnswer::NoServer(_)
            | OwnAnswer::Full(_)
            | OwnAnswer::Overloaded(_)
            | OwnAnswer::ServersAtLimit(_)
            | OwnAnswer::ServersBackingOff(_)
            | OwnAnswer::NotResumable(_)
            | OwnAnswer::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            // Not 503, which would state that the request has not run and may be retried, and not
            // 4xx, since the caller is allowed to send it.
            OwnAnswer::Quarantined | OwnAnswer::ServerFailed => StatusCode::BAD_GATEWAY,
            OwnAnswer::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Value of `reason` in logs, metrics and the body of the answer.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            OwnAnswer::Malformed => "malformed",
            OwnAnswer::UnknownKey => "unknown_key",
            OwnAnswer::NoRoute => "no_route",
            OwnAnswer::TooLarge => "too_large",
            OwnAnswer::BodyTimeout => "body_timeout",
            OwnAnswer::NoMemory => "no_memory",
            OwnAnswer::Starting => "starting",
            OwnAnswer::Unconfirmed => "unconfirmed",
            OwnAnswer::NoServer(_) => "no_server",
            OwnAnswer::Full(_) => "full",
            OwnAnswer::Overloaded(_) => "overloaded",
            OwnAnswer::ServersAtLimit(_) => "servers_used_up",
            OwnAnswer::ServersBackingOff(_) => "servers_resting",
            OwnAnswer::OverLimit(_) => "over_limit",
            OwnAnswer::TooLate => "too_late",
            OwnAnswer::Quarantined => "quarantined",
            OwnAnswer::NotResumable(refusal) => refusal.as_str(),
            OwnAnswer::ServerFailed => "server_failed",
            OwnAnswer::DeadlinePassed => "deadline_passed",
        }
    }

    /// Whether the body was refused, so that the connection can't be used for another request.
    pub(crate) fn refuses_body(self) -> bool {
        matches!(self, OwnAnswer::TooLarge | OwnAnswer::BodyTimeout | OwnAnswer::NoMemory)
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            OwnAnswer::Starting => Some(STARTING_RETRY_AFTER),
            OwnAnswer::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
            OwnAnswer::Unconfirmed => Some(UNCONFIRMED_RETRY_AFTER),
            OwnAnswer::NoServer(retry_after)
            | OwnAnswer::Full(retry_after)
            | OwnAnswer::ServersAtLimit(retry_after)
            | OwnAnswer::ServersBackingOff(retry_after)
            | OwnAnswer::OverLimit(retry_after) => Some(retry_after),
            OwnAnswer::Overloaded(retry_after) => retry_after,
            OwnAnswer::NotResumable(ResumeRefusal::Unanswered) => Some(UNCONFIRMED_RETRY_AFTER),
            _ => None,
        }
    }

    /// `Retry-After` for logs: `retry_after_ms`, -1 for none, and whether the answer is final.
    pub(crate) fn retry_fields(self) -> String {
        let retry_after_ms = self.retry_after().map_or(-1, |wait| wait.as_millis() as i64);
        format!("retry_after_ms={retry_after_ms} final={}", self.retry_after().is_none())
    }

    /// Builds the response; `id` is the caller's request id, if one could be parsed.
    pub(crate) fn response(
        self,
        dialect: &dyn Dialect,
        id: Option<&HeaderValue>,
    ) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}\n", self.reason());
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.retry_after() {
            insert_header(headers, RETRY_AFTER, &format!("{:.3}", retry_after.as_secs_f64()));
        }
        if let Some(id) = id {
            dialect.write_own_answer(headers, id);
        }
        response
    }
}

fn insert_header(headers: &mut hyper::HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
