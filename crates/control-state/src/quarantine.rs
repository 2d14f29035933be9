//! Replicated quarantine of requests under which servers crashed.

use std::collections::{BTreeMap, VecDeque};

use juniper_registry::InstanceName;
use juniper_types::RequestFingerprint;
use minicbor::{Decode, Encode};

/// Maximum number of quarantined requests. The oldest one is released when the limit is exceeded.
pub const MAX_QUARANTINED: usize = 1_024;

/// Maximum number of retained changes, from which subscribers get incremental updates.
const MAX_RECENT_CHANGES: usize = 256;

/// Request in quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request.
    #[n(0)]
    pub request: RequestFingerprint,
    /// Servers that crashed under the request.
    #[n(1)]
    pub servers: Vec<InstanceName>,
    /// Wall clock of the proposer of the quarantine, in seconds since the Unix epoch.
    #[n(2)]
    pub since: u64,
}

/// Change of the quarantine for a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Whether `added` is the complete list, which replaces the subscriber's.
    pub is_whole: bool,
    /// Requests in quarantine.
    pub added: Vec<RequestFingerprint>,
    /// Requests released from quarantine.
    pub released: Vec<RequestFingerprint>,
}

/// Quarantined requests, which no server receives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Quarantine {
    /// Requests in the order in which they were recorded.
    #[n(0)]
    requests: VecDeque<QuarantinedRequest>,
    /// Number of changes so far.
    #[n(1)]
    changes: u64,
    /// Requests affected by the latest changes, oldest first.
    #[n(2)]
    recent_changes: VecDeque<RequestFingerprint>,
}

impl Quarantine {
    /// Quarantined requests in the order in which they were recorded.
    pub fn requests(&self) -> impl Iterator<Item = &QuarantinedRequest> {
        self.requests.iter()
    }

    /// Number of changes so far.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Whether the request is in quarantine.
    pub fn contains(&self, request: &RequestFingerprint) -> bool {
        self.requests.iter().any(|known| known.request == *request)
    }

    /// Adds a request. Returns false if the request is in quarantine already.
    pub(crate) fn add(&mut self, request: QuarantinedRequest) -> bool {
        if self.contains(&request.request) {
            return false;
        }
        if self.requests.len() >= MAX_QUARANTINED
            && let Some(first) = self.requests.pop_front()
        {
            self.record_change(first.request);
        }
        self.record_change(request.request);
        self.requests.push_back(request);
        true
    }

    /// Releases a request. Returns false if the request is not in quarantine.
    pub(crate) fn release(&mut self, request: &RequestFingerprint) -> bool {
        let Some(position) = self.requests.iter().position(|known| known.request == *request)
        else {
            return false;
        };
        self.requests.remove(position);
        self.record_change(*request);
        true
    }

    fn record_change(&mut self, request: RequestFingerprint) {
        self.changes += 1;
        self.recent_changes.push_back(request);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Change for a subscriber that has received the first `known` changes. Complete if `known`
    /// is `None` or the changes since are no longer retained.
    pub fn change_after(&self, known: Option<u64>) -> QuarantineChange {
        let missing = known.and_then(|known| self.changes.checked_sub(known));
        let missing = missing.and_then(|missing| usize::try_from(missing).ok());
        let Some(missing) = missing.filter(|missing| *missing <= self.recent_changes.len()) else {
            let added = self.requests.iter().map(|known| known.request).collect();
            return QuarantineChange { is_whole: true, added, released: Vec::new() };
        };
        let changed = self.recent_changes.iter().rev().take(missing);
        let quarantined: BTreeMap<RequestFingerprint, bool> =
            changed.map(|request| (*request, self.contains(request))).collect();
        let select = |wanted: bool| {
            let requests =
                quarantined.iter().filter(move |(_, is_quarantined)| **is_quarantined == wanted);
            requests.map(|(request, _)| *request).collect()
        };
        QuarantineChange { is_whole: false, added: select(true), released: select(false) }
    }
}
