//! HTTP API for the export and import of cached blocks.
//!
//! Entries carry block hashes instead of keys and values; the engine model
//! simulates the transfer time.

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use juniper_types::{Incarnation, Timestamp};
use serde::{Deserialize, Serialize};
use serde_json::from_slice;

use super::Shared;
use crate::engine::transfer::TransferRefusal;
use crate::http::error::ApiError;
use crate::http::kv_store::{EntryBody, ScopeBody, parse_hashes};

#[derive(Deserialize)]
struct ExportRequest {
    scope: ScopeBody,
    blocks: Vec<String>,
}

#[derive(Deserialize)]
struct ImportRequest {
    scope: ScopeBody,
    incarnation: u64,
    entry: EntryBody,
}

#[derive(Serialize)]
pub(super) struct ImportResponse {
    blocks: usize,
}

/// `POST /v1/cache/export`: exports the cached leading blocks.
pub(super) async fn export(
    State(driver): Shared,
    body: Bytes,
) -> Result<Json<EntryBody>, ApiError> {
    let request: ExportRequest =
        from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let blocks = parse_hashes(&request.blocks)?;
    let scope = request.scope.into_scope();
    let exported = driver.with_engine(|engine, now| engine.export(&scope, &blocks, now));
    let (entry, ready_at) = exported?;
    driver.clock().sleep_until(ready_at).await;
    Ok(Json(EntryBody::of(&entry)))
}

/// `POST /v1/cache/import`: imports blocks and responds when they are cached.
pub(super) async fn import(
    State(driver): Shared,
    body: Bytes,
) -> Result<Json<ImportResponse>, ApiError> {
    let request: ImportRequest =
        from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let scope = request.scope.into_scope();
    let entry = request.entry.into_entry()?;
    let incarnation = Incarnation(request.incarnation);
    let ready_at: Timestamp =
        driver.with_engine(|engine, now| engine.import(&entry, &scope, incarnation, now))?;
    driver.clock().sleep_until(ready_at).await;
    Ok(Json(ImportResponse { blocks: entry.blocks.len() }))
}

impl From<TransferRefusal> for ApiError {
    fn from(refusal: TransferRefusal) -> Self {
        match refusal {
            TransferRefusal::Down => ApiError::Loading,
            TransferRefusal::IncarnationMismatch(_) => ApiError::IncarnationMismatch,
            TransferRefusal::ForeignScope => ApiError::ForeignEntry,
            TransferRefusal::Damaged => ApiError::Damaged,
            TransferRefusal::NoMemory => ApiError::NoMemory,
            TransferRefusal::NotCached => ApiError::NotFound,
        }
    }
}
