//! Backoffs that servers have requested.

use std::collections::HashMap;
use std::time::Duration;

use juniper_registry::{InstanceId, InstanceName};
use juniper_types::{NodeId, Timestamp};

/// Number of entries above which expired ones are removed.
const CLEANUP_THRESHOLD: usize = 256;

/// Number of routers that must report a backoff before this router avoids the server too. A server
/// that limits a single router may still serve the others.
const PEER_QUORUM: usize = 2;

/// Maximum time for which peers' reports count. Peers that are backing off don't send to the
/// server, so some router has to try it again.
const MAX_PEER_BACKOFF: Duration = Duration::from_secs(10);

/// A backoff reported by another router.
#[derive(Clone, Copy, Debug)]
struct PeerBackoff {
    router: NodeId,
    until: Timestamp,
}

/// Backoffs of one incarnation.
#[derive(Clone, Debug)]
struct Backoff {
    id: InstanceId,
    /// End of the backoff towards this router.
    until: Timestamp,
    peers: Vec<PeerBackoff>,
}

impl Backoff {
    fn is_over(&self, now: Timestamp) -> bool {
        now >= self.until && self.peers.iter().all(|peer| now >= peer.until)
    }
}

/// Backoffs by server. Kept apart from the servers' other state, since a backoff also holds for a
/// server that is missing from the instance list for a moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs(HashMap<InstanceName, Backoff>);

impl Backoffs {
    /// Records that the incarnation requested a backoff of `duration` from this router. Returns
    /// whether it ends later than the known one. Later answers never shorten a backoff.
    pub(crate) fn observe(&mut self, id: &InstanceId, duration: Duration, now: Timestamp) -> bool {
        let backoff = self.entry_mut(id, now);
        let until = now.after(duration);
        let is_longer = backoff.until < until;
        backoff.until = backoff.until.max(until);
        is_longer
    }

    /// Records another router's report of a backoff of `duration`.
    pub(crate) fn apply_peer_backoff(
        &mut self,
        id: &InstanceId,
        router: NodeId,
        duration: Duration,
        now: Timestamp,
    ) {
        let peers = &mut self.entry_mut(id, now).peers;
        peers.retain(|peer| peer.router != router && now < peer.until);
        if peers.len() < PEER_QUORUM {
            peers.push(PeerBackoff { router, until: now.after(duration.min(MAX_PEER_BACKOFF)) });
        }
    }

    fn entry_mut(&mut self, id: &InstanceId, now: Timestamp) -> &mut Backoff {
        if self.0.len() >= CLEANUP_THRESHOLD {
            self.0.retain(|_, backoff| !backoff.is_over(now));
        }
        let new = || Backoff { id: id.clone(), until: Timestamp::ZERO, peers: Vec::new() };
        let backoff = self.0.entry(id.name().clone()).or_insert_with(new);
        if !backoff.id.is_same(id) {
            *backoff = new();
        }
        backoff
    }

    fn get(&self, id: &InstanceId) -> Option<&Backoff> {
        self.0.get(id.name()).filter(|backoff| backoff.id.is_same(id))
    }

    /// Whether a backoff of the incarnation is recorded; it may have expired.
    pub(crate) fn contains(&self, id: &InstanceId) -> bool {
        self.get(id).is_some()
    }

    /// Remaining backoff towards this router; `None` if the incarnation accepts requests.
    pub(crate) fn remaining(&self, id: &InstanceId, now: Timestamp) -> Option<Duration> {
        let until = self.get(id)?.until;
        (now < until).then(|| until.since(now))
    }

    /// Whether enough other routers report a backoff for this router to avoid the incarnation.
    pub(crate) fn is_confirmed_by_peers(&self, id: &InstanceId, now: Timestamp) -> bool {
        let backoff = self.get(id);
        let peers = backoff.into_iter().flat_map(|backoff| &backoff.peers);
        peers.filter(|peer| now < peer.until).count() >= PEER_QUORUM
    }

    /// Number of servers that are backing off from this router.
    pub(crate) fn count_active(&self, now: Timestamp) -> usize {
        self.0.values().filter(|backoff| now < backoff.until).count()
    }
}
