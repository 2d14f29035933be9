//! HTTP API of the store of exported KV cache entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::StatusCode;
use axum::routing::{get, put};
use axum::{Json, Router};
use juniper_types::{
    AdapterName, BlockHash, CacheScope, Incarnation, ModelName, TenantName, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use super::error::ApiError;
use crate::engine::transfer::KvEntry;
use crate::kv_store::KvStore;
use crate::witness::Provenance;

/// Maximum size of an entry, in bytes of JSON; fits 65,536 blocks.
const MAX_ENTRY_BYTES: usize = 4 << 20;

/// JSON form of a cache scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeBody {
    /// Tenant.
    pub tenant: TenantName,
    /// Model.
    pub model: ModelName,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Version of the weights.
    pub weights: WeightsVersion,
}

impl ScopeBody {
    /// Converts `scope` to its JSON form.
    pub fn of(scope: &CacheScope) -> Self {
        ScopeBody {
            tenant: scope.tenant.clone(),
            model: scope.model.clone(),
            adapter: scope.adapter.clone(),
            weights: scope.weights,
        }
    }

    /// Converts the JSON form to a scope.
    pub fn into_scope(self) -> CacheScope {
        CacheScope {
            tenant: self.tenant,
            model: self.model,
            adapter: self.adapter,
            weights: self.weights,
        }
    }
}

/// JSON form of a KV cache entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryBody {
    /// Cache scope of the blocks.
    pub scope: ScopeBody,
    /// Incarnation of the exporting engine.
    pub incarnation: Incarnation,
    /// Block hashes in hexadecimal digits.
    pub blocks: Vec<String>,
    /// Actual origin of the content.
    pub provenance: ScopeBody,
    /// Checksum over the blocks.
    pub checksum: String,
}

impl EntryBody {
    /// Converts `entry` to its JSON form.
    pub fn of(entry: &KvEntry) -> Self {
        let provenance = ScopeBody {
            tenant: entry.provenance.owner.clone(),
            model: entry.provenance.model.clone(),
            adapter: entry.provenance.adapter.clone(),
            weights: entry.provenance.weights,
        };
        EntryBody {
            scope: ScopeBody::of(&entry.scope),
            incarnation: entry.incarnation,
            blocks: entry.blocks.iter().map(ToString::to_string).collect(),
            provenance,
            checksum: entry.checksum.to_string(),
        }
    }

    /// Converts the JSON form to an entry without verifying the checksum.
    ///
    /// # Errors
    /// Fails when a hash is malformed.
    pub fn into_entry(self) -> Result<KvEntry, ApiError> {
        let provenance = Provenance {
            owner: self.provenance.tenant,
            model: self.provenance.model,
            adapter: self.provenance.adapter,
            weights: self.provenance.weights,
        };
        Ok(KvEntry {
            scope: self.scope.into_scope(),
            incarnation: self.incarnation,
            blocks: parse_hashes(&self.blocks)?,
            provenance,
            checksum: parse_hash(&self.checksum)?,
        })
    }
}

fn parse_hash(text: &str) -> Result<BlockHash, ApiError> {
    text.parse().map_err(|_| ApiError::Parameter("block hash"))
}

/// Parses block hashes.
///
/// # Errors
/// Fails when one is malformed.
pub fn parse_hashes(texts: &[String]) -> Result<Vec<BlockHash>, ApiError> {
    texts.iter().map(|text| parse_hash(text)).collect()
}

struct SharedStore {
    entries: Mutex<KvStore>,
}

impl SharedStore {
    fn lock(&self) -> MutexGuard<'_, KvStore> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Serialize)]
struct StatusBody {
    blocks: u64,
}

/// Builds the routes of a store for `capacity` blocks.
pub fn router(capacity: u64) -> Router {
    Router::new()
        .route("/v1/entries", put(put_entry).get(status))
        .route("/v1/entries/{block}", get(get_entry))
        .route("/healthz", get(|| async { "ok" }))
        .layer(DefaultBodyLimit::max(MAX_ENTRY_BYTES))
        .with_state(Arc::new(SharedStore { entries: Mutex::new(KvStore::new(capacity)) }))
}

async fn put_entry(
    State(store): State<Arc<SharedStore>>,
    body: Bytes,
) -> Result<StatusCode, ApiError> {
    let entry: EntryBody =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let entry = entry.into_entry()?;
    if !entry.is_intact() {
        return Err(ApiError::Damaged);
    }
    match store.lock().put(entry) {
        true => Ok(StatusCode::NO_CONTENT),
        false => Err(ApiError::NoMemory),
    }
}

async fn get_entry(
    State(store): State<Arc<SharedStore>>,
    Path(block): Path<String>,
) -> Result<Json<EntryBody>, ApiError> {
    let block = parse_hash(&block)?;
    let entry = store.lock().get(&block);
    entry.map(|entry| Json(EntryBody::of(&entry))).ok_or(ApiError::NotFound)
}

async fn status(State(store): State<Arc<SharedStore>>) -> Json<StatusBody> {
    Json(StatusBody { blocks: store.lock().blocks() })
}
