//! Compact sets of the slots that hold a block.
//!
//! Up to three slots are packed into a word of eight bytes, which suffices for
//! most blocks. Blocks with more holders, such as those of a common system prompt,
//! use a bit set in an arena.

use crate::slots::{Slot, SlotSet};

const INLINE_SLOTS: usize = 3;
const SLOT_BITS: usize = 16;
const SPILLED_TAG: u64 = 0xFFFF << (INLINE_SLOTS * SLOT_BITS);

/// Packed set: either up to three values of slot plus one with 16 bits each, or a
/// tag and an arena index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HolderSet(u64);

/// Arena of the bit sets of blocks with many holders.
#[derive(Debug, Default)]
pub(crate) struct Arena {
    sets: Vec<SlotSet>,
    free: Vec<u32>,
}

impl Arena {
    fn store(&mut self, set: SlotSet) -> u32 {
        match self.free.pop() {
            Some(index) => {
                self.sets[index as usize] = set;
                index
            }
            None => {
                self.sets.push(set);
                (self.sets.len() - 1) as u32
            }
        }
    }

    fn release(&mut self, index: u32) {
        self.sets[index as usize] = SlotSet::default();
        self.free.push(index);
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let headers = self.sets.capacity() * size_of::<SlotSet>() + self.free.capacity() * 4;
        headers + self.sets.iter().map(SlotSet::heap_bytes).sum::<usize>()
    }
}

impl HolderSet {
    fn arena_index(self) -> Option<u32> {
        (self.0 & SPILLED_TAG == SPILLED_TAG).then_some(self.0 as u32)
    }

    fn spilled(index: u32) -> Self {
        HolderSet(SPILLED_TAG | u64::from(index))
    }

    fn inline_slots(self) -> impl Iterator<Item = Slot> {
        (0..INLINE_SLOTS).filter_map(move |position| {
            let packed = (self.0 >> (position * SLOT_BITS)) as u16;
            packed.checked_sub(1)
        })
    }

    fn pack(slots: impl Iterator<Item = Slot>) -> Self {
        let packed = slots
            .enumerate()
            .map(|(position, slot)| (u64::from(slot) + 1) << (position * SLOT_BITS));
        HolderSet(packed.fold(0, |word, part| word | part))
    }

    /// Inserts `slot`. Returns whether it was absent.
    pub(crate) fn insert(&mut self, slot: Slot, arena: &mut Arena) -> bool {
        if let Some(index) = self.arena_index() {
            let set = &mut arena.sets[index as usize];
            let absent = !set.contains(slot);
            set.insert(slot);
            return absent;
        }
        if self.inline_slots().any(|held| held == slot) {
            return false;
        }
        if self.inline_slots().count() < INLINE_SLOTS {
            *self = Self::pack(self.inline_slots().chain(std::iter::once(slot)));
            return true;
        }
        let mut set = SlotSet::default();
        self.inline_slots().for_each(|held| set.insert(held));
        set.insert(slot);
        *self = Self::spilled(arena.store(set));
        true
    }

    /// Removes `slot`. Returns whether it was present.
    pub(crate) fn remove(&mut self, slot: Slot, arena: &mut Arena) -> bool {
        let mut removed = SlotSet::default();
        removed.insert(slot);
        self.remove_all(&removed, arena) > 0
    }

    /// Removes the slots of `removed`. Returns the number of slots that were present.
    pub(crate) fn remove_all(&mut self, removed: &SlotSet, arena: &mut Arena) -> usize {
        let Some(index) = self.arena_index() else {
            let before = self.inline_slots().count();
            *self = Self::pack(self.inline_slots().filter(|slot| !removed.contains(*slot)));
            return before - self.inline_slots().count();
        };
        let set = &mut arena.sets[index as usize];
        let before = set.len();
        set.remove_all(removed);
        let after = set.len();
        if after < INLINE_SLOTS {
            let mut kept = Vec::with_capacity(INLINE_SLOTS);
            set.for_each(|slot| kept.push(slot));
            arena.release(index);
            *self = Self::pack(kept.into_iter());
        }
        before - after
    }

    pub(crate) fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub(crate) fn contains(self, slot: Slot, arena: &Arena) -> bool {
        match self.arena_index() {
            Some(index) => arena.sets[index as usize].contains(slot),
            None => self.inline_slots().any(|held| held == slot),
        }
    }

    /// Inserts all slots of this set into `found`.
    pub(crate) fn collect_into(self, arena: &Arena, found: &mut SlotSet) {
        match self.arena_index() {
            Some(index) => found.insert_all(&arena.sets[index as usize]),
            None => self.inline_slots().for_each(|slot| found.insert(slot)),
        }
    }
}
