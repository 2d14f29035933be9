//! Which servers this router reaches: connection attempts, probes, and reports of other routers.

use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::direct_paths::ReportableFailure;
use crate::placement::{Placement, incarnation_mut};
use crate::reachability_reports::Reporter;
use crate::server::Server;

/// A server to probe, with its address.
pub type ProbeTarget = (InstanceId, SocketAddrV4);

fn probe_target(server: &Server) -> ProbeTarget {
    (server.instance.id.clone(), server.instance.report.address)
}

impl Placement {
    /// Records another router's report on whether it can reach the server. If the report makes the
    /// server unreachable for this router, schedules a probe that verifies it after `verify_after`,
    /// and returns true.
    pub fn apply_peer_reachability(
        &mut self,
        reporter: Reporter<'_>,
        instance: &InstanceId,
        reached: bool,
        verify_after: Duration,
        now: Timestamp,
    ) -> bool {
        let Some(server) = incarnation_mut(&mut self.servers, instance) else { return false };
        if reached {
            server.unreachable_reports.contradict(now);
            return false;
        }
        let was_confirmed = server.is_reported_unreachable(&self.zone, now);
        server.unreachable_reports.add(reporter, now);
        if server.unreachable_reports.is_confirmed(&self.zone, now) {
            server.unreachable_reports.schedule_verification(now.after(verify_after));
        }
        !was_confirmed && server.is_reported_unreachable(&self.zone, now)
    }

    /// Takes the unreachable servers whose next probe is due. Until a probe succeeds, they only get
    /// requests if no other server is available.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<ProbeTarget> {
        let due = self.servers.values_mut().filter_map(|server| {
            let is_due = server.health.take_due_probe(now);
            is_due.then(|| probe_target(server))
        });
        due.collect()
    }

    /// Takes the servers to probe in order to verify other routers' reports.
    pub fn take_due_verifications(&mut self, now: Timestamp) -> Vec<ProbeTarget> {
        let due = self.servers.values_mut().filter_map(|server| {
            let is_due = server.unreachable_reports.take_due_verification(now);
            is_due.then(|| probe_target(server))
        });
        due.collect()
    }

    /// Takes a server, selected by `random`, to probe as a reference that tells unreachable servers
    /// from a partition of this router.
    pub fn take_reference_probe(&mut self, now: Timestamp, random: u64) -> Option<ProbeTarget> {
        let is_due = self.direct_paths.take_due_reference(now);
        is_due.then(|| self.reference_server(random).map(probe_target)).flatten()
    }

    /// A random server whose latest connection attempt hasn't failed, or any if there is none.
    fn reference_server(&self, random: u64) -> Option<&Server> {
        let untried = self.servers.values().filter(|server| {
            !server.health.is_unreachable() && !self.direct_paths.has_failed(&server.instance.id)
        });
        let untried: Vec<&Server> = untried.collect();
        match untried.is_empty() {
            true => self.servers.values().nth(random as usize % self.servers.len().max(1)),
            false => Some(untried[random as usize % untried.len()]),
        }
    }

    /// Records a new connection from this router to the server, attempted at `started_at`.
    pub fn record_connected(
        &mut self,
        instance: &InstanceId,
        started_at: Timestamp,
        now: Timestamp,
    ) {
        self.direct_paths.record_success(instance, started_at, now);
        if let Some(server) = self.server_mut(instance) {
            server.health.mark_reachable();
            server.record_evidence(now);
        }
    }

    /// Records that this router failed to connect to the server. `is_refused` states whether the
    /// address refused the connection.
    pub fn record_connect_failure(
        &mut self,
        instance: &InstanceId,
        is_refused: bool,
        now: Timestamp,
    ) {
        let Some(server) = incarnation_mut(&mut self.servers, instance) else { return };
        let is_new = server.health.mark_unreachable(now);
        let failed = ReportableFailure { instance: instance.clone(), is_refused };
        self.direct_paths.record_failure(failed, is_new, now);
    }

    /// Whether the server is unreachable for this router or reported so by others.
    pub fn is_avoided(&self, instance: &InstanceId, now: Timestamp) -> bool {
        self.server(instance).is_some_and(|server| {
            server.health.is_unreachable() || server.is_reported_unreachable(&self.zone, now)
        })
    }

    /// Takes the servers to report to the other routers as unreachable: this router has connected to
    /// another server since.
    pub fn take_reportable_failures(&mut self) -> Vec<ReportableFailure> {
        self.direct_paths.take_reportable()
    }

    /// Whether this router seems to be partitioned from all servers.
    pub fn is_cut_off(&self) -> bool {
        self.direct_paths.is_cut_off()
    }
}
