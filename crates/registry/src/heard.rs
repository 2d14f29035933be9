//! What one control replica heard.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_types::Timestamp;
use minicbor::{Decode, Encode};

use crate::report::{InstanceId, InstanceReport};

/// Silence after which a silent server is forgotten altogether. Its heartbeats
/// are late by seconds at most.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A server as one replica heard of it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct HeardInstance {
    /// Its latest heartbeat.
    #[n(0)]
    pub report: InstanceReport,
    /// Whether it has been silent for too long.
    #[n(1)]
    pub silent: bool,
}

/// What came of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It says something new.
    News,
    /// It says what is known.
    Known,
    /// A later heartbeat of the same life has overtaken it.
    Overtaken,
}

#[derive(Clone, Debug)]
struct Entry {
    instance: HeardInstance,
    heard_at: Timestamp,
    changed_at: u64,
}

/// The servers that sent their heartbeats to this replica.
#[derive(Clone, Debug)]
pub struct HeardInstances {
    entries: BTreeMap<InstanceId, Entry>,
    /// Counts changes.
    revision: u64,
    silent_after: Duration,
}

impl HeardInstances {
    /// Knows no server yet; one that is silent for `silent_after` counts as gone.
    pub fn new(silent_after: Duration) -> Self {
        HeardInstances { entries: BTreeMap::new(), revision: 0, silent_after }
    }

    /// Takes a heartbeat in.
    pub fn hear(&mut self, report: InstanceReport, now: Timestamp) -> Intake {
        let revision = self.revision + 1;
        if let Some(entry) = self.entries.get_mut(&report.id) {
            let known = &entry.instance;
            if report.sequence <= known.report.sequence {
                return Intake::Overtaken;
            }
            entry.heard_at = now;
            if !known.silent && known.report.says_the_same(&report) {
                entry.instance.report = report;
                return Intake::Known;
            }
        }
        let id = report.id.clone();
        let instance = HeardInstance { report, silent: false };
        self.entries.insert(id, Entry { instance, heard_at: now, changed_at: revision });
        self.revision = revision;
        Intake::News
    }

    /// Notes which servers have been silent for too long. Returns them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let mut expired = Vec::new();
        self.entries.retain(|_, entry| now.since(entry.heard_at) < FORGET_AFTER);
        for (id, entry) in &mut self.entries {
            let overdue = now.since(entry.heard_at) >= self.silent_after;
            if overdue && !entry.instance.silent {
                self.revision += 1;
                entry.instance.silent = true;
                entry.changed_at = self.revision;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Number of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What changed after `revision`; everything for zero.
    pub fn changes_after(&self, revision: u64) -> Vec<HeardInstance> {
        let changed = self.entries.values().filter(|entry| entry.changed_at > revision);
        changed.map(|entry| entry.instance.clone()).collect()
    }
}
