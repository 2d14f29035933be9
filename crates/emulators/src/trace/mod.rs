//! Request traces: generation from a seed, writing, reading and validation.
//!
//! A trace holds the requests of one deployment in order of arrival. Prompts
//! are stored as segments (an id and a length). The text of a segment is
//! derived from the trace's seed and the segment's id, so a small trace
//! determines the exact bytes of every prompt. The format is described in
//! `docs/trace-format.md`.

pub mod capacity;
pub mod file;
pub mod generate;
mod popularity;
pub mod profile;
pub mod prompt;
pub mod record;

pub use self::file::{Trace, TraceError, TraceLineError, read_trace, write_trace};
pub use self::generate::{TraceOptions, generate};
pub use self::profile::{Profile, ProfileShape};
pub use self::prompt::PromptTexts;
pub use self::record::{Segment, TraceHeader, TraceRecord, TraceRequest};
