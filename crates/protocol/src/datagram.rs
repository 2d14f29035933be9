//! Authenticated datagrams between daemons: protocol version, authentication tag, payload.
//!
//! The tag proves that the sender holds the cluster key. There is no replay protection: the failure
//! detector, the only user, puts version numbers into updates and sequence numbers into probes.

use subtle::ConstantTimeEq;

use crate::frame::PROTOCOL_VERSION;
use crate::handshake::ClusterKey;

/// Length of the authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// Largest accepted datagram, in bytes; larger ones may be fragmented by the network.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Error in building or opening a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is too short to hold a version and a tag.
    #[error("datagram is too short")]
    TooShort,
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The sender uses another protocol version.
    #[error("sender uses protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// The sender does not hold the cluster key.
    #[error("sender does not hold the cluster key")]
    WrongKey,
}

/// Builds a datagram from `payload`, authenticated with the cluster key.
///
/// # Errors
/// Fails if the payload is too long for one datagram.
pub fn seal(key: &ClusterKey, payload: &[u8]) -> Result<Vec<u8>, DatagramError> {
    if payload.len() + TAG_BYTES + 1 > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLong);
    }
    let mut datagram = Vec::with_capacity(payload.len() + TAG_BYTES + 1);
    datagram.push(PROTOCOL_VERSION);
    datagram.extend_from_slice(&compute_tag(key, payload));
    datagram.extend_from_slice(payload);
    Ok(datagram)
}

/// Verifies the authentication tag of `datagram` and returns the payload.
///
/// # Errors
/// Fails if the datagram is malformed or its tag is wrong.
pub fn open<'a>(key: &ClusterKey, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    let (version, rest) = datagram.split_first().ok_or(DatagramError::TooShort)?;
    if *version != PROTOCOL_VERSION {
        return Err(DatagramError::Version(*version));
    }
    let (received, payload) = rest.split_at_checked(TAG_BYTES).ok_or(DatagramError::TooShort)?;
    if bool::from(compute_tag(key, payload).as_slice().ct_eq(received)) {
        Ok(payload)
    } else {
        Err(DatagramError::WrongKey)
    }
}

fn compute_tag(key: &ClusterKey, payload: &[u8]) -> [u8; TAG_BYTES] {
    let hash = key.keyed_hash(payload);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash[..TAG_BYTES]);
    tag
}
