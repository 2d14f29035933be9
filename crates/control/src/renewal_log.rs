//! Rollout state published to routers: servers that take no new requests because their weights are
//! being replaced, and weight versions known ahead of the servers' own reports.
//!
//! A rollout changes this state dozens of times a second, and every router needs each change. The
//! caller of [`RenewalLog::publish`] therefore batches changes; each batch is sent as a difference
//! and encoded once for all subscribers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use juniper_protocol::message::{KnownVersion, RenewalUpdate, encode};
use juniper_protocol::{Message, Push};
use juniper_registry::InstanceId;

/// Maximum number of stored changes; subscribers further behind get the complete state.
const MAX_CHANGES: usize = 32;

/// Encoded message shared by many subscribers.
pub type SharedFrame = Arc<Vec<u8>>;

/// Rollout state as known to the order dispatcher.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewals {
    /// Servers that take no new requests until their weights are replaced.
    pub renewing: BTreeSet<InstanceId>,
    /// Version of a model's weights by server and model, where the server's own report is older.
    pub versions: BTreeMap<(InstanceId, String), u64>,
}

impl Renewals {
    /// Returns the complete state.
    fn complete_update(&self) -> RenewalUpdate {
        let versions = self.versions.iter().map(known_version).collect();
        let update = RenewalUpdate { is_complete: true, versions, ..RenewalUpdate::default() };
        update.with_servers(&self.renewing, [])
    }

    /// Returns the changes since `earlier`. Versions that are absent here have reached the servers'
    /// own reports, so they need no update.
    fn changes_since(&self, earlier: &Renewals) -> RenewalUpdate {
        let is_new =
            |entry: &(&(InstanceId, String), &u64)| earlier.versions.get(entry.0) != Some(entry.1);
        let versions = self.versions.iter().filter(is_new).map(known_version).collect();
        let started = self.renewing.difference(&earlier.renewing);
        let ended = earlier.renewing.difference(&self.renewing);
        RenewalUpdate { versions, ..RenewalUpdate::default() }.with_servers(started, ended)
    }
}

fn known_version(entry: (&(InstanceId, String), &u64)) -> KnownVersion {
    let ((instance, model), version) = entry;
    KnownVersion {
        instance: instance.name().clone(),
        started: instance.started(),
        model: model.clone(),
        version: *version,
    }
}

fn encode_frame(update: RenewalUpdate) -> SharedFrame {
    Arc::new(encode(&Message::Push(Push::Renewals(update))))
}

/// Log of the latest rollout changes, encoded.
#[derive(Debug, Default)]
pub struct RenewalLog {
    latest: Renewals,
    published: Renewals,
    /// Revision of the latest published change.
    revision: u64,
    /// Latest changes, oldest first.
    changes: VecDeque<SharedFrame>,
}

impl RenewalLog {
    /// Sets the latest state. Returns whether there are changes to publish.
    pub fn set_latest(&mut self, latest: Renewals) -> bool {
        self.latest = latest;
        self.latest != self.published
    }

    /// Publishes the changes since the last call. Returns the latest revision.
    pub fn publish(&mut self) -> u64 {
        let change = self.latest.changes_since(&self.published);
        self.published = self.latest.clone();
        if !change.is_empty() {
            self.revision += 1;
            self.changes.push_back(encode_frame(change));
            if self.changes.len() > MAX_CHANGES {
                self.changes.pop_front();
            }
        }
        self.revision
    }

    /// Returns the latest revision and the messages that bring a subscriber up to date from
    /// revision `sent`.
    pub fn frames_after(&self, sent: Option<u64>) -> (u64, Vec<SharedFrame>) {
        let missing = sent.and_then(|sent| self.revision.checked_sub(sent));
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let frames = match missing.filter(|missing| *missing <= self.changes.len()) {
            Some(missing) => self.changes.iter().rev().take(missing).rev().cloned().collect(),
            None if self.revision == 0 => Vec::new(),
            None => vec![encode_frame(self.published.complete_update())],
        };
        (self.revision, frames)
    }
}
