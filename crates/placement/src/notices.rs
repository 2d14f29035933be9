//! What servers ask of routers: to send them nothing for a while, or nothing new any more.

use std::time::Duration;

use juniper_registry::{Departure, InstanceId};
use juniper_types::{NodeId, Timestamp};

use crate::placement::Placement;
use crate::server::Server;

/// Why choices pass over a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassedOver {
    /// It said that it leaves.
    Leaving,
    /// It asked this router for a pause.
    Resting,
    /// It asked other routers for a pause; it is used if there is no other.
    TurnsOthersAway,
}

impl PassedOver {
    /// The reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PassedOver::Leaving => "leaving",
            PassedOver::Resting => "resting",
            PassedOver::TurnsOthersAway => "turns_others_away",
        }
    }
}

impl Placement {
    /// An answer of the server asks this router to send it nothing for `pause`. Returns whether it
    /// rests for longer than was known.
    pub fn asked_to_pause(&mut self, server: &InstanceId, pause: Duration, now: Timestamp) -> bool {
        self.mark(server, |server| server.has_asked_for_rest = true);
        self.rests.asked(server, pause, now)
    }

    /// An answer of the server to this router or another says that it leaves, which it doesn't take
    /// back. Returns whether that is new.
    pub fn heard_leaving(&mut self, server: &InstanceId, now: Timestamp) -> bool {
        if self.departures.covers(server) {
            return false;
        }
        self.mark(server, |server| server.is_leaving = true);
        self.departures.add(&Departure::of(server), now);
        let servers = &self.servers;
        self.departures.expire(now, |name| servers.contains_key(name));
        true
    }

    /// Marks the server, if it is in view: few have asked for anything, and a service may have
    /// thousands.
    fn mark(&mut self, server: &InstanceId, mark: impl FnOnce(&mut Server)) {
        let Some(known) = self.server_mut(server) else { return };
        mark(known);
        self.marked.insert(server.name().clone());
    }

    /// Marks a server that comes into view, if it has asked for something before.
    pub(crate) fn mark_new(&mut self, server: &mut Server) {
        let id = &server.instance.id;
        server.has_asked_for_rest = self.rests.knows(id);
        server.is_leaving = self.departures.covers(id);
        if server.has_asked_for_rest || server.is_leaving {
            self.marked.insert(id.name().clone());
        }
    }

    /// Time that the server still rests from this router.
    pub(crate) fn rest_of(&self, server: &Server, now: Timestamp) -> Option<Duration> {
        server.has_asked_for_rest.then(|| self.rests.left(&server.instance.id, now)).flatten()
    }

    /// Whether the server turns other routers away.
    pub(crate) fn turns_others_away(&self, server: &Server, now: Timestamp) -> bool {
        server.has_asked_for_rest && self.rests.is_told(&server.instance.id, now)
    }

    /// Time for which nothing is to be sent to the server; `None` if it takes requests.
    pub fn rest_left(&self, server: &InstanceId, now: Timestamp) -> Option<Duration> {
        self.rests.left(server, now)
    }

    /// Another router was asked by the server for `pause`.
    pub fn told_of_pause(
        &mut self,
        server: &InstanceId,
        router: NodeId,
        pause: Duration,
        now: Timestamp,
    ) {
        self.mark(server, |server| server.has_asked_for_rest = true);
        self.rests.told(server, router, pause, now);
    }

    /// Servers that asked this router for a rest that isn't over.
    pub fn resting_servers(&self, now: Timestamp) -> usize {
        self.rests.count(now)
    }

    /// Servers of the service that choices pass over for what they asked for.
    pub fn passed_over(&self, service: &str, now: Timestamp) -> Vec<(InstanceId, PassedOver)> {
        let known = self.marked.iter().filter_map(|name| self.servers.get(name));
        let known = known.filter(|server| server.instance.report.service == service);
        let over = known.filter_map(|server| {
            let id = &server.instance.id;
            let reason = if server.is_leaving {
                PassedOver::Leaving
            } else if self.rest_of(server, now).is_some() {
                PassedOver::Resting
            } else if self.turns_others_away(server, now) {
                PassedOver::TurnsOthersAway
            } else {
                return None;
            };
            Some((id.clone(), reason))
        });
        over.collect()
    }
}
