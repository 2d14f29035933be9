//! Framed, versioned, authenticated messages between the daemons.
//!
//! A connection starts with a mutual proof of the cluster key ([`handshake`]).
//! After that both sides exchange frames ([`frame`]), each holding one
//! CBOR-encoded [`Message`].

pub mod calls;
pub mod connection;
pub mod datagram;
pub mod fleet;
pub mod frame;
pub mod handshake;
pub mod limits;
pub mod message;
pub mod notices;
pub mod push;

pub use calls::{CallAnswer, CallError, GenerationReader, IncomingFrame, OpenCalls};
pub use connection::{Connection, FrameReader, FrameWriter, Traffic, accept, connect};
pub use frame::{FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use handshake::{
    BuildLevel, ClusterKey, ClusterKeyError, HandshakeError, PeerIdentity, PeerRole,
};
pub use juniper_types::{ClaimAnswer, ClaimOutcome};
pub use message::{Message, Push, Refusal, Reply, Request, SettingsDelta};
