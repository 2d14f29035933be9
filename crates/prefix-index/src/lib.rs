//! Index of the prompt blocks in the caches of engine incarnations.
//!
//! [`PrefixIndex`] is the exact index, built from cache events, snapshots and
//! predictions. [`coarse`] is a sampled index that routers share if the exact
//! index would be too large, and [`rendezvous`] assigns its keys to routers.
//! Nothing here performs I/O or reads a clock.

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
