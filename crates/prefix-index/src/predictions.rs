//! What requests that were just sent are expected to leave in a cache.
//!
//! An engine's events come late; until they do, the blocks of a prompt sent to
//! it count as predicted. A stored event turns a prediction into an entry, the
//! end of its lifetime removes it.

use std::collections::VecDeque;

use juniper_types::{BlockHash, Incarnation, Timestamp};

use crate::table::{BlockMap, map_bytes};

/// Most predictions kept; beyond it the oldest go first.
const MAX_PREDICTIONS: usize = 1 << 20;

/// Names the request whose computing a prediction relies on; the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PredictionSource(pub u64);

/// One block expected in the cache of one engine life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prediction {
    /// Position of the engine in the index.
    pub(crate) engine: u16,
    /// The life it was made for.
    pub(crate) incarnation: Incarnation,
    /// When it stops counting.
    pub(crate) expires: Timestamp,
    /// The request that computes it.
    pub(crate) source: PredictionSource,
}

/// All predictions, by block.
#[derive(Debug, Default)]
pub(crate) struct Predictions {
    by_block: BlockMap<Vec<Prediction>>,
    by_expiry: VecDeque<(Timestamp, BlockHash)>,
}

impl Predictions {
    /// Adds a prediction or moves its expiry; the request that was the first to
    /// compute the block stays its source. Expiries must not go backwards.
    pub(crate) fn insert(&mut self, block: BlockHash, prediction: Prediction) {
        let known = self.by_block.entry(block).or_default();
        match known.iter_mut().find(|other| other.engine == prediction.engine) {
            Some(other) if other.incarnation == prediction.incarnation => {
                other.expires = prediction.expires;
            }
            Some(other) => *other = prediction,
            None => known.push(prediction),
        }
        self.by_expiry.push_back((prediction.expires, block));
        if self.by_expiry.len() > MAX_PREDICTIONS {
            self.drop_oldest();
        }
    }

    /// Removes the prediction of `block` for `engine`.
    pub(crate) fn remove(&mut self, block: &BlockHash, engine: u16) {
        self.retain(block, |prediction| prediction.engine != engine);
    }

    /// Predictions of `block`, the expired included.
    pub(crate) fn get(&self, block: &BlockHash) -> &[Prediction] {
        self.by_block.get(block).map_or(&[], Vec::as_slice)
    }

    /// Drops what expired by `now`.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.front().is_some_and(|(expires, _)| *expires <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((expires, block)) = self.by_expiry.pop_front() {
            self.retain(&block, |prediction| prediction.expires > expires);
        }
    }

    fn retain(&mut self, block: &BlockHash, keep: impl FnMut(&Prediction) -> bool) {
        if let Some(known) = self.by_block.get_mut(block) {
            known.retain(keep);
            if known.is_empty() {
                self.by_block.remove(block);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_block.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_block.values().map(Vec::len).sum()
    }

    pub(crate) fn heap_bytes(&self) -> usize {
        let map = map_bytes(self.by_block.capacity(), size_of::<(BlockHash, Vec<Prediction>)>());
        let lists = self.len() * size_of::<Prediction>();
        map + lists + self.by_expiry.capacity() * size_of::<(Timestamp, BlockHash)>()
    }
}
