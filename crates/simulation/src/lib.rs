//! Deterministic simulated network, disk and clock.

pub mod disk;
pub mod queue;
pub mod random;

pub use disk::SimulatedDisk;
pub use queue::{EventQueue, MILLI, Micros, SECOND};
pub use random::Random;
