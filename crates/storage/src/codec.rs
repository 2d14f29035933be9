//! Encoding into memory.

use minicbor::Encode;

/// Encodes a value; a vector takes every byte.
pub(crate) fn encode<T: Encode<()>>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = minicbor::encode(value, &mut bytes) {
        unreachable!("a vector takes every byte: {error}");
    }
    bytes
}

/// Reads a big-endian number at `offset`, if the bytes are there.
pub(crate) fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset.checked_add(4)?)?;
    Some(u32::from_be_bytes(field.try_into().ok()?))
}

/// Reads a big-endian number at `offset`, if the bytes are there.
pub(crate) fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset.checked_add(8)?)?;
    Some(u64::from_be_bytes(field.try_into().ok()?))
}
