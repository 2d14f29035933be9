//! What routers are told of renewals: which servers take no new requests, and which weights
//! servers are known to have before they say so themselves.
//!
//! A rollout changes this dozens of times a second, and every router is told. So changes are
//! gathered by whoever calls [`RenewalLog::publish`], told as what they change, and encoded
//! once for all followers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use juniper_protocol::message::{KnownVersion, RenewalUpdate, encode};
use juniper_protocol::{Message, Push};
use juniper_registry::InstanceId;

/// Changes that are kept for followers; one that is further behind gets everything.
const MAX_CHANGES: usize = 32;

/// An encoded push for many followers.
pub type SharedFrame = Arc<Vec<u8>>;

/// What the one who gives orders knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renewals {
    /// Servers that take no new requests until they have new weights.
    pub under_way: BTreeSet<InstanceId>,
    /// Version of a model's weights by server, where the server's own report has an older one.
    pub versions: BTreeMap<(InstanceId, String), u64>,
}

impl Renewals {
    /// Everything.
    fn whole(&self) -> RenewalUpdate {
        let versions = self.versions.iter().map(known_version).collect();
        let news = RenewalUpdate { is_complete: true, versions, ..RenewalUpdate::default() };
        news.with_servers(&self.under_way, [])
    }

    /// What differs from `earlier`. A version that is missing here is in the server's own report
    /// by now.
    fn change_from(&self, earlier: &Renewals) -> RenewalUpdate {
        let is_new =
            |known: &(&(InstanceId, String), &u64)| earlier.versions.get(known.0) != Some(known.1);
        let versions = self.versions.iter().filter(is_new).map(known_version).collect();
        let begun = self.under_way.difference(&earlier.under_way);
        let ended = earlier.under_way.difference(&self.under_way);
        RenewalUpdate { versions, ..RenewalUpdate::default() }.with_servers(begun, ended)
    }
}

fn known_version(known: (&(InstanceId, String), &u64)) -> KnownVersion {
    let ((instance, model), version) = known;
    KnownVersion {
        instance: instance.name().clone(),
        started: instance.started(),
        model: model.clone(),
        version: *version,
    }
}

fn frame(news: RenewalUpdate) -> SharedFrame {
    Arc::new(encode(&Message::Push(Push::Renewals(news))))
}

/// The latest changes, encoded.
#[derive(Debug, Default)]
pub struct RenewalLog {
    latest: Renewals,
    published: Renewals,
    /// Number of the latest published change.
    revision: u64,
    /// The latest changes, the oldest first.
    changes: VecDeque<SharedFrame>,
}

impl RenewalLog {
    /// Notes what is known now. Returns whether there is something to publish.
    pub fn announce(&mut self, latest: Renewals) -> bool {
        self.latest = latest;
        self.latest != self.published
    }

    /// Publishes what was announced since. Returns the number of the latest change.
    pub fn publish(&mut self) -> u64 {
        let change = self.latest.change_from(&self.published);
        self.published = self.latest.clone();
        if !change.is_empty() {
            self.revision += 1;
            self.changes.push_back(frame(change));
            if self.changes.len() > MAX_CHANGES {
                self.changes.pop_front();
            }
        }
        self.revision
    }

    /// What a follower that has everything up to `sent` has to be told, with the number of the
    /// latest change.
    pub fn frames_after(&self, sent: Option<u64>) -> (u64, Vec<SharedFrame>) {
        let missing = sent.and_then(|sent| self.revision.checked_sub(sent));
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let frames = match missing.filter(|missing| *missing <= self.changes.len()) {
            Some(missing) => self.changes.iter().rev().take(missing).rev().cloned().collect(),
            None if self.revision == 0 => Vec::new(),
            None => vec![frame(self.published.whole())],
        };
        (self.revision, frames)
    }
}
