//! What engines report about their caches, and what the index made of it.

use juniper_types::{BlockHash, Incarnation};

/// One numbered change of an engine's cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; an incarnation counts up by one from 1.
    pub sequence: u64,
    /// Blocks that entered the cache, each parent before its child.
    pub stored: Vec<BlockHash>,
    /// Blocks that left the cache.
    pub removed: Vec<BlockHash>,
}

/// The whole cache of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The life of the engine that it describes.
    pub incarnation: Incarnation,
    /// The last event that the snapshot includes.
    pub sequence: u64,
    /// Every block held.
    pub blocks: Vec<BlockHash>,
}

/// What a batch of events did to the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOutcome {
    /// Every event was applied, or had been before.
    Applied,
    /// An event is missing: the entries of the engine no longer count, and a
    /// snapshot has to be taken.
    Gap {
        /// The first number that is missing.
        missing: u64,
    },
    /// The engine waits for a snapshot; the events were not used.
    AwaitingSnapshot,
    /// The events belong to an incarnation that has ended; they were not used.
    StaleIncarnation,
}

/// What a snapshot did to the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotOutcome {
    /// The entries of the engine are those of the snapshot.
    Applied,
    /// The index has applied later events already; the snapshot was not used.
    Outdated,
    /// The snapshot belongs to an incarnation that has ended; it was not used.
    StaleIncarnation,
}

/// The index has no room for another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the prefix index has no room for another engine")]
pub struct IndexFull;
