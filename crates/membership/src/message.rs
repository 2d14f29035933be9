//! Messages between members; each fits into one datagram.

use juniper_types::NodeId;
use minicbor::{Decode, Encode};

use crate::member::Update;

/// Purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Purpose {
    /// Asks the receiver for an acknowledgement.
    #[n(0)]
    Probe {
        /// Sequence number of the probe, chosen by the sender.
        #[n(0)]
        sequence: u64,
    },
    /// Acknowledges a probe.
    #[n(1)]
    Acknowledge {
        /// Sequence number of the acknowledged probe.
        #[n(0)]
        sequence: u64,
    },
    /// Asks the receiver to probe `target` and to relay the acknowledgement.
    #[n(2)]
    IndirectProbe {
        /// Sequence number of the unacknowledged probe.
        #[n(0)]
        sequence: u64,
        /// Member to be probed.
        #[n(1)]
        target: NodeId,
    },
    /// Asks for the complete member list.
    #[n(3)]
    Join,
    /// Carries updates only.
    #[n(4)]
    Updates,
}

/// Message with piggybacked updates.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Message {
    /// State of the sender.
    #[n(0)]
    pub sender: Update,
    /// Purpose of the message.
    #[n(1)]
    pub purpose: Purpose,
    /// Updates of other members.
    #[n(2)]
    pub updates: Vec<Update>,
    /// Digest of the members that the sender knows as present, itself included.
    #[n(3)]
    pub digest: u64,
}

/// CBOR encoding of socket addresses as 6 or 18 bytes.
pub mod address {
    use std::net::{IpAddr, SocketAddr};

    use minicbor::decode::Error as DecodeError;
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    /// Encodes an address and its port.
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

    /// Decodes an address and its port.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<SocketAddr, DecodeError> {
        let bytes = decoder.bytes()?;
        let malformed = || DecodeError::message("socket address must have 6 or 18 bytes");
        let (ip, port) = bytes.split_last_chunk::<2>().ok_or_else(malformed)?;
        let ip = match (<[u8; 4]>::try_from(ip), <[u8; 16]>::try_from(ip)) {
            (Ok(octets), _) => IpAddr::from(octets),
            (_, Ok(octets)) => IpAddr::from(octets),
            _ => return Err(malformed()),
        };
        Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
    }
}
