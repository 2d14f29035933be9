//! What servers ask of routers: to send them nothing for a while, or nothing new any more.

use std::time::Duration;

use juniper_registry::{Departure, InstanceId};
use juniper_types::{NodeId, Timestamp};

use crate::placement::Placement;

impl Placement {
    /// An answer of the server asks this router to send it nothing for `pause`. Returns whether it
    /// rests for longer than was known.
    pub fn asked_to_pause(&mut self, server: &InstanceId, pause: Duration, now: Timestamp) -> bool {
        self.rests.asked(server, pause, now)
    }

    /// An answer of the server to this router or another says that it leaves, which it doesn't take
    /// back. Returns whether that is new.
    pub fn heard_leaving(&mut self, server: &InstanceId, now: Timestamp) -> bool {
        if self.departures.covers(server) {
            return false;
        }
        self.departures.add(&Departure::of(server), now);
        let servers = &self.servers;
        self.departures.forget(now, |name| servers.contains_key(name));
        true
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
        self.rests.told(server, router, pause, now);
    }

    /// Servers that asked this router for a rest that isn't over.
    pub fn resting_servers(&self, now: Timestamp) -> usize {
        self.rests.count(now)
    }
}
