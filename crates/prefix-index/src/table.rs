//! Hash table from blocks to holders, sharded to keep sweeps short.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use juniper_types::BlockHash;

use crate::holders::{Arena, HolderSet};
use crate::slots::{Slot, SlotSet};

/// Number of shards. Sweeping one shard of a table with a million entries visits
/// about 16,000 entries and takes less than a millisecond.
pub(crate) const SHARDS: usize = 64;

/// Hasher that uses eight bytes of a block hash, which is uniform BLAKE3 output.
#[derive(Default)]
pub(crate) struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn write(&mut self, bytes: &[u8]) {
        let mut word = [0; 8];
        let length = bytes.len().min(word.len());
        word[..length].copy_from_slice(&bytes[..length]);
        self.0 = u64::from_le_bytes(word);
    }

    /// Ignores the length prefix of the byte array.
    fn write_usize(&mut self, _length: usize) {}

    fn finish(&self) -> u64 {
        self.0
    }
}

pub(crate) type BlockMap<V> = HashMap<BlockHash, V, BuildHasherDefault<BlockHasher>>;

#[derive(Debug, Default)]
struct Shard {
    blocks: BlockMap<HolderSet>,
    arena: Arena,
    entries: usize,
}

/// Sharded hash table. An entry is a pair of a block and a slot that holds it.
#[derive(Debug)]
pub(crate) struct BlockTable {
    shards: Vec<Shard>,
    shard_of_byte: [u8; 256],
    next_sweep: usize,
}

/// Assigns the 256 values of a byte to shards so that the largest shard is twice
/// the size of the smallest. A hash map doubles its capacity when it is full, so
/// shards of equal size would all grow at the same time.
fn uneven_shards() -> [u8; 256] {
    std::array::from_fn(|byte| {
        let position = (1.0 + byte as f64 / 256.0).log2();
        (position * SHARDS as f64) as u8
    })
}

impl BlockTable {
    pub(crate) fn new() -> Self {
        let shards = std::iter::repeat_with(Shard::default).take(SHARDS).collect();
        BlockTable { shards, shard_of_byte: uneven_shards(), next_sweep: 0 }
    }

    fn shard_index(&self, block: &BlockHash) -> usize {
        usize::from(self.shard_of_byte[usize::from(block.0[15])])
    }

    fn shard(&self, block: &BlockHash) -> &Shard {
        &self.shards[self.shard_index(block)]
    }

    fn shard_mut(&mut self, block: &BlockHash) -> &mut Shard {
        let index = self.shard_index(block);
        &mut self.shards[index]
    }

    pub(crate) fn insert(&mut self, block: BlockHash, slot: Slot) {
        let shard = self.shard_mut(&block);
        let holders = shard.blocks.entry(block).or_default();
        if holders.insert(slot, &mut shard.arena) {
            shard.entries += 1;
        }
    }

    pub(crate) fn remove(&mut self, block: &BlockHash, slot: Slot) {
        let shard = self.shard_mut(block);
        let Some(holders) = shard.blocks.get_mut(block) else {
            return;
        };
        if holders.remove(slot, &mut shard.arena) {
            shard.entries -= 1;
        }
        if holders.is_empty() {
            shard.blocks.remove(block);
        }
    }

    pub(crate) fn contains(&self, block: &BlockHash, slot: Slot) -> bool {
        let shard = self.shard(block);
        shard.blocks.get(block).is_some_and(|holders| holders.contains(slot, &shard.arena))
    }

    /// Inserts every slot that holds `block` into `found`, including retired slots.
    pub(crate) fn collect_holders(&self, block: &BlockHash, found: &mut SlotSet) {
        let shard = self.shard(block);
        if let Some(holders) = shard.blocks.get(block) {
            holders.collect_into(&shard.arena, found);
        }
    }

    /// Removes the slots of `retired` from the next shard.
    pub(crate) fn sweep_next_shard(&mut self, retired: &SlotSet) {
        let shard = &mut self.shards[self.next_sweep];
        self.next_sweep = (self.next_sweep + 1) % SHARDS;
        let Shard { blocks, arena, entries } = shard;
        blocks.retain(|_, holders| {
            *entries -= holders.remove_all(retired, arena);
            !holders.is_empty()
        });
        if blocks.capacity() > 4 * blocks.len() {
            blocks.shrink_to(2 * blocks.len());
        }
    }

    pub(crate) fn blocks(&self) -> usize {
        self.shards.iter().map(|shard| shard.blocks.len()).sum()
    }

    pub(crate) fn entries(&self) -> usize {
        self.shards.iter().map(|shard| shard.entries).sum()
    }

    /// Estimated size on the heap, in bytes, from the capacity of each shard.
    pub(crate) fn heap_bytes(&self) -> usize {
        let bytes = self.shards.iter().map(|shard| {
            map_bytes(shard.blocks.capacity(), size_of::<(BlockHash, HolderSet)>())
                + shard.arena.heap_bytes()
        });
        bytes.sum()
    }
}

/// Size of a standard hash map in bytes: a power of two of buckets with a load
/// factor of 7/8 and one control byte each.
pub(crate) fn map_bytes(capacity: usize, entry_bytes: usize) -> usize {
    if capacity == 0 {
        return 0;
    }
    let buckets = (capacity * 8).div_ceil(7).next_power_of_two();
    buckets * (entry_bytes + 1)
}
