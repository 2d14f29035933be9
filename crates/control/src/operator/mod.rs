//! Operator API: JSON over HTTP.

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
use axum::middleware::from_fn_with_state;
use axum::routing::{delete, get, post};
use juniper_intake::{BodyHolder, CallerMemory, hold_body};
use juniper_settings::ApiKeyHash;

use crate::metrics::Metrics;
use crate::node_reports::NodeReports;
use crate::peers::PeerLinks;
use crate::replica::ReplicaView;
use crate::replica_group::ReplicaGroup;

/// Maximum size of a request body, in bytes. JSON is somewhat longer than the encoded command, whose
/// own limit is `MAX_COMMAND_BYTES`.
const MAX_BODY_BYTES: usize = 8 << 20;

/// State shared by the handlers of the operator API.
pub struct OperatorApi {
    /// Group of all replicas.
    pub group: ReplicaGroup,
    /// Links to the other replicas.
    pub peers: Arc<PeerLinks>,
    /// Published state of the replica.
    pub view: ReplicaView,
    /// Settings revisions reported by nodes.
    pub reports: Arc<NodeReports>,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Hashes of the operator keys.
    pub operator_keys: Vec<ApiKeyHash>,
}

/// Builds the HTTP routes of the operator API, whose requests are on the account of `memory`.
pub fn routes(api: OperatorApi, memory: CallerMemory) -> Router {
    let bodies = BodyHolder { memory, max_bytes: MAX_BODY_BYTES };
    let api = Arc::new(api);
    let authenticated = Router::new()
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
        .layer(from_fn_with_state(bodies, hold_body))
        .layer(from_fn_with_state(Arc::clone(&api), access::require_key));
    Router::new()
        .route("/healthz", get(status::healthz))
        .route("/readyz", get(status::readyz))
        .route("/metrics", get(status::metrics))
        .merge(authenticated)
        .fallback(error::not_found)
        .method_not_allowed_fallback(error::method_not_allowed)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(api)
}
