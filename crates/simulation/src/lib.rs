//! Deterministic simulated network, disk and clock, and runs of the control replicas on them.
//!
//! [`world::run`] drives the production replicated log, storage and control state.
//! A [`Workload`] supplies the client requests and checks their results. Equal seeds
//! give equal runs.

pub mod disk;
pub mod fault;
pub mod machine;
pub mod network;
pub mod planted;
pub mod process;
pub mod queue;
pub mod random;
pub mod request;
mod snapshots;
pub mod trace;
pub mod workload;
pub mod world;

pub use disk::SimulatedDisk;
pub use fault::FAULT_NAMES;
pub use network::Zone;
pub use planted::Planted;
pub use queue::{EventQueue, MILLI, Micros, SECOND};
pub use random::Random;
pub use request::{Call, Reply, Request};
pub use workload::{Bench, Workload};
pub use world::{RunOptions, RunReport, run};
