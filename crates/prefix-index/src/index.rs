//! Exact prefix index: engine incarnations and their cache events.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

use crate::event::{CacheEvent, EventOutcome, IndexFull, Snapshot, SnapshotOutcome};
use crate::predictions::{Prediction, PredictionSource, Predictions};
use crate::slots::{Slot, SlotAllocator};
use crate::table::{BlockTable, SHARDS};

/// Lifetime of a prediction that no event confirms: longer than the prefill of a
/// long prompt plus the delay of events, shorter than the time until eviction.
pub const PREDICTION_LIFETIME: Duration = Duration::from_secs(3);

/// Number of ended incarnations kept per engine, so that their late reports
/// aren't mistaken for a new incarnation.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// Engine that holds leading blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Engine number.
    pub engine: EngineId,
    /// Incarnation that holds the blocks.
    pub incarnation: Incarnation,
    /// Number of contiguous leading blocks held.
    pub blocks: u32,
    /// Number of these blocks that are only predicted.
    pub predicted: u32,
    /// Request that computes the last predicted block.
    pub computed_by: Option<PredictionSource>,
}

/// Size of an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IndexSize {
    /// Number of distinct blocks.
    pub blocks: usize,
    /// Number of pairs of a block and an engine that holds it.
    pub entries: usize,
    /// Number of outstanding predictions.
    pub predictions: usize,
    /// Size on the heap, in bytes.
    pub heap_bytes: usize,
}

/// View of an engine's cache in its current incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncarnationView {
    pub(crate) incarnation: Incarnation,
    pub(crate) slot: Slot,
    next_sequence: u64,
    /// Whether an event was lost, so the view is empty until the next snapshot.
    awaits_snapshot: bool,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) view: Option<IncarnationView>,
    ended: VecDeque<Incarnation>,
}

/// Exact index of the prompt blocks held by engine incarnations.
///
/// Invariant: an entry counts only while the incarnation that reported it is the
/// engine's current one and none of its events is known to be lost.
#[derive(Debug)]
pub struct PrefixIndex {
    positions: HashMap<EngineId, u16>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) slots: SlotAllocator,
    pub(crate) table: BlockTable,
    pub(crate) predictions: Predictions,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self::new()
    }
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        PrefixIndex {
            positions: HashMap::new(),
            engines: Vec::new(),
            slots: SlotAllocator::default(),
            table: BlockTable::new(),
            predictions: Predictions::default(),
        }
    }

    /// Applies events of one engine in the given order.
    ///
    /// Events of a new incarnation end the current one.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn apply_events(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> Result<EventOutcome, IndexFull> {
        let Some(position) = self.observe(engine, incarnation)? else {
            return Ok(EventOutcome::StaleIncarnation);
        };
        for event in events {
            let Some(view) = self.view(position) else {
                return Ok(EventOutcome::StaleIncarnation);
            };
            if view.awaits_snapshot {
                return Ok(EventOutcome::AwaitingSnapshot);
            }
            if event.sequence > view.next_sequence {
                self.reset_view(position, view.next_sequence, true)?;
                return Ok(EventOutcome::Gap { missing: view.next_sequence });
            }
            if event.sequence == view.next_sequence {
                self.apply_event(position, view.slot, event);
            }
        }
        self.sweep_shard();
        Ok(EventOutcome::Applied)
    }

    fn apply_event(&mut self, position: u16, slot: Slot, event: &CacheEvent) {
        for block in &event.stored {
            self.table.insert(*block, slot);
            self.predictions.remove(block, position);
        }
        for block in &event.removed {
            self.table.remove(block, slot);
        }
        if let Some(view) = &mut self.engines[usize::from(position)].view {
            view.next_sequence += 1;
        }
    }

    /// Replaces the entries of an engine by a snapshot.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn apply_snapshot(
        &mut self,
        engine: EngineId,
        snapshot: &Snapshot,
    ) -> Result<SnapshotOutcome, IndexFull> {
        let Some(position) = self.observe(engine, snapshot.incarnation)? else {
            return Ok(SnapshotOutcome::StaleIncarnation);
        };
        let known = self.view(position).map_or(1, |view| view.next_sequence);
        if snapshot.sequence + 1 < known {
            return Ok(SnapshotOutcome::Outdated);
        }
        let slot = self.reset_view(position, snapshot.sequence + 1, false)?;
        for block in &snapshot.blocks {
            self.table.insert(*block, slot);
            self.predictions.remove(block, position);
        }
        Ok(SnapshotOutcome::Applied)
    }

    /// Predicts that an engine incarnation will hold `blocks` after it computes
    /// request `source`. Blocks that it already holds aren't predicted.
    pub fn predict(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        blocks: &[BlockHash],
        source: PredictionSource,
        now: Timestamp,
    ) {
        let Some(position) = self.positions.get(&engine).copied() else {
            return;
        };
        let Some(view) = self.view(position).filter(|view| view.incarnation == incarnation) else {
            return;
        };
        self.predictions.expire(now);
        let expires = now.after(PREDICTION_LIFETIME);
        for block in blocks {
            if !self.table.contains(block, view.slot) {
                let prediction = Prediction { engine: position, incarnation, expires, source };
                self.predictions.insert(*block, prediction);
            }
        }
    }

    /// Removes all entries of an engine that crashed, was removed or is suspected to
    /// have crashed.
    ///
    /// If the same incarnation reports again, the suspicion was wrong. Its events
    /// then have a gap, and a snapshot is needed.
    pub fn remove_engine(&mut self, engine: EngineId) {
        if let Some(position) = self.positions.get(&engine).copied() {
            let view = self.engines[usize::from(position)].view.take();
            view.iter().for_each(|view| self.slots.retire(view.slot));
        }
    }

    /// Removes all entries of an engine whose cache was cleared without a restart,
    /// such as by a change of weights. A snapshot is needed next.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no free slot.
    pub fn invalidate(&mut self, engine: EngineId) -> Result<(), IndexFull> {
        let Some(position) = self.positions.get(&engine).copied() else {
            return Ok(());
        };
        if let Some(view) = self.view(position) {
            self.reset_view(position, view.next_sequence, true)?;
        }
        Ok(())
    }

    /// Makes `incarnation` the current one of `engine`. Returns false if it has ended
    /// before.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if there is no room for another engine.
    pub fn start_incarnation(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
    ) -> Result<bool, IndexFull> {
        Ok(self.observe(engine, incarnation)?.is_some())
    }

    /// Makes `incarnation` the engine's current one and returns the engine's
    /// position; `None` if the incarnation has ended before.
    fn observe(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
    ) -> Result<Option<u16>, IndexFull> {
        let position = self.position_of(engine)?;
        let known = &self.engines[usize::from(position)];
        if known.view.is_some_and(|view| view.incarnation == incarnation) {
            return Ok(Some(position));
        }
        if known.ended.contains(&incarnation) {
            return Ok(None);
        }
        self.end_incarnation(position);
        let slot = self.allocate_slot(position)?;
        let view = IncarnationView { incarnation, slot, next_sequence: 1, awaits_snapshot: false };
        self.engines[usize::from(position)].view = Some(view);
        Ok(Some(position))
    }

    fn position_of(&mut self, engine: EngineId) -> Result<u16, IndexFull> {
        if let Some(position) = self.positions.get(&engine) {
            return Ok(*position);
        }
        let position = u16::try_from(self.engines.len()).map_err(|_| IndexFull)?;
        self.engines.push(Engine { id: engine, view: None, ended: VecDeque::new() });
        self.positions.insert(engine, position);
        Ok(position)
    }

    pub(crate) fn view(&self, position: u16) -> Option<IncarnationView> {
        self.engines[usize::from(position)].view
    }

    fn end_incarnation(&mut self, position: u16) {
        let engine = &mut self.engines[usize::from(position)];
        if let Some(view) = engine.view.take() {
            self.slots.retire(view.slot);
            if engine.ended.len() == MAX_ENDED_INCARNATIONS {
                engine.ended.pop_front();
            }
            engine.ended.push_back(view.incarnation);
        }
    }

    /// Starts an empty view of the same incarnation. Entries of the previous view stop
    /// counting.
    fn reset_view(
        &mut self,
        position: u16,
        next_sequence: u64,
        awaits_snapshot: bool,
    ) -> Result<Slot, IndexFull> {
        let slot = self.allocate_slot(position)?;
        if let Some(view) = &mut self.engines[usize::from(position)].view {
            self.slots.retire(view.slot);
            *view = IncarnationView { slot, next_sequence, awaits_snapshot, ..*view };
        }
        Ok(slot)
    }

    /// Allocates a slot. Sweeps the whole table first if no slot is free.
    fn allocate_slot(&mut self, position: u16) -> Result<Slot, IndexFull> {
        if let Ok(slot) = self.slots.allocate(position) {
            return Ok(slot);
        }
        for _ in 0..SHARDS {
            self.sweep_shard();
        }
        self.slots.allocate(position)
    }

    /// Removes expired predictions and sweeps one shard of the table. Call this every
    /// few milliseconds or before each lookup.
    pub fn maintain(&mut self, now: Timestamp) {
        self.predictions.expire(now);
        self.sweep_shard();
    }

    fn sweep_shard(&mut self) {
        if !self.slots.retired().is_empty() {
            self.table.sweep_next_shard(self.slots.retired());
            self.slots.record_swept_shard();
        }
    }

    /// Iterates over the engines whose events have a gap and that need a snapshot.
    pub fn awaiting_snapshot(&self) -> impl Iterator<Item = (EngineId, Incarnation)> {
        self.engines.iter().filter_map(|engine| {
            let view = engine.view.filter(|view| view.awaits_snapshot)?;
            Some((engine.id, view.incarnation))
        })
    }

    /// Current incarnation of `engine` and the number of its last applied event.
    pub fn position(&self, engine: EngineId) -> Option<(Incarnation, u64)> {
        let position = self.positions.get(&engine)?;
        self.view(*position).map(|view| (view.incarnation, view.next_sequence - 1))
    }

    /// Current size of the index.
    pub fn size(&self) -> IndexSize {
        IndexSize {
            blocks: self.table.blocks(),
            entries: self.table.entries(),
            predictions: self.predictions.len(),
            heap_bytes: self.table.heap_bytes() + self.predictions.heap_bytes(),
        }
    }
}
