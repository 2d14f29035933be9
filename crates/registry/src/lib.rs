//! Servers that register themselves by heartbeat.
//!
//! A server may restart under its name; each start is an incarnation ([`InstanceId`]). Everything
//! known of a server applies to one incarnation: a later one replaces it, and late messages of an
//! earlier one are ignored.
//!
//! Each control replica keeps the heartbeats that it observed itself ([`ObservedInstances`]), in
//! memory only, since servers repeat them within seconds. A router merges the observations of
//! several replicas ([`Directory`]). Departures must survive restarts and go through the replicated
//! log instead; the directory excludes departed incarnations for good.
//!
//! Nothing in this crate performs I/O or reads a clock.

mod departure;
mod directory;
mod incarnation;
mod instance_map;
mod observed;
mod report;

pub use departure::{Departure, Departures};
pub use directory::{Directory, Instance};
pub use incarnation::{InstanceId, InstanceName, StartTime, join_incarnations, split_incarnations};
pub use instance_map::{InstanceChanges, InstanceMap};
pub use juniper_types::SoftwareVersion;
pub use observed::{HeartbeatOutcome, ObservedInstance, ObservedInstances};
pub use report::{InstanceReport, InstanceState, LoadedModel};
