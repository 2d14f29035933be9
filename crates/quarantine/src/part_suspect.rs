//! Crashes that count against one part of prompts.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

/// Crashes within this time of each other count once: a power failure interrupts many prompts with a
/// frequent, harmless part at once.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(150);

/// Time after a complete answer for which crashes don't count against the parts of its prompt.
pub const COMPLETION_VALIDITY: Duration = Duration::from_secs(1);

/// Maximum number of crashes kept for one part; the oldest are dropped.
const MAX_CRASHES: usize = 32;

#[derive(Clone, Debug)]
struct Crash {
    instance: InstanceId,
    at: Timestamp,
}

/// Evidence against one part of prompts, and for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartSuspect {
    /// Crashes in the order in which they happened.
    crashes: Vec<Crash>,
    completed_at: Option<Timestamp>,
    pub(crate) changed_at: Timestamp,
    /// Servers that crashed while the part was on trial there.
    failed_trials: Vec<InstanceId>,
}

impl PartSuspect {
    /// Creates a suspect without crashes.
    pub(crate) fn at(now: Timestamp) -> Self {
        PartSuspect { changed_at: now, ..PartSuspect::default() }
    }

    /// Adds a crash. Returns whether it was unknown.
    pub(crate) fn add(&mut self, instance: &InstanceId, at: Timestamp, now: Timestamp) -> bool {
        if self.crashed(instance) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        let position = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(position, Crash { instance: instance.clone(), at });
        self.changed_at = now;
        true
    }

    /// Records that a server crashed while the part was on trial there.
    pub(crate) fn fail_trial(&mut self, instance: &InstanceId) {
        if !contains(&self.failed_trials, instance) {
            self.failed_trials.push(instance.clone());
        }
    }

    /// Servers that crashed while the part was on trial there.
    pub(crate) fn failed_trials(&self) -> &[InstanceId] {
        &self.failed_trials
    }

    /// Whether the part was in flight on the server when it crashed.
    pub(crate) fn crashed(&self, instance: &InstanceId) -> bool {
        self.crashes.iter().any(|crash| crash.instance.is_same(instance))
    }

    /// Records a complete answer, which takes back the crashes before it. Returns how many.
    pub(crate) fn complete(&mut self, at: Timestamp, now: Timestamp) -> usize {
        let before = self.counted().count();
        self.completed_at = self.completed_at.max(Some(at));
        self.failed_trials.clear();
        self.changed_at = now;
        before - self.counted().count()
    }

    /// Whether a prompt with the part was answered completely.
    pub(crate) fn has_completed(&self) -> bool {
        self.completed_at.is_some()
    }

    /// Crashes that no complete answer has taken back.
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        let valid_until = self.completed_at.map(|at| at.after(COMPLETION_VALIDITY));
        self.crashes.iter().filter(move |crash| valid_until.is_none_or(|until| crash.at > until))
    }

    /// Servers whose crashes count, without those that are explained already.
    pub(crate) fn unexplained(&self, explained: &[InstanceId]) -> Vec<InstanceId> {
        let instances = self.counted().map(|crash| &crash.instance);
        instances.filter(|instance| !contains(explained, instance)).cloned().collect()
    }

    /// Number of crashes that count and aren't explained; simultaneous ones count once.
    pub(crate) fn count(&self, explained: &[InstanceId]) -> usize {
        let mut last: Option<Timestamp> = None;
        let mut count = 0;
        for crash in self.counted().filter(|crash| !contains(explained, &crash.instance)) {
            if last.is_none_or(|last| crash.at.since(last) >= SIMULTANEOUS_WINDOW) {
                count += 1;
                last = Some(crash.at);
            }
        }
        count
    }
}

/// Whether the incarnation is in the list.
pub(crate) fn contains(instances: &[InstanceId], instance: &InstanceId) -> bool {
    instances.iter().any(|known| known.is_same(instance))
}
