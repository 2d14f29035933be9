//! Why a fleet can't be run.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use juniper_types::NameError;

/// Why a fleet can't be run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum FleetError {
    /// The path of this program is unknown.
    #[error("the path of this program is unknown")]
    CurrentProgram(#[source] io::Error),
    /// A file of the fleet can't be written.
    #[error("{path} can't be written")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A process can't be started.
    #[error("{name} can't be started")]
    Start {
        /// The process.
        name: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A command ended with a fault.
    #[error("{name} failed: {message}")]
    Failed {
        /// The command.
        name: String,
        /// What it printed.
        message: String,
    },
    /// A signal can't be sent.
    #[error("{name} can't be signalled")]
    Signal {
        /// The process.
        name: String,
    },
    /// A process did not end in time.
    #[error("{name} did not end in time")]
    StillRunning {
        /// The process.
        name: String,
    },
    /// Something that was waited for did not come about.
    #[error("waited in vain for {what}")]
    TimedOut {
        /// What was waited for.
        what: String,
    },
    /// A change of the settings was refused.
    #[error("the change {change_id} was refused with status {status}: {body}")]
    ChangeRefused {
        /// The change.
        change_id: String,
        /// HTTP status.
        status: u16,
        /// What the control replica said.
        body: String,
    },
    /// A back end doesn't answer.
    #[error("{address} doesn't answer")]
    Call {
        /// The back end.
        address: SocketAddr,
        /// What went wrong.
        #[source]
        source: reqwest::Error,
    },
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The fleet has no such process.
    #[error("the fleet has no {0}")]
    NoSuch(String),
    /// A proxy can't listen.
    #[error("a proxy can't listen")]
    Proxy(#[source] io::Error),
    /// A piece of the settings can't be written as JSON.
    #[error("the settings can't be written as JSON")]
    Json(#[from] serde_json::Error),
}
