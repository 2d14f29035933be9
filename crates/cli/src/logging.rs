//! Logging setup: one line of `key=value` pairs per event, to standard error or a file.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Log destination and level.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// File to append to; standard error when absent.
    pub file: Option<PathBuf>,
}

/// Failure to start logging.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoggingError {
    /// The log file can't be opened.
    #[error("log file {path}: {source}")]
    File {
        /// Path of the log file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A logger is already installed.
    #[error("a logger is already installed")]
    AlreadyStarted,
}

/// Installs the logger of the process; every line contains `node`.
pub fn start(settings: &LogSettings, node: String) -> Result<(), LoggingError> {
    let mut dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("reqwest", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "time_ms={} level={} node={node} module={} {message}",
                unix_time_ms(),
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
            ));
        });
    dispatch = match &settings.file {
        None => dispatch.chain(std::io::stderr()),
        Some(path) => {
            let file = fern::log_file(path)
                .map_err(|source| LoggingError::File { path: path.clone(), source })?;
            dispatch.chain(file)
        }
    };
    dispatch.apply().map_err(|_| LoggingError::AlreadyStarted)
}

fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}
