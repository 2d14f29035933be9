//! Which replica keeps the bucket of an account.

use juniper_types::NodeId;

/// First state of the hash (FNV-1a, 64 bits).
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Factor of the hash (FNV-1a, 64 bits).
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The replicas in the order in which they are asked to own an account. Each account has an
/// order of its own (highest random weight), so that those of a lost replica are spread over
/// the others, and those of the others stay where they are.
pub fn owners(replicas: impl IntoIterator<Item = NodeId>, account: &str) -> Vec<NodeId> {
    let mut ordered: Vec<NodeId> = replicas.into_iter().collect();
    ordered.sort_unstable_by_key(|node| (std::cmp::Reverse(weight(*node, account)), node.0));
    ordered
}

fn weight(node: NodeId, account: &str) -> u64 {
    let bytes = account.bytes().chain(node.0.to_le_bytes());
    let hash =
        bytes.fold(HASH_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME));
    mixed(hash)
}

/// Spreads nearby hashes over all numbers (the finaliser of splitmix64).
fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
