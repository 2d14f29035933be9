//! HTTP API of the platform's list of machines.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use juniper_types::Timestamp;
use serde::Serialize;

use super::clock::Clock;
use super::error::ApiError;
use crate::platform::{Machine, PlatformList};

struct Platform {
    list: Mutex<PlatformList>,
    clock: Clock,
}

#[derive(Serialize)]
struct ListBody {
    as_of_ms: u64,
    machines: Vec<Machine>,
}

/// Builds the routes of a platform whose list lags by `lag`.
pub fn router(lag: Duration) -> Router {
    let platform = Platform { list: Mutex::new(PlatformList::new(lag)), clock: Clock::start() };
    Router::new()
        .route("/v1/machines", get(machines))
        .route("/v1/emulator/machines", post(record_machine))
        .route("/healthz", get(|| async { "ok" }))
        .with_state(Arc::new(platform))
}

async fn machines(State(platform): State<Arc<Platform>>) -> Json<ListBody> {
    let mut list = platform.list.lock().unwrap_or_else(PoisonError::into_inner);
    let (as_of, machines) = list.read(platform.clock.now());
    Json(ListBody { as_of_ms: as_of.since(Timestamp::ZERO).as_millis() as u64, machines })
}

/// `POST /v1/emulator/machines`: the lab reports a change of a machine.
async fn record_machine(
    State(platform): State<Arc<Platform>>,
    body: Bytes,
) -> Result<(), ApiError> {
    let machine: Machine =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let mut list = platform.list.lock().unwrap_or_else(PoisonError::into_inner);
    list.record(machine, platform.clock.now());
    Ok(())
}
