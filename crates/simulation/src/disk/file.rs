//! One file: what the system shows and what the platters hold.

use std::collections::BTreeSet;

use crate::random::Random;

/// Bytes that a disk writes whole or not at all.
pub(crate) const SECTOR_BYTES: usize = 512;

/// Content of a file with the sectors that are written but not synced.
#[derive(Clone, Debug, Default)]
pub(super) struct File {
    pub(super) number: u64,
    cached: Vec<u8>,
    durable: Vec<u8>,
    dirty: BTreeSet<usize>,
    length_is_dirty: bool,
}

impl File {
    pub(super) fn new(number: u64) -> Self {
        File { number, ..File::default() }
    }

    pub(super) fn content(&self) -> &[u8] {
        &self.cached
    }

    pub(super) fn write(&mut self, offset: usize, data: &[u8]) {
        let end = offset + data.len();
        if end > self.cached.len() {
            self.touch(self.cached.len(), end);
            self.cached.resize(end, 0);
            self.length_is_dirty = true;
        }
        self.cached[offset..end].copy_from_slice(data);
        self.touch(offset, end);
    }

    fn touch(&mut self, start: usize, end: usize) {
        if start < end {
            self.dirty.extend(start / SECTOR_BYTES..=(end - 1) / SECTOR_BYTES);
        }
    }

    pub(super) fn truncate(&mut self, length: usize) {
        self.cached.truncate(length);
        self.length_is_dirty = true;
        let sectors = length.div_ceil(SECTOR_BYTES);
        self.dirty.retain(|sector| *sector < sectors);
    }

    /// Makes everything durable.
    pub(super) fn sync(&mut self) {
        let length = self.cached.len();
        self.durable.resize(length, 0);
        for sector in std::mem::take(&mut self.dirty) {
            self.keep(sector);
        }
        self.length_is_dirty = false;
    }

    /// A sync that fails: some sectors reach the platters, and the system forgets
    /// that the others never did. They can still be read until the power goes.
    pub(super) fn fail_sync(&mut self, random: &mut Random) {
        for sector in std::mem::take(&mut self.dirty) {
            if random.chance(500) {
                self.keep(sector);
            }
        }
    }

    fn keep(&mut self, sector: usize) {
        let start = sector * SECTOR_BYTES;
        let end = (start + SECTOR_BYTES).min(self.cached.len());
        if start >= end {
            return;
        }
        if self.durable.len() < end {
            self.durable.resize(end, 0);
        }
        self.durable[start..end].copy_from_slice(&self.cached[start..end]);
    }

    /// The power goes: of what was not synced, any part may have been written.
    pub(super) fn lose_power(&mut self, random: &mut Random) {
        for sector in std::mem::take(&mut self.dirty) {
            if random.chance(500) {
                self.keep(sector);
            }
        }
        if std::mem::take(&mut self.length_is_dirty) && random.chance(500) {
            self.durable.resize(self.cached.len(), 0);
        }
        self.cached.clone_from(&self.durable);
    }

    /// Changes a byte that was synced, as a failing disk does.
    pub(super) fn corrupt(&mut self, offset: usize) {
        if let Some(byte) = self.durable.get_mut(offset) {
            *byte ^= 0x40;
        }
        self.cached.clone_from(&self.durable);
    }
}
