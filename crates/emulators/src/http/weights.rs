//! HTTP API of the weight store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Bytes;
use axum::extract::State;
use axum::routing::{get, post};
use axum::{Json, Router};
use juniper_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::clock::Clock;
use super::error::ApiError;
use crate::weights::{LoadId, WeightStore};

/// Body of `POST /v1/loads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Number of bytes to load.
    pub bytes: u64,
}

/// Response body of `GET /v1/loads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsBody {
    /// Number of loads in progress.
    pub active: usize,
}

struct SharedStore {
    store: Mutex<WeightStore>,
    clock: Clock,
}

impl SharedStore {
    fn lock(&self) -> MutexGuard<'_, WeightStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Load in progress, aborted on drop when the caller disconnects.
struct Load {
    weights: Arc<SharedStore>,
    id: LoadId,
}

impl Drop for Load {
    fn drop(&mut self) {
        let now = self.weights.clock.now();
        self.weights.lock().abandon(self.id, now);
    }
}

/// Builds the routes of a weight store.
pub fn router(store: WeightStore) -> Router {
    let weights = SharedStore { store: Mutex::new(store), clock: Clock::start() };
    Router::new()
        .route("/v1/loads", post(load).get(loads))
        .route("/healthz", get(|| async { "ok" }))
        .with_state(Arc::new(weights))
}

/// Responds when the load has completed.
async fn load(State(weights): State<Arc<SharedStore>>, body: Bytes) -> Result<(), ApiError> {
    let request: LoadRequest =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let now = weights.clock.now();
    let id = weights.lock().start(request.bytes, now);
    let load = Load { weights, id };
    while let Some(at) = next_check_time(&load) {
        load.weights.clock.sleep_until(at).await;
    }
    Ok(())
}

/// Time of the next check of the load; `None` when it has completed.
fn next_check_time(load: &Load) -> Option<Timestamp> {
    let now = load.weights.clock.now();
    let mut store = load.weights.lock();
    let running = store.is_running(load.id, now);
    store.next_end().filter(|_| running)
}

async fn loads(State(weights): State<Arc<SharedStore>>) -> Json<LoadsBody> {
    Json(LoadsBody { active: weights.lock().active() })
}
