//! Errors of the operator API, sent as a JSON body with a stable code.

use axum::Json;
use axum::extract::rejection::{JsonRejection, QueryRejection};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use juniper_control_state::WriteAnswer;
use juniper_protocol::Refusal;
use juniper_settings::SettingsPath;
use juniper_types::{EngineId, FingerprintError, Revision};
use serde::Serialize;

/// Error of an operator call.
#[derive(Debug, thiserror::Error)]
pub(super) enum OperatorError {
    #[error("an operator key is needed: authorization: Bearer <key>")]
    Unauthorized,
    #[error("no such resource")]
    NotFound,
    #[error("method not allowed here")]
    MethodNotAllowed,
    #[error(transparent)]
    Body(#[from] JsonRejection),
    #[error(transparent)]
    Query(#[from] QueryRejection),
    #[error("{0}")]
    Path(#[from] juniper_settings::path::PathError),
    #[error(transparent)]
    Fingerprint(#[from] FingerprintError),
    #[error("the tree has no node {0}")]
    NoNode(SettingsPath),
    #[error("the tree has no back end {0}")]
    NoBackEnd(EngineId),
    #[error("revisions {oldest} to {current} are kept")]
    RevisionUnavailable { oldest: Revision, current: Revision },
    #[error("the author has more than {limit} bytes")]
    AuthorTooLong { limit: usize },
    #[error("the change has {bytes} encoded bytes, at most {limit} are allowed")]
    TooLarge { bytes: usize, limit: usize },
    #[error("the tree has moved on: revision {current} is in force")]
    Conflict { current: Revision, answer: WriteAnswer },
    #[error("the resulting tree would have {count} fault(s)")]
    Invalid { count: usize, answer: WriteAnswer },
    #[error("the change id was used for another change, which made revision {revision}")]
    ChangeIdReused { revision: Revision },
    #[error("too many changes, retry after {retry_after_ms} ms")]
    RateLimited { retry_after_ms: u64 },
    #[error("{0}")]
    Refused(Refusal),
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

impl From<Refusal> for OperatorError {
    fn from(refusal: Refusal) -> Self {
        OperatorError::Refused(refusal)
    }
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: &'static str,
    message: String,
    /// True if the call is known to have had no effect; absent otherwise.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a WriteAnswer>,
}

impl OperatorError {
    fn status_and_code(&self) -> (StatusCode, &'static str) {
        use StatusCode as S;
        match self {
            OperatorError::Unauthorized => (S::UNAUTHORIZED, "unauthorized"),
            OperatorError::NotFound => (S::NOT_FOUND, "not_found"),
            OperatorError::MethodNotAllowed => (S::METHOD_NOT_ALLOWED, "method_not_allowed"),
            OperatorError::Body(rejection) => (rejection.status(), "bad_body"),
            OperatorError::Query(rejection) => (rejection.status(), "bad_query"),
            OperatorError::Path(_) => (S::BAD_REQUEST, "bad_path"),
            OperatorError::Fingerprint(_) => (S::BAD_REQUEST, "bad_fingerprint"),
            OperatorError::NoNode(_) => (S::NOT_FOUND, "no_node"),
            OperatorError::NoBackEnd(_) => (S::NOT_FOUND, "no_back_end"),
            OperatorError::RevisionUnavailable { .. } => (S::NOT_FOUND, "revision_unavailable"),
            OperatorError::AuthorTooLong { .. } => (S::BAD_REQUEST, "author_too_long"),
            OperatorError::TooLarge { .. } => (S::PAYLOAD_TOO_LARGE, "too_large"),
            OperatorError::Conflict { .. } => (S::CONFLICT, "conflict"),
            OperatorError::Invalid { .. } => (S::UNPROCESSABLE_ENTITY, "invalid_tree"),
            OperatorError::ChangeIdReused { .. } => (S::CONFLICT, "change_id_reused"),
            OperatorError::RateLimited { .. } => (S::TOO_MANY_REQUESTS, "rate_limited"),
            OperatorError::Refused(refusal) => refusal_status(refusal),
            OperatorError::Metrics(_) => (S::INTERNAL_SERVER_ERROR, "metrics"),
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            OperatorError::RateLimited { retry_after_ms }
            | OperatorError::Refused(Refusal::Overloaded { retry_after_ms }) => {
                Some(*retry_after_ms)
            }
            _ => None,
        }
    }

    /// Whether the call is known to have had no effect.
    fn is_not_run(&self) -> bool {
        !matches!(
            self,
            OperatorError::Refused(Refusal::Unknown) | OperatorError::ChangeIdReused { .. }
        )
    }

    fn detail(&self) -> Option<&WriteAnswer> {
        match self {
            OperatorError::Conflict { answer, .. } | OperatorError::Invalid { answer, .. } => {
                Some(answer)
            }
            _ => None,
        }
    }
}

fn refusal_status(refusal: &Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::NotLeader { .. } => (StatusCode::SERVICE_UNAVAILABLE, "not_leader"),
        Refusal::NoQuorum => (StatusCode::SERVICE_UNAVAILABLE, "no_quorum"),
        Refusal::Unknown => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
        Refusal::Overloaded { .. } => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        Refusal::NotAllowed => (StatusCode::FORBIDDEN, "not_allowed"),
    }
}

impl IntoResponse for OperatorError {
    fn into_response(self) -> Response {
        let (status, code) = self.status_and_code();
        let retry_after_ms = self.retry_after_ms();
        let error = Detail {
            code,
            message: self.to_string(),
            not_run: self.is_not_run(),
            retry_after_ms,
            detail: self.detail(),
        };
        let mut response = (status, Json(Body { error })).into_response();
        if let Some(millis) = retry_after_ms {
            let seconds = HeaderValue::from(millis.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// Handles requests to unknown paths.
pub(super) async fn not_found() -> OperatorError {
    OperatorError::NotFound
}

/// Handles requests with a method that the path doesn't support.
pub(super) async fn method_not_allowed() -> OperatorError {
    OperatorError::MethodNotAllowed
}
