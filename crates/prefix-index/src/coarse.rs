//! Sampled prefix index, shared by the routers of a zone if the exact index would
//! be too large.
//!
//! One block in [`CHECKPOINT_INTERVAL`] is a checkpoint, selected by its hash,
//! because cache events don't state the depth of a block. Rendezvous hashing
//! assigns each checkpoint to one owner among the routers of the zone. The router
//! that reads an engine's events sends batched updates to the owners. A router
//! that routes a request queries the owners of the prompt's checkpoints. Keys are
//! truncated to six bytes. A collision can only affect a routing decision, because
//! engines compare whole hashes.

use std::collections::BTreeMap;

use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};
use minicbor::{Decode, Encode};

use crate::event::{CacheEvent, EventOutcome, IndexFull, Snapshot, SnapshotOutcome};
use crate::index::{IndexSize, PrefixIndex};
use crate::rendezvous;

/// Mean number of blocks per checkpoint. Bounds the updates to 3 KB/s per node at
/// the design size (see docs/design/prefix-index.md).
pub const CHECKPOINT_INTERVAL: u8 = 16;

/// Length of a checkpoint key in bytes.
pub const KEY_BYTES: usize = 6;

/// Byte of the hash that selects checkpoints, outside the key.
const SELECTOR_BYTE: usize = 14;

/// Truncated hash of a checkpoint block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CheckpointKey([u8; KEY_BYTES]);

impl CheckpointKey {
    /// Key of `block`; `None` if the block isn't a checkpoint.
    pub fn of(block: &BlockHash) -> Option<Self> {
        if !block.0[SELECTOR_BYTE].is_multiple_of(CHECKPOINT_INTERVAL) {
            return None;
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&block.0[..KEY_BYTES]);
        Some(CheckpointKey(key))
    }

    /// Router that owns the key.
    pub fn owner(&self, routers: impl IntoIterator<Item = u64>) -> Option<u64> {
        rendezvous::owner(self.as_word(), routers)
    }

    fn as_word(&self) -> u64 {
        self.0.iter().fold(0, |word, byte| word << 8 | u64::from(*byte))
    }

    /// Converts the key to a block hash, filling the bytes from which the index
    /// derives the hash and the shard.
    fn as_block(&self) -> BlockHash {
        let mut block = [0; 16];
        block[..KEY_BYTES].copy_from_slice(&self.0);
        block[6] = self.0[0];
        block[7] = self.0[1];
        block[15] = self.0[2];
        BlockHash(block)
    }
}

/// Checkpoint of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// Number of leading blocks of the prompt up to and including the checkpoint.
    pub blocks: u32,
    /// Key of the checkpoint.
    pub key: CheckpointKey,
}

/// Returns the checkpoints of a prompt, in order.
pub fn checkpoints(blocks: &[BlockHash]) -> Vec<Checkpoint> {
    let numbered = (1..).zip(blocks);
    numbered
        .filter_map(|(blocks, block)| Some(Checkpoint { blocks, key: CheckpointKey::of(block)? }))
        .collect()
}

/// List of keys, encoded as one byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct KeyList(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>);

impl KeyList {
    /// Creates a list of `keys`.
    pub fn new(keys: impl IntoIterator<Item = CheckpointKey>) -> Self {
        KeyList(keys.into_iter().flat_map(|key| key.0).collect())
    }

    /// Iterates over the keys. Ignores an incomplete key at the end.
    pub fn iter(&self) -> impl Iterator<Item = CheckpointKey> {
        let (keys, _) = self.0.as_chunks::<KEY_BYTES>();
        keys.iter().copied().map(CheckpointKey)
    }
}

/// Update of one engine's cached checkpoints, limited to the keys of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CoarseUpdate {
    /// Engine number.
    #[n(0)]
    pub engine: EngineId,
    /// Incarnation of the engine.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Sequence number of the update in the owner's stream for this engine,
    /// starting at 1.
    #[n(2)]
    pub sequence: u64,
    /// Checkpoints added to the cache.
    #[n(3)]
    pub stored: KeyList,
    /// Checkpoints evicted from the cache.
    #[n(4)]
    pub removed: KeyList,
}

/// Change after a [`CoarseUpdate`] on the same stream. Has no incarnation, because
/// a new incarnation always begins with a full update.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CoarseDelta {
    /// Engine number.
    #[n(0)]
    pub engine: EngineId,
    /// Sequence number, one more than that of the previous update or delta.
    #[n(1)]
    pub sequence: u64,
    /// Checkpoints added to the cache.
    #[n(2)]
    pub stored: KeyList,
    /// Checkpoints evicted from the cache.
    #[n(3)]
    pub removed: KeyList,
}

/// Part of the sampled index that one router owns.
///
/// Handles gaps, incarnations and removed engines like [`PrefixIndex`].
#[derive(Debug, Default)]
pub struct CoarseShard {
    index: PrefixIndex,
}

fn event(sequence: u64, stored: &KeyList, removed: &KeyList) -> CacheEvent {
    let blocks = |keys: &KeyList| keys.iter().map(|key| key.as_block()).collect();
    CacheEvent { sequence, stored: blocks(stored), removed: blocks(removed) }
}

/// Engines that hold one checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CheckpointHolders {
    /// Engines with their incarnations, sorted.
    #[n(0)]
    pub engines: Vec<(EngineId, Incarnation)>,
}

impl CoarseShard {
    /// Applies an update from the router that follows the engine.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn apply(&mut self, update: &CoarseUpdate) -> Result<EventOutcome, IndexFull> {
        let event = event(update.sequence, &update.stored, &update.removed);
        self.index.apply_events(update.engine, update.incarnation, &[event])
    }

    /// Applies a delta to the entries of the engine's current incarnation.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn apply_delta(&mut self, delta: &CoarseDelta) -> Result<EventOutcome, IndexFull> {
        let Some((incarnation, _)) = self.index.position(delta.engine) else {
            return Ok(EventOutcome::AwaitingSnapshot);
        };
        let event = event(delta.sequence, &delta.stored, &delta.removed);
        self.index.apply_events(delta.engine, incarnation, &[event])
    }

    /// Replaces the entries of an engine by those of a full `update`. Accepts lower
    /// sequence numbers, because a new sender starts its own numbering.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn resync(&mut self, update: &CoarseUpdate) -> Result<SnapshotOutcome, IndexFull> {
        let snapshot = Snapshot {
            incarnation: update.incarnation,
            sequence: update.sequence,
            blocks: update.stored.iter().map(|key| key.as_block()).collect(),
        };
        let known = self.index.position(update.engine);
        if known.is_some_and(|(incarnation, _)| incarnation == update.incarnation) {
            self.index.remove_engine(update.engine);
        }
        self.index.apply_snapshot(update.engine, &snapshot)
    }

    /// Removes all entries of an engine.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.index.remove_engine(engine);
    }

    /// Looks up the engines that hold each of `keys`, in the order of the keys.
    pub fn lookup(&self, keys: &KeyList, now: Timestamp) -> Vec<CheckpointHolders> {
        keys.iter().map(|key| self.holders(key, now)).collect()
    }

    fn holders(&self, key: CheckpointKey, now: Timestamp) -> CheckpointHolders {
        let holders = self.index.lookup(&[key.as_block()], now);
        let mut engines: Vec<_> = holders.iter().map(|h| (h.engine, h.incarnation)).collect();
        engines.sort_unstable();
        CheckpointHolders { engines }
    }

    /// Size of the shard.
    pub fn size(&self) -> IndexSize {
        self.index.size()
    }
}

/// Engine with cached leading blocks according to the checkpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoarseHolder {
    /// Engine number.
    pub engine: EngineId,
    /// Incarnation that holds the blocks.
    pub incarnation: Incarnation,
    /// Number of leading blocks up to the last checkpoint held. The engine may hold
    /// further blocks up to the next checkpoint.
    pub blocks: u32,
}

/// Combines the owners' answers about one prompt. `answers` contains the holders
/// of each checkpoint, or `None` if its owner didn't answer. Such checkpoints are
/// skipped and don't count as cache misses.
pub fn combine(
    checkpoints: &[Checkpoint],
    answers: &[Option<CheckpointHolders>],
) -> Vec<CoarseHolder> {
    let mut leading_blocks: BTreeMap<(EngineId, Incarnation), u32> = BTreeMap::new();
    let mut active: Option<Vec<(EngineId, Incarnation)>> = None;
    for (checkpoint, answer) in checkpoints.iter().zip(answers) {
        let Some(answer) = answer else {
            continue;
        };
        let holds_all = |holder: &(EngineId, Incarnation)| {
            active.as_ref().is_none_or(|holders_so_far| holders_so_far.contains(holder))
        };
        let holders_so_far: Vec<_> = answer.engines.iter().copied().filter(holds_all).collect();
        for holder in &holders_so_far {
            leading_blocks.insert(*holder, checkpoint.blocks);
        }
        active = Some(holders_so_far);
    }
    let holders = leading_blocks.into_iter();
    holders
        .map(|((engine, incarnation), blocks)| CoarseHolder { engine, incarnation, blocks })
        .collect()
}
