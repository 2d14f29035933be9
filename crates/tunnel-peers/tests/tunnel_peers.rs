//! Choice of routers for tunnels.

use std::collections::BTreeSet;

use juniper_tunnel_peers::TunnelPeers;
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn peers_of(routers: u64, seed: u64) -> TunnelPeers {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut peers = TunnelPeers::new("zone-0");
    for millis in 0..1_000 {
        let router = random.random_range(0..routers);
        let zone = format!("zone-{}", router % 3);
        peers.record_update(NodeId(router + 1), &zone, at(millis), random.random());
    }
    peers
}

fn picked(peers: &TunnelPeers, millis: u64) -> BTreeSet<NodeId> {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    (0..400).filter_map(|_| peers.pick(&[], at(millis), random.random())).collect()
}

#[test]
fn all_routers_of_a_small_fleet_are_used() {
    assert_eq!(picked(&peers_of(6, 1), 1_000).len(), 6);
}

#[test]
fn the_sample_of_a_large_fleet_is_bounded_and_differs_between_routers() {
    let samples: Vec<_> = (0..40).map(|seed| picked(&peers_of(985, seed), 1_000)).collect();
    assert!(samples.iter().all(|sample| sample.len() == 16));
    let all: BTreeSet<_> = samples.iter().flatten().collect();
    assert!(all.len() > 300, "only {} different peers", all.len());
}

#[test]
fn silent_routers_are_not_used() {
    let peers = peers_of(6, 1);
    assert_eq!(picked(&peers, 11_100), BTreeSet::new());
}

#[test]
fn a_router_that_failed_is_left_out_for_a_second() {
    let mut peers = peers_of(6, 1);
    peers.record_failure(NodeId(3), at(1_000));
    assert!(!picked(&peers, 1_999).contains(&NodeId(3)));
    assert!(picked(&peers, 2_000).contains(&NodeId(3)));
}

#[test]
fn excluded_routers_are_not_picked() {
    let peers = peers_of(2, 1);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..50 {
        assert_eq!(peers.pick(&[NodeId(1)], at(1_000), random.random()), Some(NodeId(2)));
    }
    assert_eq!(peers.pick(&[NodeId(1), NodeId(2)], at(1_000), 7), None);
}

/// Guards against many tunnels through one router.
#[test]
fn tunnels_are_spread_over_the_routers() {
    let mut peers = peers_of(6, 1);
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut open = std::collections::BTreeMap::<NodeId, u32>::new();
    for _ in 0..600 {
        let node = peers.pick(&[], at(1_000), random.random()).expect("a router");
        peers.record_opened(node);
        *open.entry(node).or_default() += 1;
    }
    assert!(open.values().all(|count| (90..=110).contains(count)), "{open:?}");
}
