//! Which engine incarnation holds which prompt blocks.
//!
//! [`PrefixIndex`] is the exact form: fed by cache events, snapshots and
//! predictions, asked by prompt. [`coarse`] is the sampled form that routers
//! share where the exact one is too large, and [`rendezvous`] says which router
//! keeps which part of it. Nothing here performs I/O or reads a clock.

pub mod coarse;
pub mod event;
mod holders;
mod index;
mod lookup;
mod predictions;
pub mod rendezvous;
mod slots;
mod table;

pub use event::{CacheEvent, EventOutcome, IndexFull, Snapshot, SnapshotOutcome};
pub use index::{Holder, IndexSize, PREDICTION_LIFETIME, PrefixIndex};
pub use predictions::PredictionSource;
