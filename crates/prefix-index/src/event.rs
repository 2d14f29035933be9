//! Cache events and snapshots of engines, and the results of applying them.

use juniper_types::{BlockHash, Incarnation};

/// Numbered change of an engine's cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number of the event within its incarnation, starting at 1.
    pub sequence: u64,
    /// Blocks added to the cache, each parent before its child.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted from the cache.
    pub removed: Vec<BlockHash>,
}

/// Full contents of an engine's cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Sequence number of the last event that the snapshot includes.
    pub sequence: u64,
    /// All blocks in the cache.
    pub blocks: Vec<BlockHash>,
}

/// Result of applying a batch of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// Every event was applied now or before.
    Applied,
    /// An event is missing. The entries of the engine no longer count until a
    /// snapshot is applied.
    Gap {
        /// First missing sequence number.
        missing: u64,
    },
    /// The engine needs a snapshot first; the events were ignored.
    AwaitingSnapshot,
    /// The events belong to an ended incarnation and were ignored.
    StaleIncarnation,
}

/// Result of applying a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotOutcome {
    /// The snapshot replaced the entries of the engine.
    Applied,
    /// The index has already applied later events; the snapshot was ignored.
    Outdated,
    /// The snapshot belongs to an ended incarnation and was ignored.
    StaleIncarnation,
}

/// Error for an index without room for another engine or view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the prefix index has no room for another engine")]
pub struct IndexFull;
