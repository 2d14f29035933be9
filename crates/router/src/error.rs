//! Errors returned to callers, as JSON bodies with stable codes.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

/// Retry delay suggested while the memory for callers is short, in milliseconds: bodies that stall give
/// way within a second.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Error of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The API key is missing or belongs to no tenant.
    #[error("the API key is missing or unknown")]
    Unauthenticated,
    /// The tenant has no such service.
    #[error("the tenant has no service {0:?}")]
    UnknownService(String),
    /// The requested model isn't the one that the service serves.
    #[error("the service does not serve model {0:?}")]
    UnknownModel(String),
    /// The body or a header is invalid.
    #[error("bad request: {0}")]
    Malformed(String),
    /// The body is larger than the settings allow.
    #[error("the body has more than {limit} bytes")]
    TooLarge {
        /// Largest accepted body, in bytes.
        limit: u64,
    },
    /// The body stalled, or took longer than the request may.
    #[error("the body did not arrive in time")]
    BodyTimeout,
    /// The memory for callers is short.
    #[error("the memory for callers is short")]
    NoMemory,
    /// A limit of the tenant or service is reached.
    #[error("limit reached: {limit}")]
    Limited {
        /// Name of the limit.
        limit: &'static str,
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The router is full or the deadline can't be met at the current load.
    #[error("the deadline can't be met now")]
    Overloaded {
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// No back end of the required kind is available.
    #[error("no back end can serve this now")]
    NoBackEnd {
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The router has no settings in force yet, or they are older than allowed.
    #[error("settings are not in force or too old")]
    SettingsUnavailable {
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The router is shutting down.
    #[error("this router is stopping")]
    Stopping,
    /// No quorum of control replicas answered, so the request can't be claimed.
    #[error("no quorum to claim the request")]
    NoQuorum {
        /// Suggested retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for a different request")]
    KeyReused,
    /// The idempotency key is older than the retention time of claims, or lies in the future.
    #[error("the idempotency key is too old or lies in the future")]
    KeyOutOfRange,
    /// The request may have run and its answer isn't known.
    #[error("the request may have run; its outcome is unknown")]
    OutcomeUnknown,
    /// The request is quarantined because it crashed back ends; earlier attempts may have run.
    #[error("back ends ended under this request; it is sent to none any more")]
    Quarantined,
    /// The back end failed after it may have started the request.
    #[error("the back end failed")]
    BackEndFailed,
    /// The deadline passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The request has run, but its answer was too large to store for retries.
    #[error("the request has run with status {status}; its answer was too large to keep")]
    AnswerNotKept {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The path doesn't exist at the back ends.
    #[error("not found")]
    NotFound,
    /// The answer can't be resumed because no engine runs the software version that began it.
    #[error("no engine runs the software version that began the answer")]
    SoftwareGone,
    /// The answer can't be resumed because the software version that began it is unknown.
    #[error("the software version that began the answer is unknown")]
    SoftwareUnknown,
    /// The stream can't be resumed because the weights have changed.
    #[error("the weights changed since the stream began")]
    WeightsChanged,
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

/// JSON object that describes an error.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// Stable code.
    pub code: &'static str,
    /// Human-readable description.
    pub message: String,
    /// Whether it is certain that no back end ran any part of the request.
    pub not_run: bool,
    /// Suggested retry delay, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// Returns the stable code of the error.
    pub fn code(&self) -> &'static str {
        match self {
            RequestError::Unauthenticated => "unauthenticated",
            RequestError::UnknownService(_) => "unknown_service",
            RequestError::UnknownModel(_) => "unknown_model",
            RequestError::Malformed(_) => "malformed",
            RequestError::TooLarge { .. } => "too_large",
            RequestError::BodyTimeout => "body_timeout",
            RequestError::NoMemory => "no_memory",
            RequestError::Limited { .. } => "limited",
            RequestError::Overloaded { .. } => "overloaded",
            RequestError::NoBackEnd { .. } => "no_back_end",
            RequestError::SettingsUnavailable { .. } => "settings_unavailable",
            RequestError::Stopping => "stopping",
            RequestError::NoQuorum { .. } => "no_quorum",
            RequestError::KeyReused => "key_reused",
            RequestError::KeyOutOfRange => "key_out_of_range",
            RequestError::OutcomeUnknown => "outcome_unknown",
            RequestError::Quarantined => "quarantined",
            RequestError::BackEndFailed => "back_end_failed",
            RequestError::DeadlinePassed => "deadline_passed",
            RequestError::SoftwareGone => "software_gone",
            RequestError::SoftwareUnknown => "software_unknown",
            RequestError::WeightsChanged => "weights_changed",
            RequestError::AnswerNotKept { .. } => "answer_not_kept",
            RequestError::NotFound => "not_found",
        }
    }

    /// Returns the HTTP status of the error.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Unauthenticated => StatusCode::UNAUTHORIZED,
            RequestError::UnknownService(_)
            | RequestError::UnknownModel(_)
            | RequestError::NotFound => StatusCode::NOT_FOUND,
            RequestError::Malformed(_) | RequestError::KeyOutOfRange => StatusCode::BAD_REQUEST,
            RequestError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            RequestError::Limited { .. } => StatusCode::TOO_MANY_REQUESTS,
            RequestError::KeyReused
            | RequestError::SoftwareGone
            | RequestError::SoftwareUnknown
            | RequestError::WeightsChanged
            | RequestError::AnswerNotKept { .. } => StatusCode::CONFLICT,
            RequestError::OutcomeUnknown
            | RequestError::Quarantined
            | RequestError::BackEndFailed => StatusCode::BAD_GATEWAY,
            RequestError::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            RequestError::Overloaded { .. }
            | RequestError::NoBackEnd { .. }
            | RequestError::SettingsUnavailable { .. }
            | RequestError::Stopping
            | RequestError::NoMemory
            | RequestError::NoQuorum { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether it is certain that no back end ran any part of the request. Errors for which this
    /// holds are returned only before anything was sent, or after a back end reported that it ran
    /// nothing.
    pub fn not_run(&self) -> bool {
        !matches!(
            self,
            RequestError::OutcomeUnknown
                | RequestError::Quarantined
                | RequestError::BackEndFailed
                | RequestError::DeadlinePassed
                | RequestError::KeyReused
                | RequestError::AnswerNotKept { .. }
        )
    }

    /// Returns the suggested retry delay, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            RequestError::Limited { retry_after_ms, .. }
            | RequestError::Overloaded { retry_after_ms }
            | RequestError::NoBackEnd { retry_after_ms }
            | RequestError::SettingsUnavailable { retry_after_ms }
            | RequestError::NoQuorum { retry_after_ms } => Some(*retry_after_ms),
            RequestError::NoMemory => Some(NO_MEMORY_RETRY_MS),
            RequestError::Stopping => Some(0),
            _ => None,
        }
    }

    /// Returns the JSON object that describes the error.
    pub fn detail(&self) -> ErrorDetail {
        ErrorDetail {
            code: self.code(),
            message: self.to_string(),
            not_run: self.not_run(),
            retry_after_ms: self.retry_after_ms(),
        }
    }

    /// Returns the response body.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(&ErrorBody { error: self.detail() }).unwrap_or_default()
    }

    /// Returns the error as the last server-sent event of a stream that has already started.
    pub fn stream_event(&self) -> String {
        let body = ErrorBody { error: self.detail() };
        let json = serde_json::to_string(&body).unwrap_or_default();
        format!("event: error\ndata: {json}\n\n")
    }
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        let body = Json(ErrorBody { error: self.detail() });
        let mut response = (self.status(), body).into_response();
        if let Some(millis) = self.retry_after_ms() {
            // The header has whole seconds; rounds up so that callers don't return too early.
            let seconds = HeaderValue::from(millis.div_ceil(1_000).max(1));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
