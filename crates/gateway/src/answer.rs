//! Answers of the gateway's own.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::AnswerBody;
use crate::dialect::Dialect;

/// Pause asked of a caller while the node knows no configuration.
const START_PAUSE: Duration = Duration::from_millis(400);

/// Pause asked of a caller while the node can't confirm its configuration.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(500);

/// Why the gateway itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnAnswer {
    /// The request can't be read.
    Malformed,
    /// The key is unknown.
    UnknownKey,
    /// No route takes the request.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// No configuration is known yet.
    Starting,
    /// The configuration can't be confirmed.
    Unconfirmed,
    /// No server can take the request. It has not run; it may come back after the pause.
    NoServer(Duration),
    /// The servers are full. It has not run; it may come back after the pause.
    Full(Duration),
    /// Too much waits at the servers. It has not run; it may come back after the pause.
    Overloaded(Duration),
    /// Servers have got what they take from all routers together. It has not run; it may come back
    /// after the pause.
    ServersUsedUp(Duration),
    /// Every server asked for a pause. It has not run; it may come back after the pause.
    ServersResting(Duration),
    /// The tenant's limit is reached. It has not run; it may come back after the pause.
    OverLimit(Duration),
    /// No time was left to send it. It has not run.
    TooLate,
    /// Servers ended under this very request, so it is sent to none. It may have run before.
    Quarantined,
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
            OwnAnswer::OverLimit(_) => StatusCode::TOO_MANY_REQUESTS,
            OwnAnswer::Starting
            | OwnAnswer::Unconfirmed
            | OwnAnswer::NoServer(_)
            | OwnAnswer::Full(_)
            | OwnAnswer::Overloaded(_)
            | OwnAnswer::ServersUsedUp(_)
            | OwnAnswer::ServersResting(_)
            | OwnAnswer::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            // No promise, since it has run, and no time to come back. A 4xx would say that it is
            // not allowed, which it is.
            OwnAnswer::Quarantined | OwnAnswer::ServerFailed => StatusCode::BAD_GATEWAY,
            OwnAnswer::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The reason for logs and counters.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            OwnAnswer::Malformed => "malformed",
            OwnAnswer::UnknownKey => "unknown_key",
            OwnAnswer::NoRoute => "no_route",
            OwnAnswer::TooLarge => "too_large",
            OwnAnswer::Starting => "starting",
            OwnAnswer::Unconfirmed => "unconfirmed",
            OwnAnswer::NoServer(_) => "no_server",
            OwnAnswer::Full(_) => "full",
            OwnAnswer::Overloaded(_) => "overloaded",
            OwnAnswer::ServersUsedUp(_) => "servers_used_up",
            OwnAnswer::ServersResting(_) => "servers_resting",
            OwnAnswer::OverLimit(_) => "over_limit",
            OwnAnswer::TooLate => "too_late",
            OwnAnswer::Quarantined => "quarantined",
            OwnAnswer::ServerFailed => "server_failed",
            OwnAnswer::DeadlinePassed => "deadline_passed",
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            OwnAnswer::Starting => Some(START_PAUSE),
            OwnAnswer::Unconfirmed => Some(UNCONFIRMED_PAUSE),
            OwnAnswer::NoServer(pause)
            | OwnAnswer::Full(pause)
            | OwnAnswer::Overloaded(pause)
            | OwnAnswer::ServersUsedUp(pause)
            | OwnAnswer::ServersResting(pause)
            | OwnAnswer::OverLimit(pause) => Some(pause),
            _ => None,
        }
    }

    /// The answer to the request with this id, if it has one.
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
        if let Some(pause) = self.retry_after() {
            insert_text(headers, RETRY_AFTER, &format!("{:.3}", pause.as_secs_f64()));
        }
        if let Some(id) = id {
            dialect.write_own_answer(headers, id);
        }
        response
    }
}

fn insert_text(headers: &mut hyper::HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
