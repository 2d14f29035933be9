//! Which servers this router reaches: connection attempts, probes, and reports of other routers.

use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::direct_paths::{DirectPaths, ReportableFailure};
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

    /// Takes the servers, selected by `random`, to probe as references that tell unreachable servers
    /// from a partition of this router.
    pub fn take_reference_probes(&mut self, now: Timestamp, random: u64) -> Vec<ProbeTarget> {
        let due = self
            .direct_paths
            .iter_mut()
            .filter_map(|(service, paths)| paths.take_due_reference(now).then(|| service.clone()));
        let services: Vec<String> = due.collect();
        let references = services.iter().filter_map(|service| self.reference(service, random));
        references.map(probe_target).collect()
    }

    /// A random server of the service that isn't unreachable, or any if there is none.
    fn reference(&self, service: &str, random: u64) -> Option<&Server> {
        let members = self.services.get(service)?.iter().filter_map(|name| self.servers.get(name));
        let members: Vec<&Server> = members.collect();
        let awaits_probe = |server: &Server| server.health.awaits_probe();
        let sound: Vec<&Server> =
            members.iter().copied().filter(|server| !awaits_probe(server)).collect();
        let candidates = if sound.is_empty() { members } else { sound };
        let index = random.checked_rem(candidates.len() as u64)?;
        candidates.get(index as usize).copied()
    }

    /// Records a new connection from this router to the server, attempted at `started_at`.
    pub fn record_connected(
        &mut self,
        instance: &InstanceId,
        started_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(server) = incarnation_mut(&mut self.servers, instance) else { return };
        server.health.mark_reachable();
        server.record_evidence(now);
        let service = server.instance.report.service.clone();
        self.direct_paths.entry(service).or_default().record_success(instance, started_at, now);
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
        let service = server.instance.report.service.clone();
        self.direct_paths.entry(service).or_default().record_failure(failed, is_new, now);
    }

    /// Whether the server is unreachable for this router or reported so by others.
    pub fn is_avoided(&self, instance: &InstanceId, now: Timestamp) -> bool {
        let is_unreachable =
            self.server(instance).is_some_and(|server| server.health.is_unreachable());
        is_unreachable || self.is_reported_unreachable(instance, now)
    }

    /// Whether other routers' reports make the server unreachable.
    pub fn is_reported_unreachable(&self, instance: &InstanceId, now: Timestamp) -> bool {
        let server = self.server(instance);
        server.is_some_and(|server| server.is_reported_unreachable(&self.zone, now))
    }

    /// Whether two servers belong to the same service.
    pub fn share_service(&self, one: &InstanceId, other: &InstanceId) -> bool {
        let service = |id| self.server(id).map(|server| &server.instance.report.service);
        service(one).is_some_and(|of_one| service(other) == Some(of_one))
    }

    /// Whether a new connection to the server should be tunneled through another router.
    pub fn prefers_tunnel(&self, instance: &InstanceId) -> bool {
        let has_failed =
            self.server(instance).is_some_and(|server| server.health.has_connect_failed());
        has_failed || self.is_cut_off(instance)
    }

    /// Records whether a connection to the server was opened through another router. Until one
    /// fails, a server that can't be reached directly is used through tunnels.
    pub fn record_tunnel(&mut self, instance: &InstanceId, is_open: bool) {
        if let Some(server) = self.server_mut(instance) {
            server.health.record_tunnel(is_open);
        }
    }

    /// Takes the servers to report to the other routers as unreachable: this router has connected to
    /// another server since.
    pub fn take_reportable_failures(&mut self) -> Vec<ReportableFailure> {
        self.direct_paths.values_mut().flat_map(DirectPaths::take_reportable).collect()
    }

    /// Whether a request can be expected to reach the server: this router has connected to servers of
    /// its service, and since then no attempt has failed that a partition of this router may explain,
    /// nor has a connection to this server failed or broken.
    pub fn is_path_proven(&self, instance: &InstanceId) -> bool {
        let Some(server) = self.server(instance) else { return false };
        let paths = self.direct_paths.get(&server.instance.report.service);
        paths.is_some_and(DirectPaths::is_proven) && !server.health.awaits_probe()
    }

    /// Whether this router seems to be partitioned from all servers of this server's service.
    pub fn is_cut_off(&self, instance: &InstanceId) -> bool {
        let service = self.server(instance).map(|server| &server.instance.report.service);
        service
            .and_then(|service| self.direct_paths.get(service))
            .is_some_and(DirectPaths::is_cut_off)
    }
}
