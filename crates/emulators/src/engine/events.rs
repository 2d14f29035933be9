//! Cache events: numbered, published late, some lost for good.

use std::collections::VecDeque;
use std::sync::Arc;

use juniper_types::{BlockHash, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::cache::CacheChange;
use super::config::EventFaults;

/// Published events kept for readers that lag; older ones become a gap.
const LOG_LENGTH: usize = 4_096;

/// One change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Grows by one with every event of an incarnation, from 1.
    pub sequence: u64,
    /// Blocks stored, parents first.
    pub stored: Vec<BlockHash>,
    /// Blocks evicted, children first.
    pub removed: Vec<BlockHash>,
}

/// A numbered change and when it is published; lost changes have no event.
#[derive(Clone, Debug)]
struct Entry {
    sequence: u64,
    visible: Timestamp,
    event: Option<Arc<CacheEvent>>,
}

/// The event stream of one incarnation.
#[derive(Clone, Debug)]
pub struct EventFeed {
    faults: EventFaults,
    random: ChaCha8Rng,
    sequence: u64,
    last_visible: Timestamp,
    log: VecDeque<Entry>,
    taken: u64,
}

impl EventFeed {
    /// An empty stream with faults drawn from `seed`.
    pub fn new(faults: EventFaults, seed: u64) -> Self {
        EventFeed {
            faults,
            random: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
            last_visible: Timestamp::ZERO,
            log: VecDeque::new(),
            taken: 0,
        }
    }

    /// Sequence number of the latest change, published or not.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Records `change` at `now`; it is published late, or lost.
    pub fn record(&mut self, change: CacheChange, now: Timestamp) {
        self.sequence += 1;
        let span = self.faults.delay_max.saturating_sub(self.faults.delay_min);
        let extra = self.random.random_range(0..=span.as_micros() as u64);
        let due = now.after(self.faults.delay_min).0 + extra;
        // Events are published in order, so a late one holds up those behind it.
        self.last_visible = self.last_visible.max(Timestamp(due));
        let lost = self.random.random_bool(self.faults.loss.clamp(0.0, 1.0));
        let event =
            CacheEvent { sequence: self.sequence, stored: change.stored, removed: change.removed };
        self.log.push_back(Entry {
            sequence: self.sequence,
            visible: self.last_visible,
            event: (!lost).then(|| Arc::new(event)),
        });
        if self.log.len() > LOG_LENGTH {
            self.log.pop_front();
        }
    }

    fn position_after(&self, after: u64) -> usize {
        self.log.partition_point(|entry| entry.sequence <= after)
    }

    /// Events above `after` that are published by `now`, in order.
    pub fn after(&self, after: u64, now: Timestamp) -> Vec<Arc<CacheEvent>> {
        self.log
            .range(self.position_after(after)..)
            .take_while(|entry| entry.visible <= now)
            .filter_map(|entry| entry.event.clone())
            .collect()
    }

    /// Highest sequence number published by `now`, that of a lost event included:
    /// without it a reader would not notice that the latest event was lost.
    pub fn published(&self, now: Timestamp) -> u64 {
        let visible = self.log.partition_point(|entry| entry.visible <= now);
        let unpublished = self.log.len() - visible;
        self.sequence - unpublished as u64
    }

    /// Events published by `now` that no earlier call returned.
    pub fn take(&mut self, now: Timestamp) -> Vec<Arc<CacheEvent>> {
        let events = self.after(self.taken, now);
        self.taken = self.published(now);
        events
    }

    /// When the first event above `after` is published, if one is under way.
    pub fn next_visible(&self, after: u64) -> Option<Timestamp> {
        self.log.get(self.position_after(after)).map(|entry| entry.visible)
    }
}
