//! Cache event stream with sequence numbers, publication delay and simulated loss.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use juniper_types::{BlockHash, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cache::CacheChange;
use super::config::EventFaults;

/// Maximum retained events; a reader that lags further sees a gap.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// Change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, consecutive from 1 within an incarnation.
    pub sequence: u64,
    /// Blocks stored, parents first.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted, children first.
    pub removed: Vec<BlockHash>,
}

/// Change with its publication time; `event` is `None` for a lost one.
#[derive(Clone, Debug)]
struct Entry {
    sequence: u64,
    published_at: Timestamp,
    event: Option<Arc<CacheEvent>>,
}

/// Cache event stream of one incarnation.
#[derive(Clone, Debug)]
pub struct EventFeed {
    faults: EventFaults,
    random: ChaCha8Rng,
    sequence: u64,
    last_published_at: Timestamp,
    log: VecDeque<Entry>,
    last_taken: u64,
}

impl EventFeed {
    /// Creates an empty stream whose delays and losses are drawn from `seed`.
    pub fn new(faults: EventFaults, seed: u64) -> Self {
        EventFeed {
            faults,
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            last_published_at: Timestamp::ZERO,
            log: VecDeque::new(),
            last_taken: 0,
        }
    }

    /// Sequence number of the latest change, published or not.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Records `change` at `now`, to be published after a random delay or lost.
    pub fn record(&mut self, change: CacheChange, now: Timestamp) {
        self.sequence += 1;
        let span = self.faults.delay_max.saturating_sub(self.faults.delay_min);
        let extra = self.random.random_range(0..=span.as_micros() as u64);
        let due = now.after(self.faults.delay_min + Duration::from_micros(extra));
        // Events are published in order, so a delayed event delays all later ones.
        self.last_published_at = self.last_published_at.max(due);
        let lost = self.random.random_bool(self.faults.loss.clamp(0.0, 1.0));
        let event =
            CacheEvent { sequence: self.sequence, stored: change.stored, removed: change.removed };
        self.log.push_back(Entry {
            sequence: self.sequence,
            published_at: self.last_published_at,
            event: (!lost).then(|| Arc::new(event)),
        });
        if self.log.len() > MAX_RETAINED_EVENTS {
            self.log.pop_front();
        }
    }

    fn position_after(&self, after: u64) -> usize {
        self.log.partition_point(|entry| entry.sequence <= after)
    }

    /// Returns the events with sequence numbers above `after` that are published by `now`, in
    /// order.
    pub fn events_after(&self, after: u64, now: Timestamp) -> Vec<Arc<CacheEvent>> {
        self.log
            .range(self.position_after(after)..)
            .take_while(|entry| entry.published_at <= now)
            .filter_map(|entry| entry.event.clone())
            .collect()
    }

    /// Highest sequence number published by `now`. Includes lost events, so that
    /// a reader can detect the loss of the latest event.
    pub fn last_published(&self, now: Timestamp) -> u64 {
        let published = self.log.partition_point(|entry| entry.published_at <= now);
        let unpublished = self.log.len() - published;
        self.sequence - unpublished as u64
    }

    /// Returns the events published by `now` that no earlier call returned.
    pub fn take(&mut self, now: Timestamp) -> Vec<Arc<CacheEvent>> {
        let events = self.events_after(self.last_taken, now);
        self.last_taken = self.last_published(now);
        events
    }

    /// Publication time of the first retained event with a sequence number above `after`, if any.
    pub fn next_publication(&self, after: u64) -> Option<Timestamp> {
        self.log.get(self.position_after(after)).map(|entry| entry.published_at)
    }
}
