//! Admission of calls without prompts while their servers are overloaded.
//!
//! [`ConcurrencyLimit`] derives from latency how many calls a server really processes concurrently,
//! and refuses calls that no server can answer in time. Performs no I/O and reads no clock.

mod concurrency;

pub use concurrency::{CallOverload, ConcurrencyLimit, ServerCalls};
