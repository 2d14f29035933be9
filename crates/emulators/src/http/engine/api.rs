//! Cache events, load, cancellation, orders and witness reports of the engine.

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

/// Maximum wait of an event poll.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Poll interval while no event is due.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

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

/// `GET /v1/cache/events`: long poll for events after a sequence number.
pub(super) async fn events(
    State(driver): Shared,
    query: Result<Query<EventQuery>, QueryRejection>,
) -> Result<Json<EventBatch>, ApiError> {
    let Query(query) = query.map_err(|_| ApiError::Parameter("incarnation, after or wait_ms"))?;
    let clock = driver.clock();
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let until = clock.now().after(wait);
    loop {
        let result =
            driver.with_engine(|engine, now| poll_events(engine, &query, now, now >= until));
        match result {
            PollResult::Answer(batch) => return Ok(Json(batch)),
            PollResult::Wait(at) => clock.sleep_until(at.min(until)).await,
        }
    }
}

enum PollResult {
    Answer(EventBatch),
    Wait(Timestamp),
}

fn poll_events(engine: &Engine, query: &EventQuery, now: Timestamp, timed_out: bool) -> PollResult {
    let incarnation = engine.incarnation();
    let batch = |events| EventBatch { incarnation, first: query.after + 1, events };
    if incarnation.0 != query.incarnation {
        return PollResult::Answer(batch(Vec::new()));
    }
    let events = engine.events().events_after(query.after, now);
    if !events.is_empty() || timed_out {
        return PollResult::Answer(batch(
            events.iter().map(|event| EventBody::of(event)).collect(),
        ));
    }
    let next_poll = now.after(IDLE_POLL_INTERVAL);
    let publication = engine.events().next_publication(query.after);
    PollResult::Wait(publication.filter(|at| *at > now).map_or(next_poll, |at| at.min(next_poll)))
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
        driver.with_engine(|engine, _| (engine.incarnation(), engine.snapshot()));
    let blocks = blocks.iter().map(ToString::to_string).collect();
    Json(SnapshotBody { incarnation, sequence, blocks })
}

/// `GET /v1/load`
pub(super) async fn load(State(driver): Shared) -> Result<Json<LoadReport>, ApiError> {
    driver.with_engine(|engine, now| engine.load_report(now)).map(Json).ok_or(ApiError::Loading)
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
    let state = match driver.with_engine(|engine, now| engine.cancel(id, now)) {
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
    let answer = driver.with_engine(|engine, now| engine.order(&order, now));
    answer.map(Json).map_err(|refusal| match refusal {
        OrderRefusal::Down => ApiError::Loading,
        OrderRefusal::Fenced { newest } => ApiError::Fenced { newest: newest.token },
        OrderRefusal::IncarnationMismatch(_) => ApiError::IncarnationMismatch,
    })
}

/// `POST /v1/emulator/leave`: starts the departure of the engine.
pub(super) async fn leave(State(driver): Shared) {
    driver.with_engine(|engine, now| engine.leave(now));
}

/// `GET` on [`super::WITNESS_PATH`]: invariant violations detected by the engine.
pub(super) async fn witness(State(driver): Shared) -> Json<WitnessReport> {
    let report = driver.with_engine(|engine, _| WitnessReport {
        counters: Some(engine.counters()),
        ..WitnessReport::of(engine.witness())
    });
    Json(report)
}
