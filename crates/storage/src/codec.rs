//! CBOR encoding into memory and reading of big-endian integers.

use minicbor::Encode;

/// Encodes a value as CBOR.
pub(crate) fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        unreachable!("writing to a vector cannot fail: {error}");
    }
    bytes
}

/// Reads a big-endian `u32` at `offset`; `None` if the slice is too short.
pub(crate) fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset.checked_add(4)?)?;
    Some(u32::from_be_bytes(field.try_into().ok()?))
}

/// Reads a big-endian `u64` at `offset`; `None` if the slice is too short.
pub(crate) fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset.checked_add(8)?)?;
    Some(u64::from_be_bytes(field.try_into().ok()?))
}
