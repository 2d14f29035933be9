//! Export and import of cached blocks over HTTP.
//!
//! The keys and values themselves are not sent: an entry names its blocks, and
//! the time that sending takes is part of the engine model.

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use juniper_types::{Incarnation, Timestamp};
use serde::{Deserialize, Serialize};
use serde_json::from_slice;

use super::Shared;
use crate::engine::transfer::TransferRefusal;
use crate::http::error::ApiError;
use crate::http::kept::{EntryBody, ScopeBody, parse_hashes};

#[derive(Deserialize)]
struct ExportCall {
    scope: ScopeBody,
    blocks: Vec<String>,
}

#[derive(Deserialize)]
struct ImportCall {
    scope: ScopeBody,
    incarnation: u64,
    entry: EntryBody,
}

#[derive(Serialize)]
pub(super) struct ImportAnswer {
    blocks: usize,
}

/// `POST /v1/cache/export`: the cached run that the blocks start with.
pub(super) async fn export(
    State(driver): Shared,
    body: Bytes,
) -> Result<Json<EntryBody>, ApiError> {
    let call: ExportCall = from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let blocks = parse_hashes(&call.blocks)?;
    let scope = call.scope.into_scope();
    let exported = driver.with(|engine, now| engine.export(&scope, &blocks, now));
    let (entry, ready_at) = exported?;
    driver.clock().sleep_until(ready_at).await;
    Ok(Json(EntryBody::of(&entry)))
}

/// `POST /v1/cache/import`: answers once the blocks are cached.
pub(super) async fn import(
    State(driver): Shared,
    body: Bytes,
) -> Result<Json<ImportAnswer>, ApiError> {
    let call: ImportCall = from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let scope = call.scope.into_scope();
    let entry = call.entry.into_entry()?;
    let incarnation = Incarnation(call.incarnation);
    let ready_at: Timestamp =
        driver.with(|engine, now| engine.import(&entry, &scope, incarnation, now))?;
    driver.clock().sleep_until(ready_at).await;
    Ok(Json(ImportAnswer { blocks: entry.blocks.len() }))
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
