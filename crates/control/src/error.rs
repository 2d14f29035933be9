//! Errors that prevent the control daemon from starting or end it.

use std::io;
use std::net::SocketAddr;

use juniper_storage::{DiskError, FormatError, OpenError};

use crate::replica::ReplicaFailure;

/// Error that prevents the control daemon from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// Opening a listener failed.
    #[error("failed to listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error from the system.
        source: io::Error,
    },
    /// The cluster key is invalid.
    #[error(transparent)]
    ClusterKey(#[from] juniper_protocol::ClusterKeyError),
    /// Registering the metrics failed.
    #[error("failed to register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The operator API stopped serving.
    #[error("operator API failed: {0}")]
    Serve(io::Error),
    /// Opening the data folder failed.
    #[error("failed to open the data folder: {0}")]
    Open(#[from] OpenError),
    /// Formatting the data folder failed.
    #[error("failed to format the data folder: {0}")]
    Format(#[from] FormatError),
    /// Creating or emptying the data folder failed.
    #[error("failed to prepare the data folder: {0}")]
    Folder(#[from] DiskError),
    /// Starting the writer thread failed.
    #[error("failed to start the writer thread: {0}")]
    Thread(io::Error),
    /// The replica failed.
    #[error("replica failed: {0}")]
    Replica(#[from] ReplicaFailure),
}
