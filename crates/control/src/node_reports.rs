//! Settings revisions that nodes report as applied.
//!
//! A replica keeps the reports of its own subscribers in memory only, since nodes report again within
//! seconds after a restart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use juniper_protocol::PeerIdentity;
use juniper_protocol::message::Member;
use juniper_types::{NodeId, Revision};

/// Time without contact after which a node's report is removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(3_600);

#[derive(Clone, Debug)]
struct Report {
    identity: PeerIdentity,
    address: SocketAddr,
    in_force: Revision,
    last_contact: Instant,
}

/// Latest report of each node.
#[derive(Debug, Default)]
pub struct NodeReports(Mutex<BTreeMap<NodeId, Report>>);

impl NodeReports {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, Report>> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the node has applied revision `in_force`.
    pub fn record(&self, identity: &PeerIdentity, address: SocketAddr, in_force: Revision) {
        let report =
            Report { identity: identity.clone(), address, in_force, last_contact: Instant::now() };
        self.lock().insert(identity.node, report);
    }

    /// Records that the node has contacted this replica.
    pub fn record_contact(&self, node: NodeId) {
        if let Some(report) = self.lock().get_mut(&node) {
            report.last_contact = Instant::now();
        }
    }

    /// Nodes that contacted this replica within the last hour.
    pub fn members(&self) -> Vec<Member> {
        let mut reports = self.lock();
        reports.retain(|_, report| report.last_contact.elapsed() < EXPIRE_AFTER);
        let member = |report: &Report| Member {
            node: report.identity.node,
            zone: report.identity.zone.clone(),
            internal: report.address,
            in_force: report.in_force,
            silent_ms: u64::try_from(report.last_contact.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        reports.values().map(member).collect()
    }
}
