//! Health checks, metrics and status of this replica.

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use juniper_consensus::{Member, Role, Status};
use juniper_types::{NodeId, Revision, ZoneName};
use serde::Serialize;

use super::OperatorApi;
use super::error::OperatorError;
use super::settings::ApiState;
use crate::metrics::to_gauge;

/// Maximum age of the latest quorum confirmation for a replica to be ready, in milliseconds.
const MAX_READY_AGE_MS: u64 = 5_000;

/// `GET /healthz`: succeeds while the process runs.
pub(super) async fn healthz() -> StatusCode {
    StatusCode::OK
}

#[derive(Serialize)]
pub(super) struct ReadyBody {
    ready: bool,
    revision: Revision,
    confirmed_ms: Option<u64>,
}

/// `GET /readyz`: succeeds if a quorum has confirmed this replica recently.
pub(super) async fn readyz(State(api): ApiState) -> (StatusCode, Json<ReadyBody>) {
    let confirmed_ms = confirmed_ms(&api);
    let ready = confirmed_ms.is_some_and(|millis| millis < MAX_READY_AGE_MS);
    let revision = api.view.published.borrow().revision;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    (status, Json(ReadyBody { ready, revision, confirmed_ms }))
}

/// Time since a quorum last confirmed that this replica was current, in milliseconds.
fn confirmed_ms(api: &OperatorApi) -> Option<u64> {
    let elapsed = (*api.view.confirmed_at.borrow())?.elapsed();
    Some(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// `GET /metrics`
pub(super) async fn metrics(State(api): ApiState) -> Result<String, OperatorError> {
    api.metrics.revision.set(to_gauge(api.view.published.borrow().revision.0));
    Ok(api.metrics.encode_text()?)
}

#[derive(Serialize)]
pub(super) struct StatusBody {
    node: NodeId,
    disk: String,
    role: &'static str,
    cluster: String,
    term: u64,
    leader: Option<NodeId>,
    commit_index: u64,
    applied_index: u64,
    last_index: u64,
    snapshot_index: u64,
    revision: Revision,
    confirmed_ms: Option<u64>,
    members: Vec<MemberItem>,
}

#[derive(Serialize)]
struct MemberItem {
    node: NodeId,
    disk: String,
    zone: ZoneName,
    role: &'static str,
}

impl From<&Member> for MemberItem {
    fn from(member: &Member) -> Self {
        let role = member.role.as_str();
        let disk = member.id.disk.to_string();
        MemberItem { node: member.id.node, disk, zone: member.zone.clone(), role }
    }
}

/// `GET /v1/status`
pub(super) async fn status(State(api): ApiState) -> Json<StatusBody> {
    let status = api.view.status.borrow().clone();
    Json(StatusBody {
        node: status.id.node,
        disk: status.id.disk.to_string(),
        role: role_name(&status),
        cluster: status.epoch.to_string(),
        term: status.term,
        leader: status.leader_node(),
        commit_index: status.commit,
        applied_index: status.applied,
        last_index: status.last.index,
        snapshot_index: status.snapshot.index,
        revision: api.view.published.borrow().revision,
        confirmed_ms: confirmed_ms(&api),
        members: status.membership.members.iter().map(MemberItem::from).collect(),
    })
}

fn role_name(status: &Status) -> &'static str {
    match status.role {
        Role::Leader => "leader",
        Role::Candidate => "candidate",
        Role::PreCandidate => "pre-candidate",
        Role::Stopped => "stopped",
        Role::Follower if status.membership.is_voter(status.id) => "follower",
        Role::Follower if status.membership.contains(status.id) => "learner",
        Role::Follower => "joining",
    }
}
