//! Decides when refused callers should return. Performs no I/O and reads no clock.
//!
//! A `Retry-After` is a promise: most of the callers that return at the stated time should be
//! served. [`ReturnSchedule`] promises only as many returns as the capacity is expected to be free
//! for, and tells all other callers that the refusal is final.

mod load;
mod phases;
mod promises;
mod schedule;

pub use promises::PromiseCounts;
pub use schedule::{Return, ReturnSchedule};
