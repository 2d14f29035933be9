//! A back end that a request ends: as a bug in a real engine would, for each engine that runs it.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::Request;
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};

/// Largest body that is looked at, in bytes: the emulators take no larger one.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What follows the text in a request that ends the back end only after a while.
pub const LATE: &str = "-late";

/// Time after which such a request ends the back end: its answer has begun by then.
const LATE_BY: Duration = Duration::from_millis(100);

/// Ends the process or whatever stands for it; does not return in a real emulator.
pub type End = Arc<dyn Fn() + Send + Sync>;

/// The routes, but a request with `text` in its path or body calls `end`: before it is handed on,
/// or, with [`LATE`] behind the text, a while later.
pub fn ending_on(routes: Router, text: String, end: End) -> Router {
    let text: Arc<str> = text.into();
    routes.layer(from_fn(move |request: Request, next: Next| {
        let (text, end) = (Arc::clone(&text), Arc::clone(&end));
        async move { run(request, next, &text, end).await }
    }))
}

async fn run(request: Request, next: Next, text: &str, end: End) -> Response {
    let (head, body) = request.into_parts();
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let late = format!("{text}{LATE}");
    let has = |wanted: &str| {
        head.uri.path().contains(wanted) || String::from_utf8_lossy(&body).contains(wanted)
    };
    if has(&late) {
        tokio::spawn(async move {
            tokio::time::sleep(LATE_BY).await;
            end();
        });
    } else if has(text) {
        end();
    }
    next.run(Request::from_parts(head, Body::from(body))).await
}
