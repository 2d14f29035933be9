//! Predicted cache contents after recently dispatched requests.
//!
//! Cache events arrive with a delay. Until then the blocks of a dispatched prompt
//! count as predicted. A stored event replaces the prediction by an entry;
//! otherwise the prediction expires.

use std::collections::VecDeque;

use juniper_types::{BlockHash, Incarnation, Timestamp};

use crate::table::{BlockMap, map_bytes};

/// Maximum number of predictions; beyond it the oldest are removed.
const MAX_PREDICTIONS: usize = 1 << 20;

/// Identifier, chosen by the caller, of the request that computes a predicted
/// block.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PredictionSource(pub u64);

/// Block expected in the cache of one engine incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prediction {
    /// Position of the engine in the index.
    pub(crate) engine: u16,
    /// Incarnation of the engine.
    pub(crate) incarnation: Incarnation,
    /// Time from which the prediction no longer counts.
    pub(crate) expires: Timestamp,
    /// Request that computes the block.
    pub(crate) source: PredictionSource,
}

/// Predictions by block.
#[derive(Debug, Default)]
pub(crate) struct Predictions {
    by_block: BlockMap<Vec<Prediction>>,
    by_expiry: VecDeque<(Timestamp, BlockHash)>,
}

impl Predictions {
    /// Adds a prediction or extends an existing one, which keeps its source. Must be
    /// called in the order of expiry times.
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
            self.remove_oldest();
        }
    }

    /// Removes the prediction of `block` for `engine`.
    pub(crate) fn remove(&mut self, block: &BlockHash, engine: u16) {
        self.retain(block, |prediction| prediction.engine != engine);
    }

    /// Predictions of `block`, including expired ones.
    pub(crate) fn get(&self, block: &BlockHash) -> &[Prediction] {
        self.by_block.get(block).map_or(&[], Vec::as_slice)
    }

    /// Removes the predictions that have expired by `now`.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self.by_expiry.front().is_some_and(|(expires, _)| *expires <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
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
