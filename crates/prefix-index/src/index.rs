//! The exact index: engine lives, their events, and the lookup.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

use crate::event::{CacheEvent, EventOutcome, IndexFull, Snapshot, SnapshotOutcome};
use crate::predictions::{Prediction, PredictionSource, Predictions};
use crate::slots::{Slot, SlotAllocator};
use crate::table::{BlockTable, SHARDS};

/// How long a prediction counts unless an event confirms it: longer than the
/// prefill of a long prompt plus the delay of events, shorter than the seconds
/// within which engines evict.
pub const PREDICTION_LIFETIME: Duration = Duration::from_secs(3);

/// Ended incarnations remembered for each engine, so that late reports of an
/// old life are not taken for a new one.
const REMEMBERED_INCARNATIONS: usize = 8;

/// An engine that holds the start of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineId,
    /// The life it holds the blocks in.
    pub incarnation: Incarnation,
    /// Leading blocks held, without a hole.
    pub blocks: u32,
    /// How many of them are only predicted.
    pub predicted: u32,
    /// The request that computes the last predicted one.
    pub computed_by: Option<PredictionSource>,
}

/// How much the index holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IndexSize {
    /// Distinct blocks.
    pub blocks: usize,
    /// Blocks counted once for each engine that holds them.
    pub entries: usize,
    /// Predictions outstanding.
    pub predictions: usize,
    /// Bytes on the heap.
    pub heap_bytes: usize,
}

/// The current life of one engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Life {
    pub(crate) incarnation: Incarnation,
    pub(crate) slot: Slot,
    next_sequence: u64,
    /// An event was lost: nothing is known until a snapshot comes.
    in_doubt: bool,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) life: Option<Life>,
    ended: VecDeque<Incarnation>,
}

/// Which engine incarnation holds which prompt blocks.
///
/// Invariant: an entry counts only while the life that reported it is the
/// engine's current one and no event of that life is known to be lost.
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
    /// An index that knows nothing.
    pub fn new() -> Self {
        PrefixIndex {
            positions: HashMap::new(),
            engines: Vec::new(),
            slots: SlotAllocator::default(),
            table: BlockTable::new(),
            predictions: Predictions::default(),
        }
    }

    /// Applies events of one engine, in the order given.
    ///
    /// Events of an incarnation not seen before end the life known so far.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
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
            let Some(life) = self.life(position) else {
                return Ok(EventOutcome::StaleIncarnation);
            };
            if life.in_doubt {
                return Ok(EventOutcome::AwaitingSnapshot);
            }
            if event.sequence > life.next_sequence {
                self.renew_life(position, life.next_sequence, true)?;
                return Ok(EventOutcome::Gap { missing: life.next_sequence });
            }
            if event.sequence == life.next_sequence {
                self.apply_event(position, life.slot, event);
            }
        }
        self.sweep_step();
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
        if let Some(life) = &mut self.engines[usize::from(position)].life {
            life.next_sequence += 1;
        }
    }

    /// Replaces what is known of an engine by a snapshot.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
    pub fn apply_snapshot(
        &mut self,
        engine: EngineId,
        snapshot: &Snapshot,
    ) -> Result<SnapshotOutcome, IndexFull> {
        let Some(position) = self.observe(engine, snapshot.incarnation)? else {
            return Ok(SnapshotOutcome::StaleIncarnation);
        };
        let known = self.life(position).map_or(1, |life| life.next_sequence);
        if snapshot.sequence + 1 < known {
            return Ok(SnapshotOutcome::Outdated);
        }
        let slot = self.renew_life(position, snapshot.sequence + 1, false)?;
        for block in &snapshot.blocks {
            self.table.insert(*block, slot);
            self.predictions.remove(block, position);
        }
        Ok(SnapshotOutcome::Applied)
    }

    /// Notes that request `source` with these prompt blocks was sent to an engine
    /// life. Blocks that it is known to hold already are not predicted.
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
        let Some(life) = self.life(position).filter(|life| life.incarnation == incarnation) else {
            return;
        };
        self.predictions.expire(now);
        let expires = now.after(PREDICTION_LIFETIME);
        for block in blocks {
            if !self.table.contains(block, life.slot) {
                let prediction = Prediction { engine: position, incarnation, expires, source };
                self.predictions.insert(*block, prediction);
            }
        }
    }

    /// Voids everything known of an engine that is dead, gone or suspected.
    ///
    /// Should the same incarnation report again, it was suspected wrongly: its
    /// events then have a gap before them and a snapshot is needed.
    pub fn remove_engine(&mut self, engine: EngineId) {
        if let Some(position) = self.positions.get(&engine).copied() {
            let life = self.engines[usize::from(position)].life.take();
            life.iter().for_each(|life| self.slots.retire(life.slot));
        }
    }

    /// Voids everything known of an engine whose cache was emptied while it
    /// lives on, such as by a change of weights. A snapshot is needed next.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another view.
    pub fn invalidate(&mut self, engine: EngineId) -> Result<(), IndexFull> {
        let Some(position) = self.positions.get(&engine).copied() else {
            return Ok(());
        };
        if let Some(life) = self.life(position) {
            self.renew_life(position, life.next_sequence, true)?;
        }
        Ok(())
    }

    /// Makes `incarnation` the current life of `engine` unless it has ended before.
    ///
    /// # Errors
    /// [`IndexFull`] when there is no room for another engine.
    pub fn start_incarnation(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
    ) -> Result<bool, IndexFull> {
        Ok(self.observe(engine, incarnation)?.is_some())
    }

    /// The position of the engine if `incarnation` is, or now became, its life.
    fn observe(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
    ) -> Result<Option<u16>, IndexFull> {
        let position = self.position_of(engine)?;
        let known = &self.engines[usize::from(position)];
        if known.life.is_some_and(|life| life.incarnation == incarnation) {
            return Ok(Some(position));
        }
        if known.ended.contains(&incarnation) {
            return Ok(None);
        }
        self.end_life(position);
        let slot = self.allocate_slot(position)?;
        let life = Life { incarnation, slot, next_sequence: 1, in_doubt: false };
        self.engines[usize::from(position)].life = Some(life);
        Ok(Some(position))
    }

    fn position_of(&mut self, engine: EngineId) -> Result<u16, IndexFull> {
        if let Some(position) = self.positions.get(&engine) {
            return Ok(*position);
        }
        let position = u16::try_from(self.engines.len()).map_err(|_| IndexFull)?;
        self.engines.push(Engine { id: engine, life: None, ended: VecDeque::new() });
        self.positions.insert(engine, position);
        Ok(position)
    }

    pub(crate) fn life(&self, position: u16) -> Option<Life> {
        self.engines[usize::from(position)].life
    }

    fn end_life(&mut self, position: u16) {
        let engine = &mut self.engines[usize::from(position)];
        if let Some(life) = engine.life.take() {
            self.slots.retire(life.slot);
            if engine.ended.len() == REMEMBERED_INCARNATIONS {
                engine.ended.pop_front();
            }
            engine.ended.push_back(life.incarnation);
        }
    }

    /// Gives the same life an empty view; entries of the old view stop counting.
    fn renew_life(
        &mut self,
        position: u16,
        next_sequence: u64,
        in_doubt: bool,
    ) -> Result<Slot, IndexFull> {
        let slot = self.allocate_slot(position)?;
        if let Some(life) = &mut self.engines[usize::from(position)].life {
            self.slots.retire(life.slot);
            *life = Life { slot, next_sequence, in_doubt, ..*life };
        }
        Ok(slot)
    }

    /// Takes a slot; when none is free, the whole table is swept first.
    fn allocate_slot(&mut self, position: u16) -> Result<Slot, IndexFull> {
        if let Ok(slot) = self.slots.allocate(position) {
            return Ok(slot);
        }
        for _ in 0..SHARDS {
            self.sweep_step();
        }
        self.slots.allocate(position)
    }

    /// Drops expired predictions and removes some entries that no longer count.
    /// To be called every few milliseconds, or before each lookup.
    pub fn maintain(&mut self, now: Timestamp) {
        self.predictions.expire(now);
        self.sweep_step();
    }

    fn sweep_step(&mut self) {
        if !self.slots.retired().is_empty() {
            self.table.sweep_next_shard(self.slots.retired());
            self.slots.shard_swept();
        }
    }

    /// The engines whose events have a gap, which need a snapshot.
    pub fn awaiting_snapshot(&self) -> impl Iterator<Item = (EngineId, Incarnation)> {
        self.engines.iter().filter_map(|engine| {
            let life = engine.life.filter(|life| life.in_doubt)?;
            Some((engine.id, life.incarnation))
        })
    }

    /// The current life of `engine` and the last event applied.
    pub fn position(&self, engine: EngineId) -> Option<(Incarnation, u64)> {
        let position = self.positions.get(&engine)?;
        self.life(*position).map(|life| (life.incarnation, life.next_sequence - 1))
    }

    /// How much the index holds now.
    pub fn size(&self) -> IndexSize {
        IndexSize {
            blocks: self.table.blocks(),
            entries: self.table.entries(),
            predictions: self.predictions.len(),
            heap_bytes: self.table.heap_bytes() + self.predictions.heap_bytes(),
        }
    }
}
