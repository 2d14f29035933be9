//! Which revision each node has in force, as the nodes report it.
//!
//! Reports are recomputed within seconds after a restart, so they don't go
//! through the quorum. A replica knows the nodes that subscribed to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use juniper_protocol::PeerIdentity;
use juniper_protocol::message::Member;
use juniper_types::{NodeId, Revision};

/// A node that has been silent this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug)]
struct Report {
    identity: PeerIdentity,
    address: SocketAddr,
    in_force: Revision,
    heard: Instant,
}

/// The reports.
#[derive(Debug, Default)]
pub struct NodeReports(Mutex<BTreeMap<NodeId, Report>>);

impl NodeReports {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Report>> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The node has `in_force` in force.
    pub fn report(&self, identity: &PeerIdentity, address: SocketAddr, in_force: Revision) {
        let report =
            Report { identity: identity.clone(), address, in_force, heard: Instant::now() };
        self.lock().insert(identity.node, report);
    }

    /// The node was heard from.
    pub fn touch(&self, node: NodeId) {
        if let Some(report) = self.lock().get_mut(&node) {
            report.heard = Instant::now();
        }
    }

    /// Every node heard from within the last hour.
    pub fn members(&self) -> Vec<Member> {
        let mut reports = self.lock();
        reports.retain(|_, report| report.heard.elapsed() < FORGET_AFTER);
        let member = |report: &Report| Member {
            node: report.identity.node,
            zone: report.identity.zone.clone(),
            internal: report.address,
            in_force: report.in_force,
            silent_ms: u64::try_from(report.heard.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        reports.values().map(member).collect()
    }
}
