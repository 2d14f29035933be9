//! Requests that end each server that runs them.
//!
//! - [`CutRequests`] tells a server that has ended from a connection that broke, and names the
//!   requests that were under way on it.
//! - [`CrashCounts`] counts the ends under each request, from what all routers report; a request
//!   under which three servers ended is in quarantine. A whole answer clears it.
//! - [`EndedWell`] remembers requests that ended well, so that many servers that lose power at once
//!   don't count against frequent ones.
//! - [`Retelling`] tells a router's own reports again, since news of routers may be lost.
//!
//! Time is passed in; nothing here performs I/O.

mod counts;
mod cut_requests;
mod ended_well;
mod report;
mod retelling;

pub use counts::{CRASHES_BEFORE_QUARANTINE, Counted, CrashCounts, Unrecorded};
pub use cut_requests::{CrashProof, CutRequest, CutRequests, ServerCrash};
pub use ended_well::EndedWell;
pub use report::{Clearance, CrashReport, Report};
pub use retelling::Retelling;
