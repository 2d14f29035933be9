//! The face for operators: JSON over HTTP.

mod access;
mod error;
mod nodes;
mod quarantine;
mod settings;
mod status;
mod writes;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{delete, get, post};
use juniper_settings::ApiKeyHash;

use crate::forward::Group;
use crate::metrics::Metrics;
use crate::peers::PeerLinks;
use crate::replica::ReplicaView;
use crate::reports::NodeReports;

/// Largest accepted body, in bytes: the largest command in JSON, which is
/// somewhat longer than its encoded form.
const MAX_BODY_BYTES: usize = 8 << 20;

/// What the handlers need.
pub struct OperatorFace {
    /// The replicas, called through this one.
    pub group: Group,
    /// Links to the other replicas.
    pub peers: Arc<PeerLinks>,
    /// What this replica publishes.
    pub view: ReplicaView,
    /// What nodes have in force.
    pub reports: Arc<NodeReports>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Hashes of the keys that operators present.
    pub operator_keys: Vec<ApiKeyHash>,
}

/// Every route.
pub fn routes(face: OperatorFace) -> Router {
    let face = Arc::new(face);
    let guarded = Router::new()
        .route("/v1/settings", get(settings::tree))
        .route("/v1/settings/node", get(settings::node))
        .route("/v1/settings/effective", get(settings::effective))
        .route("/v1/settings/changes", post(writes::change))
        .route("/v1/settings/rollbacks", post(writes::rollback))
        .route("/v1/settings/history", get(settings::history))
        .route("/v1/settings/diff", get(settings::diff))
        .route("/v1/back-ends/{id}/drain", post(writes::drain))
        .route("/v1/nodes", get(nodes::nodes))
        .route("/v1/quarantine", get(quarantine::list))
        .route("/v1/quarantine/{fingerprint}", delete(quarantine::release))
        .route("/v1/status", get(status::status))
        .layer(axum::middleware::from_fn_with_state(Arc::clone(&face), access::require_key));
    Router::new()
        .route("/healthz", get(status::healthz))
        .route("/readyz", get(status::readyz))
        .route("/metrics", get(status::metrics))
        .merge(guarded)
        .fallback(error::not_found)
        .method_not_allowed_fallback(error::method_not_allowed)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(face)
}
