//! The sampled index that routers of a zone share when the exact one is too large.
//!
//! One block in [`CHECKPOINT_INTERVAL`] is a checkpoint, chosen by its own hash:
//! an engine's event names a block without its depth, so a choice by depth
//! could not be made by who reads the events. Every checkpoint has one owner
//! among the routers of the zone, by rendezvous hashing; who reads an engine's
//! events sends each owner its part in batches, and who routes a request asks
//! the owners of the prompt's checkpoints. Keys are cut to six bytes: a false
//! match misleads one routing decision and no cache, since engines compare
//! whole hashes.

use std::collections::BTreeMap;

use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};
use minicbor::{Decode, Encode};

use crate::event::{CacheEvent, EventOutcome, IndexFull, Snapshot, SnapshotOutcome};
use crate::index::{IndexSize, PrefixIndex};
use crate::rendezvous;

/// One block in so many is a checkpoint: sixteen keep the updates of the design
/// size within 3 KB/s a node (docs/design/prefix-index.md has the arithmetic).
pub const CHECKPOINT_INTERVAL: u8 = 16;

/// Bytes of a block hash that a checkpoint key keeps.
pub const KEY_BYTES: usize = 6;

/// Byte of the hash that chooses checkpoints; it is not part of the key.
const CHOOSING_BYTE: usize = 14;

/// A checkpoint block, cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CheckpointKey([u8; KEY_BYTES]);

impl CheckpointKey {
    /// The key of `block` if it is a checkpoint.
    pub fn of(block: &BlockHash) -> Option<Self> {
        if !block.0[CHOOSING_BYTE].is_multiple_of(CHECKPOINT_INTERVAL) {
            return None;
        }
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&block.0[..KEY_BYTES]);
        Some(CheckpointKey(key))
    }

    /// The router that owns the key.
    pub fn owner(&self, routers: impl IntoIterator<Item = u64>) -> Option<u64> {
        rendezvous::owner(self.as_word(), routers)
    }

    fn as_word(&self) -> u64 {
        self.0.iter().fold(0, |word, byte| word << 8 | u64::from(*byte))
    }

    /// The key in the place of a block hash, spread over the bytes that the
    /// index takes for its hash and its shard.
    fn as_block(&self) -> BlockHash {
        let mut block = [0; 16];
        block[..KEY_BYTES].copy_from_slice(&self.0);
        block[6] = self.0[0];
        block[7] = self.0[1];
        block[15] = self.0[2];
        BlockHash(block)
    }
}

/// A checkpoint of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Checkpoint {
    /// Leading blocks of the prompt that end with the checkpoint.
    pub blocks: u32,
    /// Its key.
    pub key: CheckpointKey,
}

/// The checkpoints of a prompt, in order.
pub fn checkpoints(blocks: &[BlockHash]) -> Vec<Checkpoint> {
    let numbered = (1..).zip(blocks);
    numbered
        .filter_map(|(blocks, block)| Some(Checkpoint { blocks, key: CheckpointKey::of(block)? }))
        .collect()
}

/// A list of keys as one byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct KeyList(#[cbor(n(0), with = "minicbor::bytes")] Vec<u8>);

impl KeyList {
    /// Packs `keys`.
    pub fn new(keys: impl IntoIterator<Item = CheckpointKey>) -> Self {
        KeyList(keys.into_iter().flat_map(|key| key.0).collect())
    }

    /// The keys; bytes left over at the end are ignored.
    pub fn iter(&self) -> impl Iterator<Item = CheckpointKey> {
        let (keys, _) = self.0.as_chunks::<KEY_BYTES>();
        keys.iter().copied().map(CheckpointKey)
    }
}

/// What one engine's cache gained and lost within one owner's keys.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CoarseUpdate {
    /// The engine.
    #[n(0)]
    pub engine: EngineId,
    /// The life that the keys belong to.
    #[n(1)]
    pub incarnation: Incarnation,
    /// Counts the updates about this life to this owner, from 1.
    #[n(2)]
    pub sequence: u64,
    /// Checkpoints stored.
    #[n(3)]
    pub stored: KeyList,
    /// Checkpoints evicted.
    #[n(4)]
    pub removed: KeyList,
}

/// A change of what a [`CoarseUpdate`] told before on the same stream. It leaves
/// the incarnation out: a new life always begins with a whole update.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CoarseDelta {
    /// The engine.
    #[n(0)]
    pub engine: EngineId,
    /// One more than that of the update or delta before it.
    #[n(1)]
    pub sequence: u64,
    /// Checkpoints stored.
    #[n(2)]
    pub stored: KeyList,
    /// Checkpoints evicted.
    #[n(3)]
    pub removed: KeyList,
}

/// One router's part of the sampled index.
///
/// Gaps, incarnations and deaths work as in [`PrefixIndex`].
#[derive(Debug, Default)]
pub struct CoarseShard {
    index: PrefixIndex,
}

fn event(sequence: u64, stored: &KeyList, removed: &KeyList) -> CacheEvent {
    let blocks = |keys: &KeyList| keys.iter().map(|key| key.as_block()).collect();
    CacheEvent { sequence, stored: blocks(stored), removed: blocks(removed) }
}

/// The engines that hold one checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CheckpointHolders {
    /// Engine lives, in order.
    #[n(0)]
    pub engines: Vec<(EngineId, Incarnation)>,
}

impl CoarseShard {
    /// Applies an update from the router that reads the engine's events.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
    pub fn apply(&mut self, update: &CoarseUpdate) -> Result<EventOutcome, IndexFull> {
        let event = event(update.sequence, &update.stored, &update.removed);
        self.index.apply_events(update.engine, update.incarnation, &[event])
    }

    /// Applies a change to what the shard holds of the engine's current life.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
    pub fn apply_delta(&mut self, delta: &CoarseDelta) -> Result<EventOutcome, IndexFull> {
        let Some((incarnation, _)) = self.index.position(delta.engine) else {
            return Ok(EventOutcome::AwaitingSnapshot);
        };
        let event = event(delta.sequence, &delta.stored, &delta.removed);
        self.index.apply_events(delta.engine, incarnation, &[event])
    }

    /// Replaces what is known of an engine; `update` names everything it stores
    /// of this shard as of its sequence number. A sender that takes the engine
    /// over numbers its updates anew, so a lower number is no reason to refuse.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
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

    /// Voids everything known of an engine.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.index.remove_engine(engine);
    }

    /// The engines that hold each of `keys`, in the order of the keys.
    pub fn lookup(&self, keys: &KeyList, now: Timestamp) -> Vec<CheckpointHolders> {
        keys.iter().map(|key| self.holders(key, now)).collect()
    }

    fn holders(&self, key: CheckpointKey, now: Timestamp) -> CheckpointHolders {
        let holders = self.index.lookup(&[key.as_block()], now);
        let mut engines: Vec<_> = holders.iter().map(|h| (h.engine, h.incarnation)).collect();
        engines.sort_unstable();
        CheckpointHolders { engines }
    }

    /// How much the shard holds.
    pub fn size(&self) -> IndexSize {
        self.index.size()
    }
}

/// An engine with the leading blocks that the checkpoints vouch for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoarseHolder {
    /// The engine.
    pub engine: EngineId,
    /// The life it holds them in.
    pub incarnation: Incarnation,
    /// Blocks up to the last checkpoint held; up to an interval more is likely.
    pub blocks: u32,
}

/// Puts the owners' answers about one prompt together. `answers` has the
/// holders of each checkpoint, `None` where the owner did not answer: such a
/// checkpoint is passed over rather than taken for a miss.
pub fn combine(
    checkpoints: &[Checkpoint],
    answers: &[Option<CheckpointHolders>],
) -> Vec<CoarseHolder> {
    let mut reached: BTreeMap<(EngineId, Incarnation), u32> = BTreeMap::new();
    let mut active: Option<Vec<(EngineId, Incarnation)>> = None;
    for (checkpoint, answer) in checkpoints.iter().zip(answers) {
        let Some(answer) = answer else {
            continue;
        };
        let holds_all = |life: &(EngineId, Incarnation)| {
            active.as_ref().is_none_or(|lives| lives.contains(life))
        };
        let lives: Vec<_> = answer.engines.iter().copied().filter(holds_all).collect();
        for life in &lives {
            reached.insert(*life, checkpoint.blocks);
        }
        active = Some(lives);
    }
    let holders = reached.into_iter();
    holders
        .map(|((engine, incarnation), blocks)| CoarseHolder { engine, incarnation, blocks })
        .collect()
}
