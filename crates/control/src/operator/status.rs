//! Health, metrics and the status of every node.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use juniper_protocol::message::Member;
use juniper_types::{NodeId, Revision, ZoneName};
use serde::Serialize;

use super::OperatorFace;
use super::error::OperatorError;
use crate::metrics::to_gauge;

/// A replica that no quorum has confirmed for this long is not ready, in milliseconds.
const READY_WITHIN_MS: u128 = 5_000;

type Face = State<Arc<OperatorFace>>;

/// `GET /healthz`: the process answers.
pub(super) async fn healthz() -> StatusCode {
    StatusCode::OK
}

#[derive(Serialize)]
pub(super) struct ReadyBody {
    ready: bool,
    revision: Revision,
    confirmed_ms: Option<u64>,
}

/// `GET /readyz`: a quorum has confirmed this replica lately.
pub(super) async fn readyz(State(face): Face) -> (StatusCode, Json<ReadyBody>) {
    let confirmed = face.view.confirmed_at.borrow().map(|at| at.elapsed().as_millis());
    let ready = confirmed.is_some_and(|millis| millis < READY_WITHIN_MS);
    let body = ReadyBody {
        ready,
        revision: face.view.published.borrow().revision,
        confirmed_ms: confirmed.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX)),
    };
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(body))
}

/// `GET /metrics`
pub(super) async fn metrics(State(face): Face) -> Result<String, OperatorError> {
    face.metrics.revision.set(to_gauge(face.view.published.borrow().revision.0));
    Ok(face.metrics.text()?)
}

#[derive(Serialize)]
pub(super) struct NodesBody {
    /// The latest committed revision on the replica that answers.
    revision: Revision,
    nodes: Vec<NodeItem>,
}

#[derive(Serialize)]
struct NodeItem {
    node: NodeId,
    zone: ZoneName,
    in_force: Revision,
    silent_ms: u64,
}

impl From<Member> for NodeItem {
    fn from(member: Member) -> Self {
        NodeItem {
            node: member.node,
            zone: member.zone,
            in_force: member.in_force,
            silent_ms: member.silent_ms,
        }
    }
}

/// `GET /v1/nodes`
pub(super) async fn nodes(State(face): Face) -> Json<NodesBody> {
    let revision = face.view.published.borrow().revision;
    let nodes = face.reports.members().into_iter().map(NodeItem::from).collect();
    Json(NodesBody { revision, nodes })
}
