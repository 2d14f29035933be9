//! Rendezvous hashing, optionally with bounded load.
//!
//! Each key is owned by the node with the highest score for it. Processes with the
//! same set of nodes agree on the owner without communication, and only the keys
//! of a removed node are reassigned.

/// Constants of the SplitMix64 finalizer (Steele, Lea, Flood 2014).
const MIX_FIRST: u64 = 0xBF58_476D_1CE4_E5B9;
const MIX_SECOND: u64 = 0x94D0_49BB_1331_11EB;
const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;

fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(MIX_FIRST);
    word = (word ^ (word >> 27)).wrapping_mul(MIX_SECOND);
    word ^ (word >> 31)
}

/// Score of `node` for `key`. Must stay the same across versions.
pub fn score(key: u64, node: u64) -> u64 {
    mix(mix(key.wrapping_add(GOLDEN_GAMMA)) ^ node.wrapping_mul(GOLDEN_GAMMA))
}

/// Node that owns `key`; `None` if there are no nodes.
pub fn owner(key: u64, nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    nodes.into_iter().max_by_key(|node| (score(key, *node), *node))
}

/// Nodes by descending score for `key`, beginning with its owner.
pub fn ranked(key: u64, nodes: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut nodes: Vec<u64> = nodes.into_iter().collect();
    nodes.sort_unstable_by_key(|node| std::cmp::Reverse((score(key, *node), *node)));
    nodes
}

/// Node and its current load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadedNode {
    /// Node number.
    pub node: u64,
    /// Load of the node, in any additive unit.
    pub load: f64,
}

/// Node with the highest score among those whose load plus `added` stays within
/// `factor` times the mean load (bounded load; Mirrokni, Thorup, Zadimoghaddam
/// 2016).
///
/// Returns `None` only if there are no nodes.
pub fn owner_with_bounded_load(
    key: u64,
    nodes: &[LoadedNode],
    added: f64,
    factor: f64,
) -> Option<u64> {
    let total: f64 = nodes.iter().map(|node| node.load).sum();
    let bound = factor * (total + added) / nodes.len().max(1) as f64;
    let candidates = nodes.iter().filter(|node| node.load + added <= bound.max(added));
    let bounded = owner(key, candidates.map(|node| node.node));
    bounded.or_else(|| {
        let least_loaded = nodes.iter().min_by(|a, b| a.load.total_cmp(&b.load));
        least_loaded.map(|node| node.node)
    })
}
