//! Lookup of the engines that hold leading blocks of a prompt.

use juniper_types::{BlockHash, Timestamp};

use crate::index::{Holder, PrefixIndex};
use crate::predictions::PredictionSource;
use crate::slots::{Slot, SlotSet};

impl PrefixIndex {
    /// Returns every engine that holds leading blocks of a prompt, in no particular
    /// order.
    ///
    /// Visits the blocks in order until no engine holds all of them, so the count
    /// of an engine ends at the first evicted block. A binary search over the depth
    /// would be faster but could count blocks beyond an evicted one.
    pub fn lookup(&self, blocks: &[BlockHash], now: Timestamp) -> Vec<Holder> {
        let mut walk = Walk::new(self.slots.len());
        for (depth, block) in blocks.iter().enumerate() {
            walk.found.clear();
            walk.found_predicted.clear();
            self.table.collect_holders(block, &mut walk.found);
            if !self.predictions.is_empty() {
                self.collect_predicted(block, now, &mut walk);
            }
            if depth == 0 {
                walk.start(self.slots.live());
            } else {
                walk.advance(depth as u32);
            }
            if walk.active.is_empty() {
                break;
            }
            walk.depth_reached = depth as u32 + 1;
        }
        self.holders(walk)
    }

    fn collect_predicted(&self, block: &BlockHash, now: Timestamp, walk: &mut Walk) {
        for prediction in self.predictions.get(block) {
            let view = self.view(prediction.engine);
            let current = view.filter(|view| view.incarnation == prediction.incarnation);
            if let Some(view) = current.filter(|_| prediction.expires > now)
                && !walk.found.contains(view.slot)
            {
                walk.found.insert(view.slot);
                walk.found_predicted.push((view.slot, prediction.source));
            }
        }
    }

    fn holders(&self, mut walk: Walk) -> Vec<Holder> {
        let depth_reached = walk.depth_reached;
        let completed = &mut walk.completed;
        walk.active.for_each(|slot| completed.push((slot, depth_reached)));
        let holder = |(slot, blocks): (Slot, u32)| {
            let position = self.slots.engine(slot)?;
            let engine = &self.engines[usize::from(position)];
            let (predicted, source) = walk.predicted[usize::from(slot)];
            let incarnation = engine.view?.incarnation;
            let computed_by = (predicted > 0).then_some(source);
            Some(Holder { engine: engine.id, incarnation, blocks, predicted, computed_by })
        };
        walk.completed.iter().copied().filter_map(holder).collect()
    }
}

/// State of one lookup along a prompt.
struct Walk {
    /// Slots that hold the current block.
    found: SlotSet,
    /// Slots for which the current block is only predicted, with the sources.
    found_predicted: Vec<(Slot, PredictionSource)>,
    /// Slots that hold every visited block.
    active: SlotSet,
    /// By slot: number of predicted blocks, and the source of the last one.
    predicted: Vec<(u32, PredictionSource)>,
    /// Slots that miss a block, with the number of leading blocks they hold.
    completed: Vec<(Slot, u32)>,
    /// Number of leading blocks that the active slots hold.
    depth_reached: u32,
}

impl Walk {
    fn new(slots: usize) -> Self {
        Walk {
            found: SlotSet::with_slots(slots),
            found_predicted: Vec::new(),
            active: SlotSet::default(),
            predicted: vec![(0, PredictionSource::default()); slots],
            completed: Vec::new(),
            depth_reached: 0,
        }
    }

    fn start(&mut self, live: &SlotSet) {
        self.active = live.clone();
        self.active.retain_common(&self.found, |_| {});
        self.count_predicted();
    }

    fn advance(&mut self, depth: u32) {
        let completed = &mut self.completed;
        self.active.retain_common(&self.found, |slot| completed.push((slot, depth)));
        self.count_predicted();
    }

    fn count_predicted(&mut self) {
        for (slot, source) in &self.found_predicted {
            if self.active.contains(*slot) {
                let (count, last) = &mut self.predicted[usize::from(*slot)];
                *count += 1;
                *last = *source;
            }
        }
    }
}
