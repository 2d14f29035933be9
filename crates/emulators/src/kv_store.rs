//! Store of exported KV cache entries, keyed by their last block, with LRU eviction.

use std::collections::{BTreeMap, HashMap};

use juniper_types::BlockHash;

use crate::engine::transfer::KvEntry;

/// Capacity in blocks of 8 MiB: 512 GiB, the memory of one machine.
pub const STORE_BLOCKS: u64 = 65_536;

#[derive(Clone, Debug)]
struct StoredEntry {
    entry: KvEntry,
    last_used: u64,
}

/// Exported KV cache entries, limited by their total number of blocks.
#[derive(Clone, Debug)]
pub struct KvStore {
    capacity: u64,
    blocks: u64,
    clock: u64,
    entries: HashMap<BlockHash, StoredEntry>,
    lru: BTreeMap<u64, BlockHash>,
}

impl KvStore {
    /// Creates an empty store for `capacity` blocks.
    pub fn new(capacity: u64) -> Self {
        KvStore { capacity, blocks: 0, clock: 0, entries: HashMap::new(), lru: BTreeMap::new() }
    }

    /// Number of stored blocks.
    pub fn blocks(&self) -> u64 {
        self.blocks
    }

    /// Stores `entry` under its last block; returns `false` if the entry is empty or exceeds the
    /// capacity.
    pub fn put(&mut self, entry: KvEntry) -> bool {
        let size = entry.blocks.len() as u64;
        let Some(key) = entry.blocks.last().copied().filter(|_| size <= self.capacity) else {
            return false;
        };
        self.remove(&key);
        while self.blocks + size > self.capacity {
            let Some((_, oldest)) = self.lru.pop_first() else { break };
            self.remove(&oldest);
        }
        self.clock += 1;
        self.blocks += size;
        self.lru.insert(self.clock, key);
        self.entries.insert(key, StoredEntry { entry, last_used: self.clock });
        true
    }

    /// Returns the entry whose last block is `key`.
    pub fn get(&mut self, key: &BlockHash) -> Option<KvEntry> {
        let stored = self.entries.get_mut(key)?;
        self.lru.remove(&stored.last_used);
        self.clock += 1;
        stored.last_used = self.clock;
        self.lru.insert(self.clock, *key);
        Some(stored.entry.clone())
    }

    fn remove(&mut self, key: &BlockHash) {
        if let Some(stored) = self.entries.remove(key) {
            self.lru.remove(&stored.last_used);
            self.blocks -= stored.entry.blocks.len() as u64;
        }
    }
}
