//! What happened in a run, one readable line for each event.

use crate::queue::Micros;

/// Lines of a run, kept only if asked for.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Option<Vec<String>>,
}

impl Trace {
    /// A trace that keeps its lines if `wanted`.
    pub fn new(wanted: bool) -> Self {
        Trace { lines: wanted.then(Vec::new) }
    }

    /// Adds a line; `text` is made only if lines are kept.
    pub fn note(&mut self, now: Micros, text: impl FnOnce() -> String) {
        if let Some(lines) = &mut self.lines {
            lines.push(format!("{:>10.3} ms  {}", now as f64 / 1_000.0, text()));
        }
    }

    /// The lines kept.
    pub fn into_lines(self) -> Vec<String> {
        self.lines.unwrap_or_default()
    }
}
