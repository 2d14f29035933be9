//! Crash injection: requests that contain a trigger text crash the back end.
//!
//! Emulates a bug in a real engine that the same request triggers on every engine.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::Request;
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn};
use axum::response::{IntoResponse, Response};

/// Maximum size of a request body, in bytes; not below the limits of the emulators.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Suffix of the trigger that delays the crash by `CRASH_DELAY`.
pub const DELAYED_SUFFIX: &str = "-late";

/// Delay of a delayed crash, long enough for the response to have started.
const CRASH_DELAY: Duration = Duration::from_millis(100);

/// Crashes the back end; ends the process in a real emulator.
pub type CrashAction = Arc<dyn Fn() + Send + Sync>;

/// Wraps `routes` so that a request with `trigger` in its path or body calls `crash` before the
/// request is handled or, if [`DELAYED_SUFFIX`] follows the trigger, after `CRASH_DELAY`.
pub fn crash_on_trigger(routes: Router, trigger: String, crash: CrashAction) -> Router {
    let trigger: Arc<str> = trigger.into();
    routes.layer(from_fn(move |request: Request, next: Next| {
        let (trigger, crash) = (Arc::clone(&trigger), Arc::clone(&crash));
        async move { handle_request(request, next, &trigger, crash).await }
    }))
}

async fn handle_request(
    request: Request,
    next: Next,
    trigger: &str,
    crash: CrashAction,
) -> Response {
    let (head, body) = request.into_parts();
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let delayed = format!("{trigger}{DELAYED_SUFFIX}");
    let contains = |pattern: &str| {
        head.uri.path().contains(pattern) || String::from_utf8_lossy(&body).contains(pattern)
    };
    if contains(&delayed) {
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DELAY).await;
            crash();
        });
    } else if contains(trigger) {
        crash();
    }
    next.run(Request::from_parts(head, Body::from(body))).await
}
