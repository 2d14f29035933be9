//! Bytes of an answer that keep something alive until they have been written.

use bytes::Bytes;

/// Bytes that keep something until the last reference to them is dropped. The HTTP library keeps them
/// until they are written to the socket, which may be long after the body was dropped.
struct KeepingBytes<T> {
    bytes: Bytes,
    _kept: T,
}

impl<T> AsRef<[u8]> for KeepingBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the bytes such that `kept` is dropped once they have been written.
pub fn keep_until_written<T: Send + 'static>(bytes: Bytes, kept: T) -> Bytes {
    Bytes::from_owner(KeepingBytes { bytes, _kept: kept })
}
