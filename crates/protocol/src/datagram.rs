//! Authenticated datagrams between daemons: version, proof, payload.
//!
//! A datagram proves that its sender holds the cluster key. Replaying an old
//! one is harmless to its only use, the failure detector: news carries version
//! numbers, and probes carry sequence numbers.

use subtle::ConstantTimeEq;

use crate::frame::PROTOCOL_VERSION;
use crate::handshake::ClusterKey;

/// Bytes of the proof.
const PROOF_BYTES: usize = 16;

/// Largest accepted datagram, in bytes; larger ones may be cut into fragments on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Too short to hold a version and a proof.
    #[error("the datagram is too short")]
    TooShort,
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram has more than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The sender speaks another version.
    #[error("the sender speaks protocol version {0}")]
    Version(u8),
    /// The sender does not hold the cluster key.
    #[error("the sender does not hold the cluster key")]
    WrongKey,
}

/// Wraps `payload` with a proof of the cluster key.
///
/// # Errors
/// Fails when the payload is too long for one datagram.
pub fn seal(key: &ClusterKey, payload: &[u8]) -> Result<Vec<u8>, DatagramError> {
    if payload.len() + PROOF_BYTES + 1 > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    let mut datagram = Vec::with_capacity(payload.len() + PROOF_BYTES + 1);
    datagram.push(PROTOCOL_VERSION);
    datagram.extend_from_slice(&proof(key, payload));
    datagram.extend_from_slice(payload);
    Ok(datagram)
}

/// Checks the proof of `datagram` and returns its payload.
///
/// # Errors
/// Fails when the datagram is malformed or its proof is wrong.
pub fn open<'a>(key: &ClusterKey, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    let (version, rest) = datagram.split_first().ok_or(DatagramError::TooShort)?;
    if *version != PROTOCOL_VERSION {
        return Err(DatagramError::Version(*version));
    }
    let (received, payload) = rest.split_at_checked(PROOF_BYTES).ok_or(DatagramError::TooShort)?;
    if bool::from(proof(key, payload).as_slice().ct_eq(received)) {
        Ok(payload)
    } else {
        Err(DatagramError::WrongKey)
    }
}

fn proof(key: &ClusterKey, payload: &[u8]) -> [u8; PROOF_BYTES] {
    let hash = key.keyed_hash(payload);
    let mut proof = [0; PROOF_BYTES];
    proof.copy_from_slice(&hash[..PROOF_BYTES]);
    proof
}
