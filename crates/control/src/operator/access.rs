//! Authentication of operators.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};

use super::OperatorApi;
use super::error::OperatorError;

/// Rejects requests that don't present an operator key.
pub(super) async fn require_key(
    State(api): State<Arc<OperatorApi>>,
    request: Request,
    next: Next,
) -> Response {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    if key.is_some_and(|key| is_operator(&api, key)) {
        next.run(request).await
    } else {
        OperatorError::Unauthorized.into_response()
    }
}

/// Whether `key` is an operator key. Always compares with all keys, so that the time doesn't reveal
/// which one matched.
fn is_operator(api: &OperatorApi, key: &str) -> bool {
    api.operator_keys.iter().fold(false, |found, hash| hash.matches(key) | found)
}
