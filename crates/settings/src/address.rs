//! CBOR encoding of socket addresses as text, such as `10.0.0.1:7001`.

use std::net::SocketAddr;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decoder, Encoder};

/// Encodes `address` as text.
pub fn encode<C, W: Write>(
    address: &SocketAddr,
    encoder: &mut Encoder<W>,
    _context: &mut C,
) -> Result<(), EncodeError<W::Error>> {
    encoder.str(&address.to_string())?;
    Ok(())
}

/// Decodes an address from text.
pub fn decode<C>(decoder: &mut Decoder<'_>, _context: &mut C) -> Result<SocketAddr, DecodeError> {
    decoder.str()?.parse().map_err(DecodeError::custom)
}
