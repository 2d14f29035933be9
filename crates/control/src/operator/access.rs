//! Operator calls need an operator key.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::http::header::AUTHORIZATION;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};

use super::OperatorFace;
use super::error::OperatorError;

/// Lets a request pass if it presents one of the operator keys.
pub(super) async fn require_key(
    State(face): State<Arc<OperatorFace>>,
    request: Request,
    next: Next,
) -> Response {
    let header = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    if key.is_some_and(|key| is_operator(&face, key)) {
        next.run(request).await
    } else {
        OperatorError::Unauthorized.into_response()
    }
}

/// Compares with every key, so that the time tells nothing about which one matched.
fn is_operator(face: &OperatorFace, key: &str) -> bool {
    face.operator_keys.iter().fold(false, |found, hash| hash.matches(key) | found)
}
