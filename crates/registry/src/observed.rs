//! Servers observed by one control replica.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::Timestamp;
use minicbor::{Decode, Encode};

use crate::incarnation::{InstanceId, InstanceName, StartTime};
use crate::report::InstanceReport;

/// Time without heartbeats after which a server is removed.
const RETENTION: Duration = Duration::from_secs(60);

/// Assumed minimum time between two heartbeats of a server; servers send one every 1.2 s. Retries
/// of unanswered calls come faster, which makes an incarnation look older than it is by as much.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Server as observed by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ObservedInstance {
    /// Latest heartbeat.
    #[n(0)]
    pub report: InstanceReport,
    /// Whether heartbeats have been missing for longer than the allowed time.
    #[n(1)]
    pub silent: bool,
    /// Lower bound on the age of the incarnation, in milliseconds, from the time of its first
    /// observed heartbeat and from its sequence numbers. Zero from replicas of earlier versions.
    #[n(2)]
    #[cbor(default)]
    pub age_ms: u64,
}

/// Effect of a heartbeat on the known servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The server is new or its report has changed.
    Changed,
    /// The report has not changed.
    Unchanged,
    /// The server has restarted: all that was known of its former incarnation is void.
    Restarted {
        /// Start time of the former incarnation.
        former: StartTime,
    },
    /// A later heartbeat or incarnation is already known.
    Outdated,
    /// The heartbeat has no start time although the server has reported one: another process uses
    /// the server's name.
    NameConflict,
}

#[derive(Clone, Debug)]
struct Entry {
    instance: ObservedInstance,
    observed_at: Timestamp,
    changed_at: u64,
    age_bound: AgeBound,
}

/// Lower bound on the age of an incarnation at a point in time.
#[derive(Clone, Copy, Debug)]
struct AgeBound {
    at: Timestamp,
    age: Duration,
}

impl AgeBound {
    /// Derives a bound from one heartbeat. The sequence number counts the heartbeats before it, so
    /// that a late heartbeat still shows that its incarnation is older than one that has since
    /// started at the same address.
    fn from_report(report: &InstanceReport, now: Timestamp) -> Self {
        let earlier_heartbeats =
            u32::try_from(report.sequence.saturating_sub(1)).unwrap_or(u32::MAX);
        AgeBound { at: now, age: MIN_HEARTBEAT_INTERVAL.saturating_mul(earlier_heartbeats) }
    }

    fn age(&self, now: Timestamp) -> Duration {
        self.age + now.since(self.at)
    }

    /// Greater of two bounds.
    fn greater(self, other: AgeBound, now: Timestamp) -> Self {
        if other.age(now) > self.age(now) { other } else { self }
    }
}

/// Servers whose heartbeats this replica received.
#[derive(Clone, Debug)]
pub struct ObservedInstances {
    entries: BTreeMap<InstanceName, Entry>,
    /// Number of changes.
    revision: u64,
    silent_after: Duration,
}

impl ObservedInstances {
    /// Creates an empty set; a server counts as silent after `silent_after` without a heartbeat.
    pub fn new(silent_after: Duration) -> Self {
        ObservedInstances { entries: BTreeMap::new(), revision: 0, silent_after }
    }

    /// Records a heartbeat.
    pub fn observe(&mut self, report: InstanceReport, now: Timestamp) -> HeartbeatOutcome {
        let from_heartbeat = AgeBound::from_report(&report, now);
        let Some(entry) = self.entries.get_mut(&report.name) else {
            self.insert(report, from_heartbeat, now);
            return HeartbeatOutcome::Changed;
        };
        let known = &entry.instance.report;
        if known.started.is_known() && !report.started.is_known() {
            return HeartbeatOutcome::NameConflict;
        }
        if report.is_superseded_by(known) {
            return HeartbeatOutcome::Outdated;
        }
        if report.started != known.started {
            let former = known.started;
            self.insert(report, from_heartbeat, now);
            return HeartbeatOutcome::Restarted { former };
        }
        entry.observed_at = now;
        entry.age_bound = entry.age_bound.greater(from_heartbeat, now);
        if !entry.instance.silent && known.has_same_content(&report) {
            entry.instance.report = report;
            return HeartbeatOutcome::Unchanged;
        }
        let age_bound = entry.age_bound;
        self.insert(report, age_bound, now);
        HeartbeatOutcome::Changed
    }

    fn insert(&mut self, report: InstanceReport, age_bound: AgeBound, now: Timestamp) {
        self.revision += 1;
        let name = report.name.clone();
        let instance = ObservedInstance { report, silent: false, age_ms: 0 };
        let changed_at = self.revision;
        self.entries.insert(name, Entry { instance, observed_at: now, changed_at, age_bound });
    }

    /// Latest heartbeat of a server.
    pub fn latest_report(&self, name: &InstanceName) -> Option<&InstanceReport> {
        self.entries.get(name).map(|entry| &entry.instance.report)
    }

    /// Start time of the latest known incarnation of a server, if it reported one.
    pub fn latest_start(&self, name: &InstanceName) -> Option<StartTime> {
        let started = self.latest_report(name)?.started;
        Some(started).filter(|started| started.is_known())
    }

    /// Marks servers as silent whose heartbeats are overdue, and returns the newly marked ones.
    pub fn mark_silent(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let mut expired = Vec::new();
        self.entries.retain(|_, entry| now.since(entry.observed_at) < RETENTION);
        for entry in self.entries.values_mut() {
            let overdue = now.since(entry.observed_at) >= self.silent_after;
            if overdue && !entry.instance.silent {
                self.revision += 1;
                entry.instance.silent = true;
                entry.changed_at = self.revision;
                expired.push(entry.instance.report.id());
            }
        }
        expired
    }

    /// Revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Servers that changed after `revision`; all for zero.
    pub fn changes_after(&self, revision: u64, now: Timestamp) -> Vec<ObservedInstance> {
        let changed = self.entries.values().filter(|entry| entry.changed_at > revision);
        let with_age = |entry: &Entry| {
            let age_ms = u64::try_from(entry.age_bound.age(now).as_millis()).unwrap_or(u64::MAX);
            ObservedInstance { age_ms, ..entry.instance.clone() }
        };
        changed.map(with_age).collect()
    }
}
