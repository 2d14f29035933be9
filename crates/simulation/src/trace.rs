//! Human-readable trace of a run, one line per event.

use crate::queue::Micros;

/// Trace lines of a run, recorded only if enabled.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Option<Vec<String>>,
}

impl Trace {
    /// Creates a trace that records lines if `enabled`.
    pub fn new(enabled: bool) -> Self {
        Trace { lines: enabled.then(Vec::new) }
    }

    /// Appends a line; `text` is evaluated only if the trace is enabled.
    pub fn note(&mut self, now: Micros, text: impl FnOnce() -> String) {
        if let Some(lines) = &mut self.lines {
            lines.push(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    /// Recorded lines, empty if the trace is disabled.
    pub fn into_lines(self) -> Vec<String> {
        self.lines.unwrap_or_default()
    }
}
