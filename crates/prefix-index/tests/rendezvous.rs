//! Properties of rendezvous hashing.

use std::collections::BTreeMap;

use juniper_prefix_index::rendezvous::{LoadedNode, owner, owner_with_bounded_load, ranked};
use quickcheck::{Gen, QuickCheck, Testable};

#[test]
fn keys_spread_evenly() {
    let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
    for key in 0..34_000 {
        *counts.entry(owner(key, 0..340).unwrap()).or_default() += 1;
    }
    assert_eq!(counts.len(), 340);
    assert!(counts.values().all(|count| (50..170).contains(count)), "{counts:?}");
}

fn check<A: Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(50, 7)).quickcheck(property);
}

fn only_keys_of_removed_node_move(key: u64, nodes: Vec<u64>, removed: u64) -> bool {
    let before = owner(key, nodes.iter().copied());
    let after = owner(key, nodes.iter().copied().filter(|node| *node != removed));
    before == Some(removed) || before == after
}

#[test]
fn only_keys_of_a_removed_node_are_reassigned() {
    check(only_keys_of_removed_node_move as fn(u64, Vec<u64>, u64) -> bool);
}

fn first_is_owner(key: u64, nodes: Vec<u64>) -> bool {
    ranked(key, nodes.iter().copied()).first().copied() == owner(key, nodes)
}

#[test]
fn owner_is_ranked_first() {
    check(first_is_owner as fn(u64, Vec<u64>) -> bool);
}

fn is_within_bound(key: u64, loads: Vec<u16>) -> bool {
    let nodes: Vec<LoadedNode> =
        (0..).zip(&loads).map(|(node, load)| LoadedNode { node, load: f64::from(*load) }).collect();
    let total: f64 = nodes.iter().map(|node| node.load).sum();
    let bound = 1.25 * (total + 1.0) / nodes.len().max(1) as f64;
    match owner_with_bounded_load(key, &nodes, 1.0, 1.25) {
        Some(chosen) => nodes[chosen as usize].load + 1.0 <= bound.max(1.0),
        None => nodes.is_empty(),
    }
}

#[test]
fn owner_with_bounded_load_stays_within_the_bound() {
    check(is_within_bound as fn(u64, Vec<u16>) -> bool);
}
