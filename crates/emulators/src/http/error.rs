//! Errors of the back-end protocol and their HTTP responses.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

/// Error response of an emulator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// A header is malformed.
    #[error("header {0} can't be read")]
    Header(&'static str),
    /// A required header is missing.
    #[error("header {0} is required")]
    MissingHeader(&'static str),
    /// The body is malformed.
    #[error("the body can't be read: {0}")]
    Body(String),
    /// A path or query parameter is malformed.
    #[error("parameter {0} can't be read")]
    Parameter(&'static str),
    /// The engine does not serve this model.
    #[error("model {0} is not loaded")]
    ModelNotLoaded(String),
    /// The engine has not loaded this adapter.
    #[error("adapter {0} is not loaded")]
    AdapterNotLoaded(String),
    /// The loaded weights differ from those that the router planned with.
    #[error("the weights loaded are not those asked for")]
    WeightsMismatch,
    /// The engine's incarnation differs from the one that the router planned with.
    #[error("the incarnation is not the one asked for")]
    IncarnationMismatch,
    /// The engine's queue is full.
    #[error("the queue is full")]
    Overloaded {
        /// Value of `retry-after`, in seconds.
        retry_after_seconds: u64,
    },
    /// The back end is departing and accepts no new work.
    #[error("this back end is leaving")]
    Leaving,
    /// The request can't be completed before its deadline.
    #[error("the deadline can't be met")]
    Deadline,
    /// The request exceeds the engine's total cache capacity.
    #[error("the prompt is longer than the cache")]
    PromptTooLong,
    /// The request id was used before.
    #[error("a request with this id is known already")]
    DuplicateRequest,
    /// The engine has accepted a later order.
    #[error("the fencing token is older than {newest}")]
    Fenced {
        /// Fencing token of the latest accepted order.
        newest: u64,
    },
    /// The requested scope differs from the entry's or the engine's.
    #[error("the entry belongs to another scope, incarnation or weights")]
    ForeignEntry,
    /// The checksum of a KV cache entry doesn't match.
    #[error("the entry is damaged")]
    Damaged,
    /// The requested resource does not exist.
    #[error("not found")]
    NotFound,
    /// The byte range is malformed or outside the resource.
    #[error("the range can't be satisfied")]
    Range,
    /// The weights are being loaded or the engine is down.
    #[error("weights are being loaded")]
    Loading,
    /// The request was cancelled before work on it started.
    #[error("the request was cancelled")]
    Cancelled,
    /// The request was interrupted after work on it may have started.
    #[error("the request was interrupted")]
    Interrupted,
    /// No memory is available for the KV cache entry.
    #[error("no memory is free")]
    NoMemory,
    /// The execution journal can't be written.
    #[error("the record of executions can't be written")]
    Journal,
}

impl ApiError {
    /// Error code of the response body.
    pub fn code(&self) -> &'static str {
        match self {
            ApiError::Header(_) => "bad_header",
            ApiError::MissingHeader(_) => "missing_header",
            ApiError::Body(_) => "bad_body",
            ApiError::Parameter(_) => "bad_parameter",
            ApiError::ModelNotLoaded(_) => "model_not_loaded",
            ApiError::AdapterNotLoaded(_) => "adapter_not_loaded",
            ApiError::WeightsMismatch => "weights_mismatch",
            ApiError::IncarnationMismatch => "incarnation_mismatch",
            ApiError::Overloaded { .. } => "overloaded",
            ApiError::Leaving => "leaving",
            ApiError::Deadline => "deadline",
            ApiError::PromptTooLong => "prompt_too_long",
            ApiError::DuplicateRequest => "duplicate_request",
            ApiError::Fenced { .. } => "fenced",
            ApiError::ForeignEntry => "foreign_entry",
            ApiError::Damaged => "damaged",
            ApiError::NotFound => "not_found",
            ApiError::Range => "range",
            ApiError::Loading => "loading",
            ApiError::Cancelled => "cancelled",
            ApiError::Interrupted => "interrupted",
            ApiError::NoMemory => "no_memory",
            ApiError::Journal => "journal",
        }
    }

    /// HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            ApiError::Header(_)
            | ApiError::MissingHeader(_)
            | ApiError::Body(_)
            | ApiError::Parameter(_) => StatusCode::BAD_REQUEST,
            ApiError::ModelNotLoaded(_)
            | ApiError::AdapterNotLoaded(_)
            | ApiError::WeightsMismatch
            | ApiError::IncarnationMismatch
            | ApiError::DuplicateRequest
            | ApiError::Fenced { .. }
            | ApiError::ForeignEntry
            | ApiError::Damaged
            | ApiError::Cancelled => StatusCode::CONFLICT,
            ApiError::Overloaded { .. }
            | ApiError::Leaving
            | ApiError::Loading
            | ApiError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            ApiError::Interrupted | ApiError::Journal => StatusCode::INTERNAL_SERVER_ERROR,
            ApiError::Deadline => StatusCode::GATEWAY_TIMEOUT,
            ApiError::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ApiError::NotFound => StatusCode::NOT_FOUND,
            ApiError::Range => StatusCode::RANGE_NOT_SATISFIABLE,
        }
    }

    /// Returns whether the request is known not to have run.
    pub fn not_run(&self) -> bool {
        !matches!(self, ApiError::Interrupted)
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    code: &'static str,
    message: String,
    not_run: bool,
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let not_run = self.not_run();
        let detail = ErrorDetail { code: self.code(), message: self.to_string(), not_run };
        let mut response = (self.status(), Json(ErrorBody { error: detail })).into_response();
        if let ApiError::Overloaded { retry_after_seconds } = self {
            let value = HeaderValue::from(retry_after_seconds);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
