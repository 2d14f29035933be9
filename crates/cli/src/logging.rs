//! Logs: one line of key=value pairs for each event, by `log` and `fern`.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Where logs go and how much of them.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// File to append to; standard error when absent.
    pub file: Option<PathBuf>,
}

/// Why logging could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LoggingError {
    /// The file can't be opened.
    #[error("log file {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Logging was started twice.
    #[error("logging was started twice")]
    Twice,
}

/// Starts logging for the process; `node` stands in every line.
pub fn start(settings: &LogSettings, node: String) -> Result<(), LoggingError> {
    let mut dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("reqwest", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "time_ms={} level={} node={node} module={} {message}",
                unix_millis(),
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
    dispatch.apply().map_err(|_| LoggingError::Twice)
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}
