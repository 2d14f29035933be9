//! Snapshots of the state, and those that a planted fault spoils.

use juniper_consensus::Payload;
use juniper_control_state::{Claims, ControlState, to_bytes};
use minicbor::Decoder;

use crate::planted::Planted;

/// Places of fields in the array that a snapshot of the state is.
const CHANGE_IDS_FIELD: u64 = 5;
const CLAIMS_FIELD: u64 = 7;
const LAST_FENCE_FIELD: u64 = 9;

/// An empty CBOR array.
const EMPTY_ARRAY: [u8; 1] = [0x80];

/// Encodes the state, leaving out what the planted fault says.
pub(crate) fn encode(state: &ControlState, planted: Option<Planted>) -> Vec<u8> {
    let whole = state.to_snapshot();
    let spoiled = match planted {
        Some(Planted::ChangeIdsForgotten) => replace(&whole, CHANGE_IDS_FIELD, &EMPTY_ARRAY),
        Some(Planted::ClaimsForgotten) => {
            replace(&whole, CLAIMS_FIELD, &to_bytes(&Claims::default()))
        }
        Some(Planted::FencesForgotten) => replace(&whole, LAST_FENCE_FIELD, &to_bytes(&0_u64)),
        _ => None,
    };
    spoiled.unwrap_or(whole)
}

/// The array in `bytes` with another value in one place.
fn replace(bytes: &[u8], field: u64, value: &[u8]) -> Option<Vec<u8>> {
    let mut decoder = Decoder::new(bytes);
    decoder.array().ok()?;
    for _ in 0..field {
        decoder.skip().ok()?;
    }
    let start = decoder.position();
    decoder.skip().ok()?;
    Some([&bytes[..start], value, &bytes[decoder.position()..]].concat())
}

/// Tells entries with different content apart.
pub(crate) fn checksum(payload: &Payload) -> u32 {
    let fold = |sum: u32, byte: &u8| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    to_bytes(payload).iter().fold(0x811c_9dc5, fold)
}
