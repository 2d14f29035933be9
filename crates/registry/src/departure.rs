//! Servers that are leaving or have left.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::incarnation::{InstanceId, InstanceName, StartTime};

/// Time for which a departure is remembered beside no trace of its server. Whatever is still on its
/// way from a server that left (a heartbeat that a cut held up) has come by then.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Departures above which forgotten ones are looked for, at least.
const LEAST_LOOK: usize = 1_024;

/// An incarnation of a server is leaving or has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// What the server calls itself by.
    pub name: InstanceName,
    /// Every incarnation that started by then has left; all of them if it isn't known.
    pub through: StartTime,
}

impl Departure {
    /// The departure of an incarnation, and of all before it.
    pub fn of(id: &InstanceId) -> Self {
        Departure { name: id.name().clone(), through: id.started() }
    }

    /// Whether the incarnation has left. One that doesn't tell when it started can't be told from
    /// the one that left.
    pub fn covers(&self, id: &InstanceId) -> bool {
        let is_known = self.through.is_known() && id.started().is_known();
        self.name == *id.name() && (!is_known || id.started() <= self.through)
    }
}

#[derive(Clone, Copy, Debug)]
struct Departed {
    through: StartTime,
    at: Timestamp,
}

/// The departures that a router has heard of. None of them is taken back.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    known: BTreeMap<InstanceName, Departed>,
    look_at: usize,
}

impl Departures {
    /// Takes a departure in. Of two that differ the later one counts; one that tells no start time
    /// comes from an earlier build and takes nothing back.
    pub fn add(&mut self, departure: &Departure, now: Timestamp) {
        let through = departure.through;
        let name = departure.name.clone();
        let departed = self.known.entry(name).or_insert(Departed { through, at: now });
        departed.through = departed.through.max(through);
        departed.at = now;
    }

    /// Whether the incarnation is leaving or has left.
    pub fn covers(&self, id: &InstanceId) -> bool {
        self.known.get(id.name()).is_some_and(|departed| {
            Departure { name: id.name().clone(), through: departed.through }.covers(id)
        })
    }

    /// Forgets departures of servers of which there has been no trace for long.
    pub fn forget(&mut self, now: Timestamp, is_known: impl Fn(&InstanceName) -> bool) {
        if self.known.len() < self.look_at.max(LEAST_LOOK) {
            return;
        }
        self.known.retain(|name, departed| now.since(departed.at) < REMEMBERED || is_known(name));
        self.look_at = self.known.len() * 2;
    }

    /// Departures that are remembered.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}
