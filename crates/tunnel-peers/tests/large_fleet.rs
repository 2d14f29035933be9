//! Tunnels in a large fleet of which many routers are cut off from servers, in virtual time.

use std::collections::BTreeMap;

use juniper_tunnel_peers::TunnelPeers;
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTERS: u64 = 985;
const ZONES: u64 = 3;

/// Duration of the run, and time of each router between two requests, of which each opens a tunnel.
const END_MS: u64 = 8_000;
const REQUEST_INTERVAL_MS: u64 = 250;

/// Updates of other routers that each router receives in such an interval.
const UPDATES: usize = 200;

/// Time from the cut until the checks hold.
const CONTACT_MS: u64 = 3_000;

/// Time for which a tunnel stays open.
const TUNNEL_MS: u64 = 2_000;

/// Routers that are asked for one tunnel.
const MAX_PEERS: usize = 4;

/// Tunnels that one router forwards at most.
const MAX_FORWARDED: usize = 256;

/// Share of requests that may find no way: one in fifty.
const MAX_FAILED_SHARE: f64 = 0.02;

fn zone(router: u64) -> String {
    format!("zone-{}", router % ZONES)
}

/// Passes updates of random routers to `peers`.
fn receive_updates(peers: &mut TunnelPeers, now_ms: u64, random: &mut ChaCha8Rng) {
    for _ in 0..UPDATES {
        let router = random.random_range(0..ROUTERS);
        let now = Timestamp::from_millis(now_ms);
        peers.record_update(NodeId(router), &zone(router), now, random.random());
    }
}

struct World {
    random: ChaCha8Rng,
    is_cut_off: fn(u64) -> bool,
    peers: Vec<TunnelPeers>,
    /// Ends of the open tunnels through each router, each with the router that opened it.
    forwarded: BTreeMap<u64, Vec<(u64, u64)>>,
    most_forwarded: usize,
    requests: u32,
    failed: u32,
}

impl World {
    fn new(is_cut_off: fn(u64) -> bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let peers = (0..ROUTERS).map(|own| {
            let mut peers = TunnelPeers::new(zone(own));
            receive_updates(&mut peers, 0, &mut random);
            peers
        });
        let peers = peers.collect();
        let (forwarded, most_forwarded) = (BTreeMap::new(), 0);
        World { random, is_cut_off, peers, forwarded, most_forwarded, requests: 0, failed: 0 }
    }

    /// Opens a tunnel through one of the routers that `router` asks. Returns whether one was opened.
    fn open_tunnel(&mut self, router: u64, now_ms: u64) -> bool {
        let now = Timestamp::from_millis(now_ms);
        let mut asked = Vec::new();
        while asked.len() < MAX_PEERS {
            let peers = &mut self.peers[router as usize];
            let Some(peer) = peers.pick(&asked, now, self.random.random()) else { return false };
            asked.push(peer);
            let open = self.forwarded.entry(peer.0).or_default();
            if (self.is_cut_off)(peer.0) || open.len() >= MAX_FORWARDED {
                peers.record_failure(peer, now);
                continue;
            }
            peers.record_opened(peer);
            open.push((now_ms + TUNNEL_MS, router));
            self.most_forwarded = self.most_forwarded.max(open.len());
            return true;
        }
        false
    }

    fn close_tunnels(&mut self, now_ms: u64) {
        for (peer, open) in &mut self.forwarded {
            let closed = open.extract_if(.., |(end, _)| *end <= now_ms);
            closed.for_each(|(_, router)| self.peers[router as usize].record_closed(NodeId(*peer)));
        }
    }

    fn play(&mut self) {
        let is_cut_off = self.is_cut_off;
        for now_ms in (0..END_MS).step_by(REQUEST_INTERVAL_MS as usize) {
            self.close_tunnels(now_ms);
            for router in (0..ROUTERS).filter(|router| is_cut_off(*router)) {
                receive_updates(&mut self.peers[router as usize], now_ms, &mut self.random);
                let is_open = self.open_tunnel(router, now_ms);
                if now_ms >= CONTACT_MS {
                    self.requests += 1;
                    self.failed += u32::from(!is_open);
                }
            }
        }
    }
}

fn check(is_cut_off: fn(u64) -> bool) {
    let mut world = World::new(is_cut_off);
    world.play();
    let failed = f64::from(world.failed) / f64::from(world.requests);
    println!("failed={failed:.4} most_forwarded={}", world.most_forwarded);
    assert!(failed <= MAX_FAILED_SHARE, "{failed:.3} of the requests found no way");
    assert!(world.most_forwarded < MAX_FORWARDED, "{} tunnels", world.most_forwarded);
}

#[test]
fn half_of_a_large_fleet_finds_no_router_that_opens_a_tunnel() {
    check(|router| router % 2 == 0);
}

#[test]
fn a_zone_of_a_large_fleet_finds_no_router_that_opens_a_tunnel() {
    check(|router| router.is_multiple_of(ZONES));
}

#[test]
fn two_zones_of_a_large_fleet_find_no_router_that_opens_a_tunnel() {
    check(|router| !router.is_multiple_of(ZONES));
}
