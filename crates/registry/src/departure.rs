//! Departing and departed servers.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::incarnation::{InstanceId, InstanceName, StartTime};

/// Time for which a departure is kept after the last trace of its server. Longer than the delay of
/// any heartbeat, including one held up by a partition.
const RETENTION: Duration = Duration::from_secs(120);

/// Minimum number of departures before expired ones are looked for.
const MIN_EXPIRY_COUNT: usize = 1_024;

/// Departure of an incarnation of a server and of all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Name of the server.
    pub name: InstanceName,
    /// Latest departed incarnation; all incarnations have departed if unknown.
    pub through: StartTime,
}

impl Departure {
    /// Departure of the given incarnation and of all earlier ones.
    pub fn of(id: &InstanceId) -> Self {
        Departure { name: id.name().clone(), through: id.started() }
    }

    /// Departure of a server that names none of its incarnations and is still connected. Earlier
    /// incarnations have ended, so the server is the latest of `known`. If none is known, everything
    /// that started until `now` departs, since a first heartbeat may be late.
    pub fn of_latest(
        name: InstanceName,
        known: impl IntoIterator<Item = StartTime>,
        now: StartTime,
    ) -> Self {
        let latest = known.into_iter().filter(|start| start.is_known()).max();
        Departure { name, through: latest.unwrap_or(now) }
    }

    /// Whether the incarnation has departed. An incarnation with an unknown start time is taken for
    /// the departed one.
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

/// Known departures; a recorded departure is never revoked.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    known: BTreeMap<InstanceName, Departed>,
    next_expiry_count: usize,
}

impl Departures {
    /// Records a departure. Of two departures of a server the later one counts; one without a start
    /// time comes from an earlier build and doesn't replace one with a start time.
    pub fn add(&mut self, departure: &Departure, now: Timestamp) {
        let through = departure.through;
        let name = departure.name.clone();
        let departed = self.known.entry(name).or_insert(Departed { through, at: now });
        departed.through = departed.through.max(through);
        departed.at = now;
    }

    /// Whether the incarnation is departing or has departed.
    pub fn covers(&self, id: &InstanceId) -> bool {
        self.known.get(id.name()).is_some_and(|departed| {
            Departure { name: id.name().clone(), through: departed.through }.covers(id)
        })
    }

    /// Removes departures of servers that have left no trace for the retention time.
    pub fn expire(&mut self, now: Timestamp, is_known: impl Fn(&InstanceName) -> bool) {
        if self.known.len() < self.next_expiry_count.max(MIN_EXPIRY_COUNT) {
            return;
        }
        self.known.retain(|name, departed| now.since(departed.at) < RETENTION || is_known(name));
        self.next_expiry_count = self.known.len() * 2;
    }

    /// Number of departures kept.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}
