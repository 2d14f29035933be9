//! Every node with the revision that it has in force.
//!
//! A node reports to the replica that it subscribed to, so the replica that is
//! asked gathers the reports of all the others.

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

use super::OperatorFace;
use super::settings::Face;

/// Longest wait for another replica's reports.
const GATHER_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Serialize)]
pub(super) struct NodesBody {
    /// The latest committed revision on the replica that answers.
    revision: Revision,
    /// Nodes that have not reported `revision` yet.
    behind: usize,
    /// Replicas that gave no reports; nodes known only to them are missing.
    silent_replicas: Vec<NodeId>,
    nodes: Vec<NodeItem>,
}

#[derive(Serialize)]
struct NodeItem {
    node: NodeId,
    zone: ZoneName,
    address: SocketAddr,
    /// The revision in force that the node reported last.
    in_force: Revision,
    /// Whether it is the latest.
    current: bool,
    /// Milliseconds since the node was last heard from.
    silent_ms: u64,
}

/// `GET /v1/nodes`
pub(super) async fn nodes(State(face): Face) -> Json<NodesBody> {
    let (members, silent_replicas) = gather(&face).await;
    let revision = face.view.published.borrow().revision;
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

/// The latest report of every node, and the replicas that didn't answer.
async fn gather(face: &OperatorFace) -> (BTreeMap<NodeId, Member>, Vec<NodeId>) {
    let ask = async |replica: NodeId| {
        let reply = face.peers.call(replica, Request::Members, GATHER_TIMEOUT).await;
        match reply {
            Ok(Reply::Members { members, .. }) => Ok(members),
            _ => Err(replica),
        }
    };
    let answers = join_all(face.peers.nodes().map(ask)).await;
    let mut latest = BTreeMap::new();
    let mut silent = Vec::new();
    for answer in answers.into_iter().chain([Ok(face.reports.members())]) {
        match answer {
            Ok(members) => members.into_iter().for_each(|member| keep_latest(&mut latest, member)),
            Err(replica) => silent.push(replica),
        }
    }
    (latest, silent)
}

fn keep_latest(latest: &mut BTreeMap<NodeId, Member>, member: Member) {
    let newer = latest.get(&member.node).is_none_or(|known| member.silent_ms < known.silent_ms);
    if newer {
        latest.insert(member.node, member);
    }
}
