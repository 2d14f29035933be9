//! Why the control daemon can't start or go on.

use std::io;
use std::net::SocketAddr;

/// Why the control daemon can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The cluster key is unusable.
    #[error(transparent)]
    ClusterKey(#[from] juniper_protocol::ClusterKeyError),
    /// The metrics could not be registered.
    #[error("can't register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A face stopped serving.
    #[error("serving failed: {0}")]
    Serve(io::Error),
}
