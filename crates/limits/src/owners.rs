//! Assignment of accounts to replicas by rendezvous hashing.

use juniper_types::NodeId;

/// Offset basis of 64-bit FNV-1a.
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of 64-bit FNV-1a.
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Replicas in order of preference as owner of an account, by rendezvous hashing: the accounts of
/// a failed replica are spread over the others, and all other accounts keep their owner.
pub fn rank_owners(replicas: impl IntoIterator<Item = NodeId>, account: &str) -> Vec<NodeId> {
    let mut ordered: Vec<NodeId> = replicas.into_iter().collect();
    ordered.sort_unstable_by_key(|node| (std::cmp::Reverse(weight(*node, account)), node.0));
    ordered
}

fn weight(node: NodeId, account: &str) -> u64 {
    let bytes = account.bytes().chain(node.0.to_le_bytes());
    let hash =
        bytes.fold(HASH_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME));
    mix(hash)
}

/// Mixes the bits of a hash (the finalizer of splitmix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
