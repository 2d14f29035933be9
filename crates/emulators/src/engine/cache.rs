//! Block cache of one engine: reference counts, memory limit, eviction.
//!
//! Invariants:
//! - A cached block's parent is cached (an orphan could never be cached_prefix), so
//!   only leaves are evicted.
//! - A referenced block is never evicted (a running request would read memory
//!   reassigned to another). A request references its whole chain, so an
//!   unreferenced block has no referenced descendant.
//! - `cached + reserved <= capacity` at all times.

use std::collections::{BTreeSet, HashMap};

use juniper_types::BlockHash;

/// Index of a cached block, valid while the holder references the block.
pub type Slot = u32;

/// Id of a [`crate::witness::Provenance`].
pub type ProvenanceId = u32;

#[derive(Clone, Debug)]
struct Block {
    hash: BlockHash,
    parent: Option<Slot>,
    depth: u32,
    children: u32,
    references: u32,
    last_used: u64,
    provenance: ProvenanceId,
}

/// Blocks stored and removed since the last call of [`BlockCache::take_change`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChange {
    /// Blocks stored, parents first.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted, children first.
    pub removed: Vec<BlockHash>,
}

/// Block cache and the memory reserved by running requests.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: u32,
    reserved: u32,
    blocks: Vec<Block>,
    free_slots: Vec<Slot>,
    by_hash: HashMap<BlockHash, Slot>,
    /// Unreferenced blocks without children, least recently used first.
    leaves: BTreeSet<(u64, Slot)>,
    unreferenced: u32,
    use_counter: u64,
    change: CacheChange,
}

impl BlockCache {
    /// Creates an empty cache with memory for `capacity` blocks.
    pub fn new(capacity: u32) -> Self {
        BlockCache {
            capacity,
            reserved: 0,
            blocks: Vec::new(),
            free_slots: Vec::new(),
            by_hash: HashMap::new(),
            leaves: BTreeSet::new(),
            unreferenced: 0,
            use_counter: 0,
            change: CacheChange::default(),
        }
    }

    /// Capacity in blocks.
    pub fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Number of cached blocks.
    pub fn cached(&self) -> u32 {
        u32::try_from(self.by_hash.len()).unwrap_or(u32::MAX)
    }

    /// Number of blocks referenced by requests or reserved for them.
    pub fn in_use(&self) -> u32 {
        self.cached() - self.unreferenced + self.reserved
    }

    /// Number of blocks that can be reserved, including by eviction.
    pub fn available(&self) -> u32 {
        self.capacity - self.in_use()
    }

    /// Returns whether `hash` is cached.
    pub fn contains(&self, hash: &BlockHash) -> bool {
        self.by_hash.contains_key(hash)
    }

    /// Number of leading blocks of `chain` that are cached.
    pub fn cached_prefix(&self, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|hash| self.by_hash.contains_key(hash)).count()
    }

    /// Adds a reference to each leading block of `chain` that is cached.
    pub fn acquire_prefix(&mut self, chain: &[BlockHash]) -> Vec<Slot> {
        let slots: Vec<Slot> =
            chain.iter().map_while(|hash| self.by_hash.get(hash).copied()).collect();
        for slot in &slots {
            self.acquire(*slot);
        }
        slots
    }

    fn acquire(&mut self, slot: Slot) {
        let block = &mut self.blocks[slot as usize];
        if block.references == 0 {
            self.leaves.remove(&(block.last_used, slot));
            self.unreferenced -= 1;
        }
        block.references += 1;
    }

    /// Removes one reference from each of `slots`.
    pub fn release(&mut self, slots: &[Slot]) {
        self.use_counter += 1;
        for slot in slots {
            let block = &mut self.blocks[*slot as usize];
            block.references -= 1;
            if block.references > 0 {
                continue;
            }
            block.last_used = self.use_counter;
            self.unreferenced += 1;
            if block.children == 0 {
                self.leaves.insert((block.last_used, *slot));
            }
        }
    }

    /// Reserves memory for `count` blocks, evicting as needed. Returns `false`, without changes, if
    /// they don't fit.
    pub fn reserve(&mut self, count: u32) -> bool {
        if count > self.available() {
            return false;
        }
        while self.cached() + self.reserved + count > self.capacity {
            self.evict_one();
        }
        self.reserved += count;
        true
    }

    /// Releases the reservation of `count` blocks.
    pub fn release_reservation(&mut self, count: u32) {
        self.reserved -= count;
    }

    fn evict_one(&mut self) {
        let Some((_, slot)) = self.leaves.pop_first() else {
            unreachable!("unreferenced blocks always include a leaf");
        };
        let block = &self.blocks[slot as usize];
        let (hash, parent) = (block.hash, block.parent);
        self.by_hash.remove(&hash);
        self.unreferenced -= 1;
        self.free_slots.push(slot);
        self.change.removed.push(hash);
        if let Some(parent) = parent {
            self.detach_child(parent);
        }
    }

    fn detach_child(&mut self, parent: Slot) {
        let block = &mut self.blocks[parent as usize];
        block.children -= 1;
        if block.children == 0 && block.references == 0 {
            self.leaves.insert((block.last_used, parent));
        }
    }

    /// Turns one reserved block into the cached block `hash` and references it.
    ///
    /// The caller must hold a reference to `parent`. If the block is already
    /// cached, the existing block is referenced and the reservation released.
    pub fn store(
        &mut self,
        hash: BlockHash,
        parent: Option<Slot>,
        provenance: ProvenanceId,
    ) -> Slot {
        self.reserved -= 1;
        if let Some(slot) = self.by_hash.get(&hash).copied() {
            self.acquire(slot);
            return slot;
        }
        let depth = parent.map_or(0, |slot| self.blocks[slot as usize].depth + 1);
        let block = Block {
            hash,
            parent,
            depth,
            children: 0,
            references: 1,
            last_used: self.use_counter,
            provenance,
        };
        let slot = self.insert_block(block);
        if let Some(parent) = parent {
            self.blocks[parent as usize].children += 1;
        }
        self.by_hash.insert(hash, slot);
        self.change.stored.push(hash);
        slot
    }

    fn insert_block(&mut self, block: Block) -> Slot {
        if let Some(slot) = self.free_slots.pop() {
            self.blocks[slot as usize] = block;
            return slot;
        }
        self.blocks.push(block);
        u32::try_from(self.blocks.len() - 1).unwrap_or(u32::MAX)
    }

    /// Provenance of the block in `slot`.
    pub fn provenance(&self, slot: Slot) -> ProvenanceId {
        self.blocks[slot as usize].provenance
    }

    /// Returns the changes since the last call, or `None` if there are none.
    pub fn take_change(&mut self) -> Option<CacheChange> {
        let change = std::mem::take(&mut self.change);
        let empty = change.stored.is_empty() && change.removed.is_empty();
        (!empty).then_some(change)
    }

    /// All cached blocks, parents first.
    pub fn snapshot(&self) -> Vec<BlockHash> {
        let mut slots: Vec<Slot> = self.by_hash.values().copied().collect();
        slots.sort_unstable_by_key(|slot| (self.blocks[*slot as usize].depth, *slot));
        slots.into_iter().map(|slot| self.blocks[slot as usize].hash).collect()
    }

    /// Evicts every unreferenced block.
    pub fn evict_all(&mut self) {
        while !self.leaves.is_empty() {
            self.evict_one();
        }
    }
}
