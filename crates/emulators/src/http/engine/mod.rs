//! HTTP API of the engine emulator, which runs the engine model in real time.

mod api;
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

/// Maximum size of a request body, in bytes; not below the router's limit.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Options of an engine emulator.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Configuration of the engine model.
    pub config: EngineConfig,
    /// Incarnation of the engine in this process.
    pub incarnation: Incarnation,
    /// Address of the weight store; without one, loads run at the full rate.
    pub weight_store: Option<SocketAddr>,
}

type Shared = axum::extract::State<Arc<EngineDriver>>;

/// Builds the routes of an engine emulator. Must be called within a Tokio runtime.
pub fn router(options: EngineOptions) -> Router {
    let clock = Clock::start();
    let engine = Engine::new(options.config, options.incarnation, clock.now());
    let driver = EngineDriver::start(engine, clock, WeightFetcher::new(options.weight_store));
    Router::new()
        .route("/v1/chat/completions", post(completion::chat))
        .route("/v1/requests/{id}/cancel", post(api::cancel))
        .route("/v1/cache/events", get(api::events))
        .route("/v1/cache/snapshot", get(api::snapshot))
        .route("/v1/cache/export", post(transfers::export))
        .route("/v1/cache/import", post(transfers::import))
        .route("/v1/load", get(api::load))
        .route("/v1/orders", post(api::order))
        .route("/v1/emulator/leave", post(api::leave))
        .route(WITNESS_PATH, get(api::witness))
        .route("/healthz", get(|| async { "ok" }))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(driver)
}
