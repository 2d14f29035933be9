//! Non-blocking, rate-limited structured logging.
//!
//! Each event is one line of `key=value` pairs, written by a background thread. Lines are dropped
//! and counted by event name when the output blocks or the rate limits of [`LineBudget`] are
//! exceeded; warnings and errors are dropped last.

mod budget;
mod writer;

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

pub use budget::{Admission, LineBudget, LineLimits};
pub use writer::{LineWriter, WriterLimits};

/// Failure to start logging.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// A logger is already installed.
    #[error("a logger is already installed")]
    AlreadyStarted,
    /// The writer thread can't be spawned.
    #[error("can't spawn the log writer thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Logging settings of a process.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Node name, included in every line.
    pub node: String,
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Rate limits for log lines.
    pub limits: LineLimits,
}

/// Flushes queued log lines on drop.
pub struct LoggingGuard(LineWriter);

impl Drop for LoggingGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Installs the logger of the process, writing to `output`.
///
/// # Errors
/// Fails if a logger is already installed or the writer thread can't be spawned.
pub fn start(
    settings: &LogSettings,
    output: impl Write + Send + 'static,
) -> Result<LoggingGuard, LoggingError> {
    let writer = LineWriter::start(output, WriterLimits::default(), settings.limits)?;
    let record_writer = writer.clone();
    let node = settings.node.clone();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", LevelFilter::Error)
        .chain(fern::Output::call(move |record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let message =
                format!("time_ms={} level={level} node={node} {}\n", unix_time_ms(), record.args());
            record_writer.write(record.level(), message);
        }));
    dispatch.apply().map_err(|_| LoggingError::AlreadyStarted)?;
    Ok(LoggingGuard(writer))
}

fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}
