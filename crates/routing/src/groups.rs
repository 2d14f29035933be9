//! Usable engines, grouped by serving key.

use std::collections::HashMap;

use crate::engine::Engine;
use crate::request::ServingKey;

/// Index of an engine in the engine table.
pub(crate) type Position = u32;

const WORD_BITS: usize = u64::BITS as usize;

/// Set of engines of a table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    positions: Vec<Position>,
    /// Bit set of the member positions.
    members: Vec<u64>,
}

impl Group {
    pub(crate) fn positions(&self) -> &[Position] {
        &self.positions
    }

    pub(crate) fn contains(&self, position: Position) -> bool {
        let word = self.members.get(position as usize / WORD_BITS).copied().unwrap_or(0);
        word >> (position as usize % WORD_BITS) & 1 == 1
    }

    fn insert(&mut self, position: Position) {
        let word = position as usize / WORD_BITS;
        if word >= self.members.len() {
            self.members.resize(word + 1, 0);
        }
        self.members[word] |= 1 << (position as usize % WORD_BITS);
        self.positions.push(position);
    }

    fn remove(&mut self, position: Position) {
        if let Some(word) = self.members.get_mut(position as usize / WORD_BITS) {
            *word &= !(1 << (position as usize % WORD_BITS));
        }
        self.positions.retain(|member| *member != position);
    }
}

/// Groups of one engine table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    by_key: HashMap<ServingKey, Group>,
    /// Usable engines without a load report.
    unreported: Group,
    empty: Group,
}

impl Groups {
    /// Usable engines that serve `key`.
    pub(crate) fn serving(&self, key: &ServingKey) -> Option<&Group> {
        self.by_key.get(key)
    }

    /// Usable engines without a load report.
    pub(crate) fn unreported(&self) -> &Group {
        &self.unreported
    }

    /// The empty group.
    pub(crate) fn empty(&self) -> &Group {
        &self.empty
    }

    pub(crate) fn remove_engine(&mut self, position: Position, engine: &Engine) {
        for key in engine.serving() {
            if let Some(group) = self.by_key.get_mut(&key) {
                group.remove(position);
                if group.positions.is_empty() {
                    self.by_key.remove(&key);
                }
            }
        }
        self.unreported.remove(position);
    }

    pub(crate) fn insert_engine(&mut self, position: Position, engine: &Engine) {
        if !engine.is_usable() {
            return;
        }
        if !engine.is_known() {
            self.unreported.insert(position);
        }
        for key in engine.serving() {
            self.by_key.entry(key).or_default().insert(position);
        }
    }
}
