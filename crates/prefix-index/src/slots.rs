//! Slots, the compact identifiers of cache views, and sets of slots.
//!
//! Each view of one engine's cache has a slot. To discard a view, such as after a
//! crash or a lost event, its slot is retired: its entries stop counting
//! immediately and are removed from the table later. A slot is reused only after
//! the whole table has been swept, so that an old entry is never attributed to a
//! new view.

use crate::event::IndexFull;
use crate::table::SHARDS;

/// Identifier of one engine's current view.
pub(crate) type Slot = u16;

/// Highest slot. Holder sets store a slot plus one in 16 bits and reserve the
/// highest value.
const MAX_SLOT: usize = u16::MAX as usize - 2;

const WORD_BITS: usize = u64::BITS as usize;

/// Bit set of slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SlotSet {
    words: Vec<u64>,
}

impl SlotSet {
    pub(crate) fn with_slots(slots: usize) -> Self {
        SlotSet { words: vec![0; slots.div_ceil(WORD_BITS)] }
    }

    pub(crate) fn insert(&mut self, slot: Slot) {
        let word = usize::from(slot) / WORD_BITS;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (usize::from(slot) % WORD_BITS);
    }

    pub(crate) fn remove(&mut self, slot: Slot) {
        if let Some(word) = self.words.get_mut(usize::from(slot) / WORD_BITS) {
            *word &= !(1 << (usize::from(slot) % WORD_BITS));
        }
    }

    pub(crate) fn contains(&self, slot: Slot) -> bool {
        let word = self.words.get(usize::from(slot) / WORD_BITS).copied().unwrap_or(0);
        word >> (usize::from(slot) % WORD_BITS) & 1 == 1
    }

    pub(crate) fn clear(&mut self) {
        self.words.fill(0);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    pub(crate) fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        self.words.capacity() * size_of::<u64>()
    }

    pub(crate) fn insert_all(&mut self, other: &SlotSet) {
        if other.words.len() > self.words.len() {
            self.words.resize(other.words.len(), 0);
        }
        for (word, added) in self.words.iter_mut().zip(&other.words) {
            *word |= added;
        }
    }

    /// Retains the slots that are also in `other` and calls `dropped` with each
    /// removed slot.
    pub(crate) fn retain_common(&mut self, other: &SlotSet, mut dropped: impl FnMut(Slot)) {
        for (index, word) in self.words.iter_mut().enumerate() {
            let kept = other.words.get(index).copied().unwrap_or(0);
            for_each_bit(index, *word & !kept, &mut dropped);
            *word &= kept;
        }
    }

    pub(crate) fn remove_all(&mut self, other: &SlotSet) {
        for (word, removed) in self.words.iter_mut().zip(&other.words) {
            *word &= !removed;
        }
    }

    pub(crate) fn for_each(&self, mut visit: impl FnMut(Slot)) {
        for (index, word) in self.words.iter().enumerate() {
            for_each_bit(index, *word, &mut visit);
        }
    }
}

fn for_each_bit(word_index: usize, mut word: u64, visit: &mut impl FnMut(Slot)) {
    while word != 0 {
        let bit = word.trailing_zeros() as usize;
        visit((word_index * WORD_BITS + bit) as Slot);
        word &= word - 1;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    Free,
    Live { engine: u16 },
    Retired { shards_left: usize },
}

/// Allocator of slots.
#[derive(Debug, Default)]
pub(crate) struct SlotAllocator {
    states: Vec<SlotState>,
    free: Vec<Slot>,
    live: SlotSet,
    retired: SlotSet,
}

impl SlotAllocator {
    /// Allocates a slot for the engine at position `engine`.
    pub(crate) fn allocate(&mut self, engine: u16) -> Result<Slot, IndexFull> {
        let slot = match self.free.pop() {
            Some(slot) => slot,
            None if self.states.len() <= MAX_SLOT => {
                self.states.push(SlotState::Free);
                (self.states.len() - 1) as Slot
            }
            None => return Err(IndexFull),
        };
        self.states[usize::from(slot)] = SlotState::Live { engine };
        self.live.insert(slot);
        Ok(slot)
    }

    /// Retires a slot, whose entries then stop counting.
    pub(crate) fn retire(&mut self, slot: Slot) {
        self.states[usize::from(slot)] = SlotState::Retired { shards_left: SHARDS };
        self.live.remove(slot);
        self.retired.insert(slot);
    }

    /// Records that one more shard of the table was swept of the retired slots.
    pub(crate) fn record_swept_shard(&mut self) {
        let mut freed = Vec::new();
        let states = &mut self.states;
        self.retired.for_each(|slot| {
            if let SlotState::Retired { shards_left } = &mut states[usize::from(slot)] {
                *shards_left -= 1;
                if *shards_left == 0 {
                    freed.push(slot);
                }
            }
        });
        for slot in freed {
            self.states[usize::from(slot)] = SlotState::Free;
            self.retired.remove(slot);
            self.free.push(slot);
        }
    }

    pub(crate) fn engine(&self, slot: Slot) -> Option<u16> {
        match self.states.get(usize::from(slot)) {
            Some(SlotState::Live { engine }) => Some(*engine),
            _ => None,
        }
    }

    pub(crate) fn live(&self) -> &SlotSet {
        &self.live
    }

    pub(crate) fn retired(&self) -> &SlotSet {
        &self.retired
    }

    /// Number of slots allocated so far, including free and retired ones.
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }
}
