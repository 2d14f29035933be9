//! Decides when refused callers should return. Performs no I/O and reads no clock.
//!
//! A `Retry-After` is a promise: most of the callers that return at the stated time should be
//! served. [`ReturnSchedule`] promises only as many returns as the capacity is expected to be free
//! for, and tells all other callers that the refusal is final.
//!
//! Routers have no queue of their own: in a wave of 0.45 to 1.55 of the mean load, holding requests for
//! up to a quarter of their objective left fewer of them in time than refusing at once
//! (`tests/router_queue.rs`).

mod load;
mod phases;
mod promises;
mod schedule;

pub use promises::PromiseCounts;
pub use schedule::{Return, ReturnSchedule};
