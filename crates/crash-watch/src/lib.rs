//! What a router does about requests that end the servers that run them.
//!
//! The rules are in `juniper-quarantine`. A [`CrashWatch`] feeds them with what this router sees
//! and what the others tell, tells the others in turn, and has quarantines recorded by the control
//! replicas. Both routers of the product use it.

mod metrics;
mod outbox;
mod watch;

pub use metrics::CrashMetrics;
pub use watch::CrashWatch;
