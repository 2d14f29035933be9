//! Errors of the back-end protocol as HTTP answers.

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

/// Why an emulator did not carry out a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// A header can't be read.
    #[error("header {0} can't be read")]
    Header(&'static str),
    /// A header that the call needs is absent.
    #[error("header {0} is required")]
    MissingHeader(&'static str),
    /// The body can't be read.
    #[error("the body can't be read: {0}")]
    Body(String),
    /// A field of the path or the query can't be read.
    #[error("parameter {0} can't be read")]
    Parameter(&'static str),
    /// The engine does not serve this model.
    #[error("model {0} is not loaded")]
    ModelNotLoaded(String),
    /// The engine does not hold this adapter.
    #[error("adapter {0} is not loaded")]
    AdapterNotLoaded(String),
    /// The engine holds other weights than the router planned with.
    #[error("the weights loaded are not those asked for")]
    WeightsMismatch,
    /// The engine is in another incarnation than the router planned with.
    #[error("the incarnation is not the one asked for")]
    IncarnationMismatch,
    /// The engine's queue is full.
    #[error("the queue is full")]
    Overloaded {
        /// When to come back, in seconds.
        retry_after_seconds: u64,
    },
    /// The back end takes no new work.
    #[error("this back end is leaving")]
    Leaving,
    /// The request can't be finished in its remaining time.
    #[error("the deadline can't be met")]
    Deadline,
    /// The request can never fit into the engine.
    #[error("the prompt is longer than the cache")]
    PromptTooLong,
    /// A request with the same id is running.
    #[error("a request with this id is known already")]
    DuplicateRequest,
    /// A fencing token is older than one seen before.
    #[error("the fencing token is older than {newest}")]
    Fenced {
        /// The newest token seen.
        newest: u64,
    },
    /// The entry does not match the scope, incarnation or weights of the engine.
    #[error("the entry belongs to another scope, incarnation or weights")]
    ForeignEntry,
    /// A kept entry fails its checksum.
    #[error("the entry is damaged")]
    Damaged,
    /// No such thing here.
    #[error("not found")]
    NotFound,
    /// The byte range lies outside the resource.
    #[error("the range can't be satisfied")]
    Range,
    /// Weights are being loaded.
    #[error("weights are being loaded")]
    Loading,
    /// The request was cancelled before it entered the batch.
    #[error("the request was cancelled")]
    Cancelled,
    /// The request ended after its work had begun.
    #[error("the request was interrupted")]
    Interrupted,
    /// No memory is free for an import.
    #[error("no memory is free")]
    NoMemory,
    /// The emulator's own files can't be written.
    #[error("the record of executions can't be written")]
    Journal,
}

impl ApiError {
    /// Stable code of the error.
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

    /// HTTP status of the error.
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

    /// Whether nothing of the request was run.
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
