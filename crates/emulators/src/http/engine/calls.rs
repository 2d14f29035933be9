//! The engine's calls besides chat completions and transfers.

use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Path, Query, State};
use juniper_types::{Incarnation, RequestId, Timestamp};
use serde::{Deserialize, Serialize};

use super::Shared;
use crate::engine::orders::{Order, OrderAnswer, OrderRefusal};
use crate::engine::{CacheEvent, CancelState, Engine, LoadReport};
use crate::http::error::ApiError;
use crate::http::report::WitnessReport;

/// Longest wait of an event poll.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Pause between looks at an engine that has no event under way.
const IDLE_LOOK: Duration = Duration::from_millis(20);

#[derive(Deserialize)]
pub(super) struct EventQuery {
    incarnation: u64,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
pub(super) struct EventBatch {
    incarnation: Incarnation,
    first: u64,
    events: Vec<EventBody>,
}

#[derive(Serialize)]
struct EventBody {
    sequence: u64,
    stored: Vec<String>,
    removed: Vec<String>,
}

impl EventBody {
    fn of(event: &CacheEvent) -> Self {
        let texts =
            |hashes: &[juniper_types::BlockHash]| hashes.iter().map(ToString::to_string).collect();
        EventBody {
            sequence: event.sequence,
            stored: texts(&event.stored),
            removed: texts(&event.removed),
        }
    }
}

/// `GET /v1/cache/events`: waits until there are events, or the time is up.
pub(super) async fn events(
    State(driver): Shared,
    query: Result<Query<EventQuery>, QueryRejection>,
) -> Result<Json<EventBatch>, ApiError> {
    let Query(query) = query.map_err(|_| ApiError::Parameter("incarnation, after or wait_ms"))?;
    let clock = driver.clock();
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let until = clock.now().after(wait);
    loop {
        let look = driver.with(|engine, now| look(engine, &query, now, now >= until));
        match look {
            Look::Answer(batch) => return Ok(Json(batch)),
            Look::Wait(at) => clock.sleep_until(at.min(until)).await,
        }
    }
}

enum Look {
    Answer(EventBatch),
    Wait(Timestamp),
}

fn look(engine: &Engine, query: &EventQuery, now: Timestamp, at_end: bool) -> Look {
    let incarnation = engine.incarnation();
    let batch = |events| EventBatch { incarnation, first: query.after + 1, events };
    if incarnation.0 != query.incarnation {
        return Look::Answer(batch(Vec::new()));
    }
    let events = engine.events().after(query.after, now);
    if !events.is_empty() || at_end {
        return Look::Answer(batch(events.iter().map(|event| EventBody::of(event)).collect()));
    }
    let idle = now.after(IDLE_LOOK);
    let visible = engine.events().next_visible(query.after);
    Look::Wait(visible.filter(|at| *at > now).map_or(idle, |at| at.min(idle)))
}

#[derive(Serialize)]
pub(super) struct SnapshotBody {
    incarnation: Incarnation,
    sequence: u64,
    blocks: Vec<String>,
}

/// `GET /v1/cache/snapshot`
pub(super) async fn snapshot(State(driver): Shared) -> Json<SnapshotBody> {
    let (incarnation, (sequence, blocks)) =
        driver.with(|engine, _| (engine.incarnation(), engine.snapshot()));
    let blocks = blocks.iter().map(ToString::to_string).collect();
    Json(SnapshotBody { incarnation, sequence, blocks })
}

/// `GET /v1/load`
pub(super) async fn load(State(driver): Shared) -> Result<Json<LoadReport>, ApiError> {
    driver.with(|engine, now| engine.load_report(now)).map(Json).ok_or(ApiError::Loading)
}

#[derive(Serialize)]
pub(super) struct CancelBody {
    state: &'static str,
}

/// `POST /v1/requests/{id}/cancel`
pub(super) async fn cancel(
    State(driver): Shared,
    Path(id): Path<String>,
) -> Result<Json<CancelBody>, ApiError> {
    let id: RequestId = id.parse().map_err(|_| ApiError::Parameter("request id"))?;
    let state = match driver.with(|engine, now| engine.cancel(id, now)) {
        CancelState::Cancelled => "cancelled",
        CancelState::Finished => "finished",
        CancelState::Unknown => "unknown",
    };
    Ok(Json(CancelBody { state }))
}

/// `POST /v1/orders`
pub(super) async fn order(
    State(driver): Shared,
    body: Bytes,
) -> Result<Json<OrderAnswer>, ApiError> {
    let order: Order =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let answer = driver.with(|engine, now| engine.order(&order, now));
    answer.map(Json).map_err(|refusal| match refusal {
        OrderRefusal::Down => ApiError::Loading,
        OrderRefusal::Fenced { newest } => ApiError::Fenced { newest: newest.token },
        OrderRefusal::IncarnationMismatch(_) => ApiError::IncarnationMismatch,
    })
}

/// `POST /v1/emulator/leave`: the machine is about to be taken away.
pub(super) async fn leave(State(driver): Shared) {
    driver.with(|engine, now| engine.leave(now));
}

/// What the engine has seen of broken invariants.
pub(super) async fn witness(State(driver): Shared) -> Json<WitnessReport> {
    let report = driver.with(|engine, _| WitnessReport {
        counters: Some(engine.counters()),
        ..WitnessReport::of(engine.witness())
    });
    Json(report)
}
