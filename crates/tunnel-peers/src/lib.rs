//! Chooses the router through which a connection to a server is tunneled when this router can't
//! connect to it directly. Performs no I/O: time and random numbers are passed in.
//!
//! Routers hear of each other by their updates. A bounded sample of them is kept, which changes over
//! time, so that in a large fleet all cut-off routers don't use the same few peers.

use std::time::Duration;

use juniper_types::{NodeId, Timestamp};

/// Routers kept of the own zone, and of all other zones together.
const SAMPLE_SIZE: usize = 8;

/// Time without an update after which a router isn't used; a router with requests sends several per
/// second.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// Time for which a router isn't used after it refused or failed to open a tunnel.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// A full sample replaces one router for one in this number of updates of other routers.
const REPLACEMENT_INTERVAL: u64 = 64;

#[derive(Clone, Debug)]
struct Peer {
    node: NodeId,
    zone: String,
    heard_at: Timestamp,
    backing_off_until: Timestamp,
    open_tunnels: u32,
}

impl Peer {
    fn new(node: NodeId, zone: &str, now: Timestamp) -> Self {
        let (zone, backing_off_until) = (zone.to_owned(), Timestamp::ZERO);
        Peer { node, zone, heard_at: now, backing_off_until, open_tunnels: 0 }
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < MAX_SILENCE && now >= self.backing_off_until
    }
}

/// Routers through which this router may tunnel connections.
#[derive(Clone, Debug)]
pub struct TunnelPeers {
    own_zone: String,
    /// Routers of the own zone.
    near: Vec<Peer>,
    /// Routers of other zones.
    far: Vec<Peer>,
}

impl TunnelPeers {
    /// No routers are known to the router in `own_zone` yet.
    pub fn new(own_zone: impl Into<String>) -> Self {
        TunnelPeers { own_zone: own_zone.into(), near: Vec::new(), far: Vec::new() }
    }

    /// Records an update of the router `node`. `random` decides whether it replaces another one.
    pub fn record_update(&mut self, node: NodeId, zone: &str, now: Timestamp, random: u64) {
        let sample = match zone == self.own_zone {
            true => &mut self.near,
            false => &mut self.far,
        };
        if let Some(known) = sample.iter_mut().find(|peer| peer.node == node) {
            known.heard_at = now;
            return;
        }
        if sample.len() < SAMPLE_SIZE {
            sample.push(Peer::new(node, zone, now));
            return;
        }
        let unusable = sample.iter().position(|peer| !peer.is_usable(now));
        let drawn = (random / REPLACEMENT_INTERVAL) as usize % sample.len();
        // Routers with open tunnels are kept, since they are known to reach servers.
        let is_replaced =
            random.is_multiple_of(REPLACEMENT_INTERVAL) && sample[drawn].open_tunnels == 0;
        if let Some(position) = unusable.or(is_replaced.then_some(drawn)) {
            sample[position] = Peer::new(node, zone, now);
        }
    }

    /// Picks the router for a tunnel: of two usable ones drawn at random, the one with fewer
    /// tunnels of this router, and of equal ones the one in the own zone. `None` if there is none
    /// besides those in `failed`, which were asked for the same tunnel.
    pub fn pick(&self, failed: &[NodeId], now: Timestamp, random: u64) -> Option<NodeId> {
        let usable = self.known().filter(|peer| peer.is_usable(now));
        let usable: Vec<&Peer> = usable.filter(|peer| !failed.contains(&peer.node)).collect();
        let candidates = match failed.is_empty() {
            true => usable,
            false => self.candidates_after(failed, usable),
        };
        let count = candidates.len() as u64;
        let drawn = |random: u64| Some(candidates[random.checked_rem(count)? as usize]);
        let draws = [drawn(random & 0xffff_ffff), drawn(random >> 32)];
        let rank = |peer: &&Peer| (peer.open_tunnels, peer.zone != self.own_zone);
        draws.into_iter().flatten().min_by_key(rank).map(|peer| peer.node)
    }

    /// Candidates after some have failed: those with open tunnels, which reach servers, or else those
    /// of the zones in which fewest have failed, since all routers of a zone may be cut off.
    fn candidates_after<'a>(&self, failed: &[NodeId], usable: Vec<&'a Peer>) -> Vec<&'a Peer> {
        if usable.iter().any(|peer| peer.open_tunnels > 0) {
            return usable.into_iter().filter(|peer| peer.open_tunnels > 0).collect();
        }
        let has_failed = |peer: &&Peer| failed.contains(&peer.node);
        let failed: Vec<&Peer> = self.known().filter(has_failed).collect();
        let failures = |peer: &Peer| failed.iter().filter(|other| other.zone == peer.zone).count();
        let fewest = usable.iter().map(|peer| failures(peer)).min();
        usable.into_iter().filter(|peer| Some(failures(peer)) == fewest).collect()
    }

    fn known(&self) -> impl Iterator<Item = &Peer> {
        self.near.iter().chain(&self.far)
    }

    /// Whether a tunnel through the router is open.
    pub fn has_open(&self, node: NodeId) -> bool {
        self.known().any(|peer| peer.node == node && peer.open_tunnels > 0)
    }

    /// Records that a tunnel through the router was opened.
    pub fn record_opened(&mut self, node: NodeId) {
        if let Some(peer) = self.find(node) {
            peer.open_tunnels += 1;
        }
    }

    /// Records that a tunnel through the router was closed.
    pub fn record_closed(&mut self, node: NodeId) {
        if let Some(peer) = self.find(node) {
            peer.open_tunnels = peer.open_tunnels.saturating_sub(1);
        }
    }

    /// Records that the router refused or failed to open a tunnel.
    pub fn record_failure(&mut self, node: NodeId, now: Timestamp) {
        if let Some(peer) = self.find(node) {
            peer.backing_off_until = now.after(FAILURE_BACKOFF);
        }
    }

    fn find(&mut self, node: NodeId) -> Option<&mut Peer> {
        self.near.iter_mut().chain(&mut self.far).find(|peer| peer.node == node)
    }
}
