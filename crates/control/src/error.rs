//! Why the control daemon can't start or go on.

use std::io;
use std::net::SocketAddr;

use juniper_storage::{DiskError, FormatError, OpenError};

use crate::replica::ReplicaFailure;

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
    /// The data folder can't be opened.
    #[error("can't open the data folder: {0}")]
    Open(#[from] OpenError),
    /// The data folder can't be formatted.
    #[error("can't format the data folder: {0}")]
    Format(#[from] FormatError),
    /// The data folder can't be made or emptied.
    #[error("can't prepare the data folder: {0}")]
    Folder(#[from] DiskError),
    /// The thread that writes can't be started.
    #[error("can't start the writer thread: {0}")]
    Thread(io::Error),
    /// The replica ended by itself.
    #[error("the replica ended: {0}")]
    Replica(#[from] ReplicaFailure),
}
