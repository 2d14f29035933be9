//! Reasons for which a connection to a replica ended.

use juniper_protocol::{FrameError, HandshakeError};

/// Reason for which a connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("connection attempt timed out")]
    ConnectTimeout,
    #[error("connection attempt failed: {0}")]
    Connect(#[from] HandshakeError),
    #[error("connection failed: {0}")]
    Frame(#[from] FrameError),
    #[error("replica stopped replying")]
    Unresponsive,
    #[error("node id of the replica encodes no address")]
    NoAddress,
    #[error("feed has stopped")]
    Stopped,
}
