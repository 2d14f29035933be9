//! Simulated file with its page cache and durable content.

use std::collections::BTreeSet;

use crate::random::Random;

/// Size of the unit that a disk writes atomically.
pub(crate) const SECTOR_BYTES: usize = 512;

/// Cached and durable content of a file, and the sectors that were written but not synced.
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
            self.mark_dirty(self.cached.len(), end);
            self.cached.resize(end, 0);
            self.length_is_dirty = true;
        }
        self.cached[offset..end].copy_from_slice(data);
        self.mark_dirty(offset, end);
    }

    fn mark_dirty(&mut self, start: usize, end: usize) {
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

    /// Makes all written data durable.
    pub(super) fn sync(&mut self) {
        let length = self.cached.len();
        self.durable.resize(length, 0);
        for sector in std::mem::take(&mut self.dirty) {
            self.persist_sector(sector);
        }
        self.length_is_dirty = false;
    }

    /// Fails a sync: random dirty sectors become durable and all are marked clean, as on
    /// Linux. The others remain readable until power is lost.
    pub(super) fn fail_sync(&mut self, random: &mut Random) {
        for sector in std::mem::take(&mut self.dirty) {
            if random.chance(500) {
                self.persist_sector(sector);
            }
        }
    }

    fn persist_sector(&mut self, sector: usize) {
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

    /// Simulates a power loss: a random part of the unsynced data is durable.
    pub(super) fn lose_power(&mut self, random: &mut Random) {
        for sector in std::mem::take(&mut self.dirty) {
            if random.chance(500) {
                self.persist_sector(sector);
            }
        }
        if std::mem::take(&mut self.length_is_dirty) && random.chance(500) {
            self.durable.resize(self.cached.len(), 0);
        }
        self.cached.clone_from(&self.durable);
    }

    /// Flips a bit of the durable byte at `offset`.
    pub(super) fn corrupt(&mut self, offset: usize) {
        if let Some(byte) = self.durable.get_mut(offset) {
            *byte ^= 0x40;
        }
        self.cached.clone_from(&self.durable);
    }
}
