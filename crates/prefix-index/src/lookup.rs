//! The lookup: which engines hold the start of a prompt, and how much of it.

use juniper_types::{BlockHash, Timestamp};

use crate::index::{Holder, PrefixIndex};
use crate::predictions::PredictionSource;
use crate::slots::{Slot, SlotSet};

impl PrefixIndex {
    /// Every engine that holds the start of a prompt, in no particular order.
    ///
    /// The walk visits each block until nobody holds the whole start, so holes
    /// left by evictions end the count where they are. A binary search over
    /// the depth would be faster, but it would count blocks beyond a hole.
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
                walk.step(depth as u32);
            }
            if walk.active.is_empty() {
                break;
            }
            walk.reached = depth as u32 + 1;
        }
        self.holders(walk)
    }

    fn collect_predicted(&self, block: &BlockHash, now: Timestamp, walk: &mut Walk) {
        for prediction in self.predictions.get(block) {
            let life = self.life(prediction.engine);
            let current = life.filter(|life| life.incarnation == prediction.incarnation);
            if let Some(life) = current.filter(|_| prediction.expires > now)
                && !walk.found.contains(life.slot)
            {
                walk.found.insert(life.slot);
                walk.found_predicted.push((life.slot, prediction.source));
            }
        }
    }

    fn holders(&self, mut walk: Walk) -> Vec<Holder> {
        let reached = walk.reached;
        let ended = &mut walk.ended;
        walk.active.for_each(|slot| ended.push((slot, reached)));
        let holder = |(slot, blocks): (Slot, u32)| {
            let position = self.slots.engine(slot)?;
            let engine = &self.engines[usize::from(position)];
            let (predicted, source) = walk.predicted[usize::from(slot)];
            let incarnation = engine.life?.incarnation;
            let computed_by = (predicted > 0).then_some(source);
            Some(Holder { engine: engine.id, incarnation, blocks, predicted, computed_by })
        };
        walk.ended.iter().copied().filter_map(holder).collect()
    }
}

/// Progress of one lookup down a prompt.
struct Walk {
    /// Holders of the block at hand.
    found: SlotSet,
    /// Which of them hold it only by prediction.
    found_predicted: Vec<(Slot, PredictionSource)>,
    /// Slots that hold every block so far.
    active: SlotSet,
    /// Blocks that counted only as predicted, by slot, with the source of the last.
    predicted: Vec<(u32, PredictionSource)>,
    /// Slots that lacked a block, with the blocks they held before it.
    ended: Vec<(Slot, u32)>,
    /// Blocks that the active slots hold.
    reached: u32,
}

impl Walk {
    fn new(slots: usize) -> Self {
        Walk {
            found: SlotSet::with_slots(slots),
            found_predicted: Vec::new(),
            active: SlotSet::default(),
            predicted: vec![(0, PredictionSource::default()); slots],
            ended: Vec::new(),
            reached: 0,
        }
    }

    fn start(&mut self, live: &SlotSet) {
        self.active = live.clone();
        self.active.retain_common(&self.found, |_| {});
        self.count_predicted();
    }

    fn step(&mut self, depth: u32) {
        let ended = &mut self.ended;
        self.active.retain_common(&self.found, |slot| ended.push((slot, depth)));
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
