//! Structured log lines with a bounded volume.
//!
//! Every event is one line of key=value pairs. A line is handed to a thread that
//! writes; if the reader doesn't read, lines are left out and counted, and the
//! process goes on. The volume is bounded too ([`LineBudget`]): what is left out
//! under load is counted by kind, and failures are left out last.

mod budget;
mod writer;

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

pub use budget::{Admission, LineBudget, LineLimits};
pub use writer::{LineWriter, WriterLimits};

/// Logging can't be started.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// It was started before.
    #[error("logging was started twice")]
    Twice,
    /// The thread that writes can't be started.
    #[error("can't start the thread that writes: {0}")]
    Thread(#[from] std::io::Error),
}

/// What a process logs.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Name of the node, in every line.
    pub node: String,
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Bounds on the volume.
    pub limits: LineLimits,
}

/// Writes out what waits when it is dropped.
pub struct LoggingGuard(LineWriter);

impl Drop for LoggingGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Starts logging to `output` for the process.
///
/// # Errors
/// Fails when logging was started before, or for want of a thread.
pub fn start(
    settings: &LogSettings,
    output: impl Write + Send + 'static,
) -> Result<LoggingGuard, LoggingError> {
    let writer = LineWriter::start(output, WriterLimits::default(), settings.limits)?;
    let lines = writer.clone();
    let node = settings.node.clone();
    let dispatch = fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", LevelFilter::Error)
        .chain(fern::Output::call(move |record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let message =
                format!("time_ms={} level={level} node={node} {}\n", unix_millis(), record.args());
            lines.write(record.level(), message);
        }));
    dispatch.apply().map_err(|_| LoggingError::Twice)?;
    Ok(LoggingGuard(writer))
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis())
}
