//! The engine emulator's HTTP face: the engine model in real time.

mod calls;
mod completion;
mod driver;
mod transfers;
mod weights;

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use juniper_types::Incarnation;

use self::driver::EngineDriver;
use self::weights::WeightFetcher;
use super::clock::Clock;
use super::report::WITNESS_PATH;
use crate::engine::{Engine, EngineConfig};

/// Largest body taken, in bytes: the router's own limit is at most this.
const MAX_BODY_BYTES: usize = 16 << 20;

/// What an engine emulator is started with.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The engine.
    pub config: EngineConfig,
    /// The life of this process.
    pub incarnation: Incarnation,
    /// Weight store that ordered weights are fetched from.
    pub weight_store: Option<SocketAddr>,
}

type Shared = axum::extract::State<Arc<EngineDriver>>;

/// The routes of an engine emulator. Must be called within a runtime.
pub fn router(options: EngineOptions) -> Router {
    let clock = Clock::start();
    let engine = Engine::new(options.config, options.incarnation, clock.now());
    let driver = EngineDriver::start(engine, clock, WeightFetcher::new(options.weight_store));
    Router::new()
        .route("/v1/chat/completions", post(completion::chat))
        .route("/v1/requests/{id}/cancel", post(calls::cancel))
        .route("/v1/cache/events", get(calls::events))
        .route("/v1/cache/snapshot", get(calls::snapshot))
        .route("/v1/cache/export", post(transfers::export))
        .route("/v1/cache/import", post(transfers::import))
        .route("/v1/load", get(calls::load))
        .route("/v1/orders", post(calls::order))
        .route("/v1/emulator/leave", post(calls::leave))
        .route(WITNESS_PATH, get(calls::witness))
        .route("/healthz", get(|| async { "ok" }))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(driver)
}
