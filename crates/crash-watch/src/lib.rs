//! Detection and quarantine of requests that crash the servers executing them.
//!
//! The rules are in `juniper-quarantine`. A [`CrashWatch`] applies them to crashes that this router
//! observes and that other routers report, publishes its own observations, and has quarantines
//! recorded by the control replicas. Both routers of the product use this crate.

mod metrics;
mod outbox;
mod parts;
mod watch;

pub use metrics::CrashMetrics;
pub use watch::CrashWatch;
