//! Expected time to first output and expected longest gap between the events of a stream, for each
//! server of a service. Performs no I/O and reads no clock.
//!
//! [`ServiceTiming`] fits the times that are common to all servers of a service, [`ServerFactor`]
//! follows how much slower or faster one server is at the moment. Estimates are read from
//! [`TimingEstimate`], a small copy of the fitted parameters.

mod estimate;
mod median_line;
mod server_factor;
mod service;

pub use estimate::{FirstOutputWork, Line, MIN_SAMPLES, TimingEstimate};
pub use server_factor::ServerFactor;
pub use service::ServiceTiming;
