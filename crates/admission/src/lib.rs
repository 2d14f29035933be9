//! Admission while servers or this router are overloaded. Performs no I/O and reads no clock.
//!
//! - [`ConcurrencyLimit`] derives from latency how many calls without prompts a server really
//!   processes concurrently, and refuses calls that no server can answer in time.
//! - [`LinkLoad`] tells when the router's own link is too busy to accept more connections.
//! - [`ConnectTimes`] tells when connections to all servers take long, which is no server's fault.

mod concurrency;
mod connect_time;
mod link;

pub use concurrency::{CallOverload, ConcurrencyLimit, ServerCalls};
pub use connect_time::ConnectTimes;
pub use link::{LinkLoad, LinkTotals};
