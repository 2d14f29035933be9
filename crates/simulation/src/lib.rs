//! Deterministic simulated network, disk and clock, and runs of the control replicas on them.
//!
//! The ready-made simulators for Rust can't be had here, so this one is small
//! and the project's own. It drives the real replicated log, the real storage
//! and the real control state through [`world::run`]; what clients do and what
//! they may expect comes from a [`Workload`]. Everything follows from one seed.

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
