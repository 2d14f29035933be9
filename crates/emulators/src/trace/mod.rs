//! Request traces: generated from a seed, written, read and checked.
//!
//! A trace holds the requests of one deployment in order of arrival. Prompts
//! are stored as segments (a number and a length), and the text of a segment
//! is a pure function of the trace's seed and its number, so a trace is small
//! and still gives the exact bytes of every prompt. The format is described
//! in `docs/trace-format.md`.

pub mod capacity;
pub mod file;
pub mod generate;
mod popularity;
pub mod profile;
pub mod prompt;
pub mod record;

pub use self::file::{Trace, TraceError, TraceFault, read_trace, write_trace};
pub use self::generate::{TraceOptions, generate};
pub use self::profile::{Profile, ProfileShape};
pub use self::prompt::PromptTexts;
pub use self::record::{Segment, TraceHeader, TraceRecord, TraceRequest};
