//! The weight store over HTTP.

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
pub struct LoadCall {
    /// Bytes to load.
    pub bytes: u64,
}

/// Answer of `GET /v1/loads`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsBody {
    /// Loads under way.
    pub active: usize,
}

struct Weights {
    store: Mutex<WeightStore>,
    clock: Clock,
}

impl Weights {
    fn lock(&self) -> MutexGuard<'_, WeightStore> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A load under way; it gives its share back when the caller hangs up.
struct Load {
    weights: Arc<Weights>,
    id: LoadId,
}

impl Drop for Load {
    fn drop(&mut self) {
        let now = self.weights.clock.now();
        self.weights.lock().abandon(self.id, now);
    }
}

/// The routes of a weight store.
pub fn router(store: WeightStore) -> Router {
    let weights = Weights { store: Mutex::new(store), clock: Clock::start() };
    Router::new()
        .route("/v1/loads", post(load).get(loads))
        .route("/healthz", get(|| async { "ok" }))
        .with_state(Arc::new(weights))
}

/// Answers once the load has ended.
async fn load(State(weights): State<Arc<Weights>>, body: Bytes) -> Result<(), ApiError> {
    let call: LoadCall =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let now = weights.clock.now();
    let id = weights.lock().start(call.bytes, now);
    let load = Load { weights, id };
    while let Some(at) = next_look(&load) {
        load.weights.clock.sleep_until(at).await;
    }
    Ok(())
}

/// When to look at the load again; `None` once it has ended.
fn next_look(load: &Load) -> Option<Timestamp> {
    let now = load.weights.clock.now();
    let mut store = load.weights.lock();
    let running = store.is_running(load.id, now);
    store.next_end().filter(|_| running)
}

async fn loads(State(weights): State<Arc<Weights>>) -> Json<LoadsBody> {
    Json(LoadsBody { active: weights.lock().active() })
}
