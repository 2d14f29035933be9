//! Framed, versioned, authenticated messages between the daemons.
//!
//! Both sides of a connection first prove that they hold the cluster key ([`handshake`]).
//! After that they exchange frames ([`frame`]), each of which carries one CBOR-encoded
//! [`Message`].

pub mod calls;
pub mod connection;
pub mod datagram;
pub mod fleet;
pub mod frame;
pub mod handshake;
pub mod limits;
pub mod message;
pub mod notices;
pub mod peer_timeouts;
pub mod push;
pub mod refusal;
pub mod weights;

pub use calls::{CallError, GenerationReader, IncomingFrame, OpenCalls, ReplySender};
pub use connection::{Connection, FrameReader, FrameWriter, Traffic, accept, connect};
pub use frame::{FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use handshake::{
    BuildLevel, ClusterKey, ClusterKeyError, HandshakeError, PeerIdentity, PeerRole,
};
pub use juniper_types::{ClaimAnswer, ClaimOutcome};
pub use message::{Message, Push, Refusal, Reply, Request, SettingsDelta};
pub use peer_timeouts::PeerTimeouts;
