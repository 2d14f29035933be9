//! Backoffs and departures that servers announce in their answers.

use std::time::Duration;

use juniper_registry::{Departure, InstanceId};
use juniper_types::{NodeId, Timestamp};

use crate::placement::Placement;
use crate::server::Server;

/// Why a server is excluded from choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// The server announced its departure.
    Departing,
    /// The server requested a backoff from this router.
    BackingOff,
    /// The server requested a backoff from other routers; it is only used if no other server is
    /// available.
    BackingOffFromPeers,
}

impl ExclusionReason {
    /// Value in the `servers` log key.
    pub fn as_str(self) -> &'static str {
        match self {
            ExclusionReason::Departing => "leaving",
            ExclusionReason::BackingOff => "resting",
            ExclusionReason::BackingOffFromPeers => "turns_others_away",
        }
    }
}

impl Placement {
    /// Records that an answer of the server requested a backoff from this router. Returns whether
    /// the backoff ends later than the known one.
    pub fn observe_backoff(
        &mut self,
        server: &InstanceId,
        duration: Duration,
        now: Timestamp,
    ) -> bool {
        self.mark_noticed(server, |server| server.has_requested_backoff = true);
        self.backoffs.observe(server, duration, now)
    }

    /// Records that the server announced its departure, to this router or another one. A departure
    /// is final. Returns whether it was unknown.
    pub fn record_departure(&mut self, server: &InstanceId, now: Timestamp) -> bool {
        if self.departures.covers(server) {
            return false;
        }
        self.mark_noticed(server, |server| server.is_departing = true);
        self.departures.add(&Departure::of(server), now);
        let servers = &self.servers;
        self.departures.expire(now, |name| servers.contains_key(name));
        true
    }

    /// Applies `mark` to the server and adds it to the servers with notices, which are few compared
    /// to the servers of a service.
    fn mark_noticed(&mut self, server: &InstanceId, mark: impl FnOnce(&mut Server)) {
        let Some(known) = self.server_mut(server) else { return };
        mark(known);
        self.noticed.insert(server.name().clone());
    }

    /// Restores earlier backoffs and departures of a server that is added to the instance list.
    pub(crate) fn restore_notices(&mut self, server: &mut Server) {
        let id = &server.instance.id;
        server.has_requested_backoff = self.backoffs.contains(id);
        server.is_departing = self.departures.covers(id);
        if server.has_requested_backoff || server.is_departing {
            self.noticed.insert(id.name().clone());
        }
    }

    /// Remaining backoff of the server towards this router.
    pub(crate) fn active_backoff(&self, server: &Server, now: Timestamp) -> Option<Duration> {
        server
            .has_requested_backoff
            .then(|| self.backoffs.remaining(&server.instance.id, now))
            .flatten()
    }

    /// Whether enough other routers report that the server is backing off.
    pub(crate) fn is_backing_off_from_peers(&self, server: &Server, now: Timestamp) -> bool {
        server.has_requested_backoff
            && self.backoffs.is_confirmed_by_peers(&server.instance.id, now)
    }

    /// Time for which this router must not send to the server; `None` if the server accepts
    /// requests.
    pub fn remaining_backoff(&self, server: &InstanceId, now: Timestamp) -> Option<Duration> {
        let rejection = self.server(server).and_then(|known| self.rejection_backoff(known, now));
        self.backoffs.remaining(server, now).max(rejection)
    }

    /// Whether the server is known, hasn't announced its departure, and requests no backoff from this
    /// router.
    pub fn accepts_requests(&self, server: &InstanceId, now: Timestamp) -> bool {
        let is_in_service = self.server(server).is_some_and(Server::is_in_service);
        is_in_service && self.remaining_backoff(server, now).is_none()
    }

    /// Records another router's report that the server requested a backoff.
    pub fn apply_peer_backoff(
        &mut self,
        server: &InstanceId,
        router: NodeId,
        duration: Duration,
        now: Timestamp,
    ) {
        self.mark_noticed(server, |server| server.has_requested_backoff = true);
        self.backoffs.apply_peer_backoff(server, router, duration, now);
    }

    /// Number of servers that are backing off from this router.
    pub fn count_backing_off_servers(&self, now: Timestamp) -> usize {
        self.backoffs.count_active(now)
    }

    /// Servers of the service that are excluded from choices because of a notice, with the reason.
    pub fn excluded_servers(
        &self,
        service: &str,
        now: Timestamp,
    ) -> Vec<(InstanceId, ExclusionReason)> {
        let known = self.noticed.iter().filter_map(|name| self.servers.get(name));
        let known = known.filter(|server| server.instance.report.service == service);
        let excluded = known.filter_map(|server| {
            let id = &server.instance.id;
            let reason = if server.is_departing {
                ExclusionReason::Departing
            } else if self.active_backoff(server, now).is_some() {
                ExclusionReason::BackingOff
            } else if self.is_backing_off_from_peers(server, now) {
                ExclusionReason::BackingOffFromPeers
            } else {
                return None;
            };
            Some((id.clone(), reason))
        });
        excluded.collect()
    }
}
