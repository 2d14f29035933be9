//! Messages between members. They are small enough for one datagram.

use juniper_types::NodeId;
use minicbor::{Decode, Encode};

use crate::member::Update;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Purpose {
    /// Asks the receiver to acknowledge.
    #[n(0)]
    Probe {
        /// Number of the probe, chosen by the sender.
        #[n(0)]
        sequence: u64,
    },
    /// Acknowledges a probe.
    #[n(1)]
    Acknowledge {
        /// Number of the probe.
        #[n(0)]
        sequence: u64,
    },
    /// Asks the receiver to probe `target` and to pass its acknowledgement on.
    #[n(2)]
    IndirectProbe {
        /// Number of the probe that was not answered.
        #[n(0)]
        sequence: u64,
        /// Who did not answer.
        #[n(1)]
        target: NodeId,
    },
    /// Asks for a list of members; sent by a node that joins.
    #[n(3)]
    Join,
    /// Carries updates only.
    #[n(4)]
    News,
}

/// A message with the news that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Message {
    /// What the sender says of itself.
    #[n(0)]
    pub sender: Update,
    /// What the message is for.
    #[n(1)]
    pub purpose: Purpose,
    /// News of other members.
    #[n(2)]
    pub updates: Vec<Update>,
    /// Digest of the members that the sender holds for present, itself included.
    #[n(3)]
    pub digest: u64,
}

/// CBOR form of socket addresses: six or eighteen bytes.
pub mod address {
    use std::net::{IpAddr, SocketAddr};

    use minicbor::decode::Error as DecodeError;
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    /// Writes an address.
    pub fn encode<C, W: Write>(
        address: &SocketAddr,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        let mut bytes = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend_from_slice(&address.port().to_be_bytes());
        encoder.bytes(&bytes)?;
        Ok(())
    }

    /// Reads an address.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<SocketAddr, DecodeError> {
        let bytes = decoder.bytes()?;
        let malformed = || DecodeError::message("an address has 6 or 18 bytes");
        let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(malformed)?;
        let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
            (Ok(octets), _) => IpAddr::from(octets),
            (_, Ok(octets)) => IpAddr::from(octets),
            _ => return Err(malformed()),
        };
        Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
    }
}
