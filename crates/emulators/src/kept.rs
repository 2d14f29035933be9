//! The store of kept KV cache: entries by their last block, the least recently used goes first.

use std::collections::{BTreeMap, HashMap};

use juniper_types::BlockHash;

use crate::engine::transfer::KvEntry;

/// Blocks that the store holds: 512 GiB of 8 MiB each, one machine's memory.
pub const STORE_BLOCKS: u64 = 65_536;

#[derive(Clone, Debug)]
struct Kept {
    entry: KvEntry,
    used: u64,
}

/// Kept entries, bounded by their blocks.
#[derive(Clone, Debug)]
pub struct KeptStore {
    capacity: u64,
    blocks: u64,
    uses: u64,
    entries: HashMap<BlockHash, Kept>,
    by_use: BTreeMap<u64, BlockHash>,
}

impl KeptStore {
    /// An empty store for `capacity` blocks.
    pub fn new(capacity: u64) -> Self {
        KeptStore { capacity, blocks: 0, uses: 0, entries: HashMap::new(), by_use: BTreeMap::new() }
    }

    /// Blocks held.
    pub fn blocks(&self) -> u64 {
        self.blocks
    }

    /// Keeps `entry` under its last block; false when it is empty or larger than the store.
    pub fn put(&mut self, entry: KvEntry) -> bool {
        let size = entry.blocks.len() as u64;
        let Some(name) = entry.blocks.last().copied().filter(|_| size <= self.capacity) else {
            return false;
        };
        self.remove(&name);
        while self.blocks + size > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.remove(&oldest);
        }
        self.uses += 1;
        self.blocks += size;
        self.by_use.insert(self.uses, name);
        self.entries.insert(name, Kept { entry, used: self.uses });
        true
    }

    /// The entry whose last block is `name`.
    pub fn get(&mut self, name: &BlockHash) -> Option<KvEntry> {
        let kept = self.entries.get_mut(name)?;
        self.by_use.remove(&kept.used);
        self.uses += 1;
        kept.used = self.uses;
        self.by_use.insert(self.uses, *name);
        Some(kept.entry.clone())
    }

    fn remove(&mut self, name: &BlockHash) {
        if let Some(kept) = self.entries.remove(name) {
            self.by_use.remove(&kept.used);
            self.blocks -= kept.entry.blocks.len() as u64;
        }
    }
}
