//! Encoding of state snapshots, optionally corrupted by a planted fault.

use juniper_consensus::Payload;
use juniper_control_state::{Claims, ControlState, to_bytes};
use minicbor::Decoder;

use crate::planted::Planted;

/// Positions of fields in the CBOR array of a state snapshot.
const CHANGE_IDS_FIELD: u64 = 5;
const CLAIMS_FIELD: u64 = 7;
const LAST_FENCE_FIELD: u64 = 9;

/// An empty CBOR array.
const EMPTY_ARRAY: [u8; 1] = [0x80];

/// Encodes the state, clearing the field that the planted fault affects.
pub(crate) fn encode(state: &ControlState, planted: Option<Planted>) -> Vec<u8> {
    let complete = state.to_snapshot();
    let altered = match planted {
        Some(Planted::ChangeIdsForgotten) => {
            replace_field(&complete, CHANGE_IDS_FIELD, &EMPTY_ARRAY)
        }
        Some(Planted::ClaimsForgotten) => {
            replace_field(&complete, CLAIMS_FIELD, &to_bytes(&Claims::default()))
        }
        Some(Planted::FencesForgotten) => {
            replace_field(&complete, LAST_FENCE_FIELD, &to_bytes(&0_u64))
        }
        _ => None,
    };
    altered.unwrap_or(complete)
}

/// Returns the CBOR array in `bytes` with the element at `field` replaced by `value`;
/// `None` if it can't be decoded.
fn replace_field(bytes: &[u8], field: u64, value: &[u8]) -> Option<Vec<u8>> {
    let mut decoder = Decoder::new(bytes);
    decoder.array().ok()?;
    for _ in 0..field {
        decoder.skip().ok()?;
    }
    let start = decoder.position();
    decoder.skip().ok()?;
    Some([&bytes[..start], value, &bytes[decoder.position()..]].concat())
}

/// FNV-1a hash of an entry's payload, to compare entries applied by different replicas.
pub(crate) fn checksum(payload: &Payload) -> u32 {
    let add_byte = |sum: u32, byte: &u8| (sum ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    to_bytes(payload).iter().fold(0x811c_9dc5, add_byte)
}
