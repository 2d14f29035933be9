//! Requests that end each server that runs them.
//!
//! - [`CutRequests`] tells a server that has ended from a connection that broke, and names the
//!   requests that were under way on it.
//!
//! Time is passed in; nothing here performs I/O.

mod cut_requests;

pub use cut_requests::{CrashProof, CutRequests, ServerCrash};
