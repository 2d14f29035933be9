//! Digest of the member table, by which two members detect differing views.

use crate::member::{Liveness, Update};

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// Digest of the present members among `updates`, independent of their order. Dead and departed
/// members are left out, since each node removes them at a different time.
pub(crate) fn digest<'a>(updates: impl Iterator<Item = &'a Update>) -> u64 {
    let present = updates.filter(|update| update.liveness <= Liveness::Suspect);
    present.fold(0, |sum, update| sum ^ hash(update))
}

fn hash(update: &Update) -> u64 {
    let words = [
        update.member.node.0,
        update.member.incarnation.0,
        update.version,
        u64::from(update.liveness == Liveness::Suspect),
    ];
    let bytes = words.into_iter().flat_map(u64::to_be_bytes);
    bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
