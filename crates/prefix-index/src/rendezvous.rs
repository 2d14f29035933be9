//! Rendezvous hashing, plain and with bounded load.
//!
//! Every node scores every key; the highest score owns the key. When a node
//! goes, only its own keys move, and every process that knows the same nodes
//! names the same owner without talking to anybody.

/// Constants of the SplitMix64 finalizer (Steele, Lea, Flood 2014).
const MIX_FIRST: u64 = 0xBF58_476D_1CE4_E5B9;
const MIX_SECOND: u64 = 0x94D0_49BB_1331_11EB;
const GOLDEN_GAMMA: u64 = 0x9E37_79B9_7F4A_7C15;

fn mix(mut word: u64) -> u64 {
    word = (word ^ (word >> 30)).wrapping_mul(MIX_FIRST);
    word = (word ^ (word >> 27)).wrapping_mul(MIX_SECOND);
    word ^ (word >> 31)
}

/// Score of `node` for `key`; the same in every process and version.
pub fn score(key: u64, node: u64) -> u64 {
    mix(mix(key.wrapping_add(GOLDEN_GAMMA)) ^ node.wrapping_mul(GOLDEN_GAMMA))
}

/// The node that owns `key`, or `None` when there are no nodes.
pub fn owner(key: u64, nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    nodes.into_iter().max_by_key(|node| (score(key, *node), *node))
}

/// The nodes from the owner of `key` downwards.
pub fn ranked(key: u64, nodes: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let mut nodes: Vec<u64> = nodes.into_iter().collect();
    nodes.sort_unstable_by_key(|node| std::cmp::Reverse((score(key, *node), *node)));
    nodes
}

/// A node and the work it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadedNode {
    /// The node.
    pub node: u64,
    /// Its load, in any unit that adds up.
    pub load: f64,
}

/// The best-scored node whose load, with `added` work on top, stays within
/// `factor` times the mean (bounded load, Mirrokni, Thorup, Zadimoghaddam 2016).
///
/// With a factor above 1 there always is one, unless there are no nodes.
pub fn owner_with_bounded_load(
    key: u64,
    nodes: &[LoadedNode],
    added: f64,
    factor: f64,
) -> Option<u64> {
    let total: f64 = nodes.iter().map(|node| node.load).sum();
    let bound = factor * (total + added) / nodes.len().max(1) as f64;
    let within = nodes.iter().filter(|node| node.load + added <= bound.max(added));
    let bounded = owner(key, within.map(|node| node.node));
    bounded.or_else(|| {
        let lightest = nodes.iter().min_by(|a, b| a.load.total_cmp(&b.load));
        lightest.map(|node| node.node)
    })
}
