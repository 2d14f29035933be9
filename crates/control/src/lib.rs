//! The control daemon: one replica of the durable state.
//!
//! [`replica`] owns the replicated state, [`peers`] connects to the other replicas, [`internal`]
//! serves routers and other replicas over the internal protocol, and [`operator`] serves operators
//! over HTTP.

pub mod clock;
pub mod error;
pub mod fleet_calls;
pub mod fleet_publisher;
pub mod history_file;
mod history_upkeep;
pub mod instances;
pub mod internal;
pub mod known_incarnation;
pub mod limits;
pub mod metrics;
pub mod node_reports;
pub mod operator;
pub mod peers;
pub mod published_settings;
pub mod relay;
pub mod renewal_log;
pub mod replica;
pub mod replica_group;
pub mod run;

pub use error::ControlError;
pub use fleet_calls::{FleetCallError, FleetCalls};
pub use juniper_settings::ControlSettings;
pub use renewal_log::Renewals;
pub use replica::found_cluster;
pub use run::{ControlDaemon, Listeners, run};
