//! Errors of running a fleet.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_types::NameError;

/// Reason why a fleet operation failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FleetError {
    /// The path of this program is unknown.
    #[error("the path of this program is unknown")]
    CurrentProgram(#[source] io::Error),
    /// A file of the fleet can't be written.
    #[error("{path} can't be written")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Operating system error.
        #[source]
        source: io::Error,
    },
    /// A process can't be started.
    #[error("{name} can't be started")]
    Start {
        /// Name of the process.
        name: String,
        /// Operating system error.
        #[source]
        source: io::Error,
    },
    /// A command exited with an error.
    #[error("{name} failed: {message}")]
    Failed {
        /// Name of the command.
        name: String,
        /// Error output of the command.
        message: String,
    },
    /// A signal can't be sent.
    #[error("can't send a signal to {name}")]
    Signal {
        /// Name of the process.
        name: String,
    },
    /// A process did not exit in time.
    #[error("{name} did not exit in time")]
    StillRunning {
        /// Name of the process.
        name: String,
    },
    /// An awaited condition was not met in time.
    #[error("timed out waiting for {what}")]
    TimedOut {
        /// Awaited condition.
        what: String,
    },
    /// A change of the settings was refused.
    #[error("the change {change_id} was refused with status {status}: {body}")]
    ChangeRefused {
        /// Id of the change.
        change_id: String,
        /// HTTP status of the response.
        status: u16,
        /// Body of the control replica's response.
        body: String,
    },
    /// A request to a back end failed.
    #[error("request to {address} failed")]
    Call {
        /// Address of the back end.
        address: SocketAddr,
        /// Error of the HTTP client.
        #[source]
        source: reqwest::Error,
    },
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The fleet has no process of this name or number.
    #[error("the fleet has no {0}")]
    NoSuch(String),
    /// A link proxy can't listen.
    #[error("a link proxy can't listen")]
    Proxy(#[source] io::Error),
    /// An edit of the settings can't be serialized as JSON.
    #[error("the settings can't be serialized as JSON")]
    Json(#[from] serde_json::Error),
}
