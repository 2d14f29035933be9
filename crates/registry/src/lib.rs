//! Servers that register themselves by heartbeat.
//!
//! Each control replica keeps what it heard itself ([`HeardInstances`]); nothing
//! of it is durable, since a server repeats it within seconds. A router merges
//! what several replicas heard ([`Directory`]). That a server is leaving must not
//! be forgotten and goes through the replicated log instead; the directory is
//! told of it and never takes such a server back.
//!
//! Nothing in this crate performs I/O or reads a clock.

mod directory;
mod heard;
mod report;

pub use directory::{Directory, Instance};
pub use heard::{HeardInstance, HeardInstances, Intake};
pub use report::{InstanceId, InstanceReport, InstanceState, ModelHolding};
