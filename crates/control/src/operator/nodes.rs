//! List of nodes and the settings revisions that they have applied.
//!
//! A node reports only to the replica that it is subscribed to, so the answering replica collects the
//! reports of all others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use futures_util::future::join_all;
use juniper_protocol::message::Member;
use juniper_protocol::{Reply, Request};
use juniper_types::{NodeId, Revision, ZoneName};
use serde::Serialize;

use super::OperatorApi;
use super::settings::ApiState;

/// Timeout of getting another replica's reports.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Serialize)]
pub(super) struct NodesBody {
    /// Latest committed revision on the answering replica.
    revision: Revision,
    /// Number of nodes that have not reported `revision` yet.
    behind: usize,
    /// Replicas that didn't answer; nodes known only to them are missing.
    silent_replicas: Vec<NodeId>,
    nodes: Vec<NodeItem>,
}

#[derive(Serialize)]
struct NodeItem {
    node: NodeId,
    zone: ZoneName,
    address: SocketAddr,
    /// Revision that the node last reported as applied.
    in_force: Revision,
    /// Whether `in_force` is at least the latest committed revision.
    current: bool,
    /// Time since the node last contacted a replica, in milliseconds.
    silent_ms: u64,
}

/// `GET /v1/nodes`
pub(super) async fn nodes(State(api): ApiState) -> Json<NodesBody> {
    let (members, silent_replicas) = collect_reports(&api).await;
    let revision = api.view.published.borrow().revision;
    let item = |member: Member| NodeItem {
        node: member.node,
        zone: member.zone,
        address: member.internal,
        in_force: member.in_force,
        current: member.in_force >= revision,
        silent_ms: member.silent_ms,
    };
    let nodes: Vec<NodeItem> = members.into_values().map(item).collect();
    let behind = nodes.iter().filter(|node| !node.current).count();
    Json(NodesBody { revision, behind, silent_replicas, nodes })
}

/// Collects the latest report of each node, and the replicas that didn't answer.
async fn collect_reports(api: &OperatorApi) -> (BTreeMap<NodeId, Member>, Vec<NodeId>) {
    let get_members = async |replica: NodeId| {
        let reply = api.peers.call(replica, Request::Members, COLLECT_TIMEOUT).await;
        match reply {
            Ok(Reply::Members { members, .. }) => Ok(members),
            _ => Err(replica),
        }
    };
    let answers = join_all(api.peers.nodes().map(get_members)).await;
    let mut latest = BTreeMap::new();
    let mut silent = Vec::new();
    for answer in answers.into_iter().chain([Ok(api.reports.members())]) {
        match answer {
            Ok(members) => members.into_iter().for_each(|member| keep_latest(&mut latest, member)),
            Err(replica) => silent.push(replica),
        }
    }
    (latest, silent)
}

fn keep_latest(latest: &mut BTreeMap<NodeId, Member>, member: Member) {
    let is_newer = latest.get(&member.node).is_none_or(|other| member.silent_ms < other.silent_ms);
    if is_newer {
        latest.insert(member.node, member);
    }
}
