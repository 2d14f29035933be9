//! Export and import of cached blocks.
//!
//! An entry serves_scope the leading blocks of one prompt and is bound to the scope
//! that computed them. An engine imports an entry only for the same tenant,
//! model, adapter and weights.

use std::time::Duration;

use juniper_types::{BlockHash, CacheScope, Incarnation, Timestamp};

use super::cache::Slot;
use super::config::TRANSFER_BLOCK_NS;
use super::request::Output;
use super::{Engine, ModelState};
use crate::witness::Provenance;

/// Leading blocks of one prompt, as transferred between engines and the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEntry {
    /// Cache scope of the blocks.
    pub scope: CacheScope,
    /// Incarnation of the exporting engine.
    pub incarnation: Incarnation,
    /// Hashes of the blocks, from the start of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Actual origin of the content, read only by the witness.
    pub provenance: Provenance,
    /// Checksum over the blocks.
    pub checksum: BlockHash,
}

impl KvEntry {
    /// Computes the checksum of `blocks`.
    pub fn checksum_of(blocks: &[BlockHash]) -> BlockHash {
        blocks.iter().fold(BlockHash([0; 16]), |sum, block| sum.next(&block.0))
    }

    /// Returns whether the checksum matches the blocks.
    pub fn is_intact(&self) -> bool {
        self.checksum == KvEntry::checksum_of(&self.blocks)
    }
}

/// Reason for rejecting an import or export. A rejected transfer has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransferRefusal {
    /// The engine process is down.
    #[error("the engine is down")]
    Down,
    /// The engine's incarnation differs from the one that the caller planned with.
    #[error("the incarnation is {0}")]
    IncarnationMismatch(Incarnation),
    /// The requested scope differs from the entry's or from the one that the engine serves.
    #[error("the entry belongs to another scope")]
    ForeignScope,
    /// The entry's checksum does not match.
    #[error("the entry is damaged")]
    Damaged,
    /// Running requests leave no memory for the entry.
    #[error("no memory is free")]
    NoMemory,
    /// None of the blocks is cached.
    #[error("none of the blocks is cached")]
    NotCached,
}

/// Import in progress.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) ends_at: Timestamp,
    slots: Vec<Slot>,
    blocks: Vec<BlockHash>,
    provenance: u32,
}

impl Engine {
    /// Exports the cached leading blocks of `blocks`; returns the entry and the time when its
    /// transfer completes.
    ///
    /// # Errors
    /// Fails when the engine serves another scope or has cached none of the blocks.
    pub fn export(
        &mut self,
        scope: &CacheScope,
        blocks: &[BlockHash],
        now: Timestamp,
    ) -> Result<(KvEntry, Timestamp), TransferRefusal> {
        self.run_until(now);
        if self.down {
            return Err(TransferRefusal::Down);
        }
        if !self.serves_scope(scope) {
            return Err(TransferRefusal::ForeignScope);
        }
        let slots = self.cache.acquire_prefix(blocks);
        let Some(last) = slots.last() else {
            return Err(TransferRefusal::NotCached);
        };
        let provenance = self.witness.provenance(self.cache.provenance(*last)).clone();
        self.cache.release(&slots);
        let blocks = blocks[..slots.len()].to_vec();
        let checksum = KvEntry::checksum_of(&blocks);
        let ready_at = self.occupy_link(blocks.len(), now);
        let incarnation = self.incarnation;
        Ok((KvEntry { scope: scope.clone(), incarnation, blocks, provenance, checksum }, ready_at))
    }

    /// Starts importing `entry` for requests of `scope`; returns the time when the transfer
    /// completes.
    ///
    /// # Errors
    /// Fails when the entry is damaged, belongs to another scope or does not fit.
    pub fn import(
        &mut self,
        entry: &KvEntry,
        scope: &CacheScope,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Result<Timestamp, TransferRefusal> {
        self.run_until(now);
        if self.down {
            return Err(TransferRefusal::Down);
        }
        if incarnation != self.incarnation {
            return Err(TransferRefusal::IncarnationMismatch(self.incarnation));
        }
        if !entry.is_intact() {
            return Err(TransferRefusal::Damaged);
        }
        if entry.scope != *scope || !self.serves_scope(scope) {
            return Err(TransferRefusal::ForeignScope);
        }
        let slots = self.cache.acquire_prefix(&entry.blocks);
        let blocks = entry.blocks[slots.len()..].to_vec();
        if !self.cache.reserve(u32::try_from(blocks.len()).unwrap_or(u32::MAX)) {
            self.cache.release(&slots);
            return Err(TransferRefusal::NoMemory);
        }
        self.publish_change(now);
        let ends_at = self.occupy_link(blocks.len(), now);
        let provenance = self.witness.provenance_id(&entry.provenance);
        self.transfers.push(Transfer { ends_at, slots, blocks, provenance });
        Ok(ends_at)
    }

    /// Queues a transfer of `blocks` blocks on the engine's link; returns the time when it
    /// completes.
    fn occupy_link(&mut self, blocks: usize, now: Timestamp) -> Timestamp {
        let duration = Duration::from_nanos(blocks as u64 * TRANSFER_BLOCK_NS);
        self.link_free_at = self.link_free_at.max(now).after(duration);
        self.link_free_at
    }

    fn serves_scope(&self, scope: &CacheScope) -> bool {
        let adapter_loaded = scope.adapter.as_ref().is_none_or(|name| self.adapters.contains(name));
        match &self.model {
            ModelState::Serving { model, weights } => {
                *model == scope.model && *weights == scope.weights && adapter_loaded
            }
            _ => false,
        }
    }

    pub(super) fn finish_transfers(&mut self, now: Timestamp) {
        let (done, pending) =
            std::mem::take(&mut self.transfers).into_iter().partition(|t| t.ends_at <= now);
        self.transfers = pending;
        for transfer in done {
            self.finish_transfer(transfer, now);
        }
    }

    fn finish_transfer(&mut self, mut transfer: Transfer, now: Timestamp) {
        let before = self.cache.cached();
        for hash in &transfer.blocks {
            let parent = transfer.slots.last().copied();
            transfer.slots.push(self.cache.store(*hash, parent, transfer.provenance));
        }
        let blocks = self.cache.cached() - before;
        self.cache.release(&transfer.slots);
        self.publish_change(now);
        self.outbox.push(Output::Imported { at: now, blocks });
    }
}
