//! HTTP API of the application server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, Uri};
use axum::routing::{get, post};
use axum::{Json, Router};

use super::clock::Clock;
use super::error::ApiError;
use super::headers;
use super::report::{WITNESS_PATH, WitnessReport};
use crate::application::{Execution, ExecutionCount, Executions, Receipt, listing_text};

/// Path of the list of executions.
pub const EXECUTIONS_PATH: &str = "/v1/emulator/executions";

/// Header with the idempotency key of an at-most-once request.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the tenant, set by the router.
const TENANT_HEADER: &str = "x-tenant";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Default processing time of a request: a few reads and one write of a database.
pub const WORK_TIME: Duration = Duration::from_millis(30);

struct Application {
    executions: Mutex<Executions>,
    clock: Clock,
    work_time: Duration,
}

impl Application {
    fn lock(&self) -> MutexGuard<'_, Executions> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Shared = State<Arc<Application>>;

/// Builds the routes of an application server that processes each request in `work_time`.
pub fn router(executions: Executions, work_time: Duration) -> Router {
    let executions = Mutex::new(executions);
    let application = Application { executions, clock: Clock::start(), work_time };
    Router::new()
        .route("/apply/{*path}", post(apply))
        .route("/board/{*path}", get(listing))
        .route(EXECUTIONS_PATH, get(list_executions))
        .route(WITNESS_PATH, get(witness))
        .route("/healthz", get(|| async { "ok" }))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::new(application))
}

async fn apply(
    State(application): Shared,
    uri: Uri,
    header_map: HeaderMap,
    body: Bytes,
) -> Result<Json<Receipt>, ApiError> {
    let key: String =
        headers::parse(&header_map, KEY_HEADER)?.ok_or(ApiError::MissingHeader(KEY_HEADER))?;
    let tenant: String = headers::parse(&header_map, TENANT_HEADER)?
        .ok_or(ApiError::MissingHeader(TENANT_HEADER))?;
    let receipt = Receipt::of(&tenant, &key, uri.path(), &body);
    // Runs in a task of its own, so that the work continues when the caller disconnects.
    let task = tokio::spawn(async move {
        let now = application.clock.now();
        let recorded = application.lock().record(Execution { tenant, key }, now);
        recorded.map_err(|_| ApiError::Journal)?;
        tokio::time::sleep(application.work_time).await;
        Ok::<(), ApiError>(())
    });
    task.await.map_err(|_| ApiError::Interrupted)??;
    Ok(Json(receipt))
}

async fn listing(State(application): Shared, uri: Uri) -> String {
    tokio::time::sleep(application.work_time / 2).await;
    listing_text(uri.path())
}

async fn list_executions(State(application): Shared) -> Json<Vec<ExecutionCount>> {
    Json(application.lock().counts())
}

async fn witness(State(application): Shared) -> Json<WitnessReport> {
    Json(WitnessReport::of(application.lock().witness()))
}
