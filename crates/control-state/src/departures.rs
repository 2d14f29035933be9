//! Replicated record of departing and departed servers.

use std::collections::VecDeque;

use juniper_registry::{Departure, InstanceId, InstanceName, StartTime};

/// Number of departures retained regardless of their age. Earlier builds retain only these.
pub const MIN_RETAINED_DEPARTURES: usize = 1_024;

/// Minimum retention time of a departure, in seconds. Longer than the times after which
/// replicas (60 s) and routers (90 s) evict an unreachable server, so that the departed server
/// isn't registered again. A bound by number alone would last 12 s while a fleet of ten thousand
/// servers is replaced.
const RETENTION_SECONDS: u64 = 150;

/// Maximum number of retained departures: seven times as many as 64 per second in the retention
/// time. Bounds the size of a snapshot to a few megabytes.
const MAX_RETAINED_DEPARTURES: usize = 65_536;

#[derive(Clone, Debug, PartialEq, Eq)]
struct DepartureRecord {
    departure: Departure,
    /// Wall clock of the proposer, in seconds since the Unix epoch; 0 in records of earlier builds.
    at: u64,
}

/// Latest departures, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartureLog {
    records: VecDeque<DepartureRecord>,
    /// Number of departures recorded so far, evicted ones included.
    total: u64,
    /// Latest wall clock of a departure, in seconds since the Unix epoch; 0 if unknown.
    latest_at: u64,
}

impl DepartureLog {
    /// Number of departures recorded so far, evicted ones included.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Number of retained departures.
    pub fn retained(&self) -> usize {
        self.records.len()
    }

    /// Retained departures after the first `known` ones, oldest first.
    pub fn after(&self, known: u64) -> impl Iterator<Item = &Departure> {
        let evicted = self.total - self.records.len() as u64;
        let skipped = usize::try_from(known.saturating_sub(evicted)).unwrap_or(usize::MAX);
        self.records.iter().skip(skipped).map(|record| &record.departure)
    }

    /// Whether a departure of the incarnation is recorded.
    pub fn has_departed(&self, id: &InstanceId) -> bool {
        self.latest_of(id.name()).is_some_and(|departure| departure.covers(id))
    }

    /// Whether the recorded departures include every incarnation covered by `departure`.
    pub fn covers(&self, departure: &Departure) -> bool {
        self.latest_of(&departure.name).is_some_and(|known| {
            let is_known = known.through.is_known() && departure.through.is_known();
            !is_known || departure.through <= known.through
        })
    }

    /// Latest departure of a server. Searches from the end, because most lookups are for
    /// recent departures.
    fn latest_of(&self, name: &InstanceName) -> Option<&Departure> {
        let mut departures = self.records.iter().rev().map(|record| &record.departure);
        departures.find(|departure| departure.name == *name)
    }

    pub(crate) fn add(&mut self, departure: Departure, at: u64) {
        self.records.retain(|record| record.departure.name != departure.name);
        self.records.push_back(DepartureRecord { departure, at });
        self.total += 1;
        self.latest_at = self.latest_at.max(at);
        while self.is_oldest_expired() {
            self.records.pop_front();
        }
    }

    fn is_oldest_expired(&self) -> bool {
        let Some(oldest) = self.records.front() else { return false };
        // Records of earlier builds have no time and are limited by number, as in those builds.
        let is_old = oldest.at == 0 || oldest.at + RETENTION_SECONDS < self.latest_at;
        self.records.len() > MAX_RETAINED_DEPARTURES
            || (self.records.len() > MIN_RETAINED_DEPARTURES && is_old)
    }

    pub(crate) fn to_parts(&self) -> DepartureParts {
        DepartureParts {
            names: self.records.iter().map(|record| record.departure.name.clone()).collect(),
            through: self.records.iter().map(|record| record.departure.through).collect(),
            at: self.records.iter().map(|record| record.at).collect(),
            total: self.total,
        }
    }
}

/// Departures in the snapshot format, as parallel lists. Earlier builds read only the names.
pub(crate) struct DepartureParts {
    pub names: VecDeque<InstanceName>,
    pub through: Vec<StartTime>,
    pub at: Vec<u64>,
    pub total: u64,
}

impl From<DepartureParts> for DepartureLog {
    fn from(parts: DepartureParts) -> Self {
        let through = parts.through.into_iter().chain(std::iter::repeat(StartTime::UNKNOWN));
        let at = parts.at.into_iter().chain(std::iter::repeat(0));
        let records = parts.names.into_iter().zip(through).zip(at);
        let records: VecDeque<DepartureRecord> = records
            .map(|((name, through), at)| DepartureRecord {
                departure: Departure { name, through },
                at,
            })
            .collect();
        let latest_at = records.iter().map(|record| record.at).max().unwrap_or(0);
        let total = parts.total.max(records.len() as u64);
        DepartureLog { records, total, latest_at }
    }
}
