//! Servers that register themselves by heartbeat.
//!
//! A server may start again under its name. What is known of it is known of one incarnation
//! ([`InstanceId`]): a later start replaces what was known, and nothing that an earlier one still
//! says, late, revives or removes anybody.
//!
//! Each control replica keeps what it heard itself ([`HeardInstances`]); nothing
//! of it is durable, since a server repeats it within seconds. A router merges
//! what several replicas heard ([`Directory`]). That a server is leaving must not
//! be forgotten and goes through the replicated log instead; the directory is
//! told of it and never takes such a server back.
//!
//! Nothing in this crate performs I/O or reads a clock.

mod departure;
mod directory;
mod heard;
mod incarnation;
mod instance_map;
mod report;

pub use departure::{Departure, Departures};
pub use directory::{Directory, Instance};
pub use heard::{HeardInstance, HeardInstances, Intake};
pub use incarnation::{InstanceId, InstanceName, StartTime, incarnations, names_and_starts};
pub use instance_map::{InstanceChanges, InstanceMap};
pub use report::{InstanceReport, InstanceState, ModelHolding};
