//! Loss of many servers within a short time, and how often segments are requested.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Time within which losses count together, and duration of the loss state after the last one.
/// Callers expect full service again two seconds after a crash.
const LOSS_WINDOW: Duration = Duration::from_secs(2);

/// One part in this many of a service's servers must be lost. Fewer happen in every rolling
/// restart, and their segments are recomputed without noticeable queues.
const LOSS_DIVISOR: usize = 10;

/// Maximum number of segments whose requests are counted: about 200 KB. The segments requested
/// within a half-life are fewer in all known deployments.
const MAX_COUNTED_SEGMENTS: usize = 4_096;

/// Half-life of request counts. A segment is hardly ever requested again after 30 s.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(15);

/// Decayed count below which a segment counts as requested once.
const MIN_REPEATED_COUNT: f64 = 1.2;

/// Decayed count from which a lost segment is computed at its home unless that is much busier than
/// other servers.
const POPULAR_COUNT: f64 = 8.0;

/// Losses of one service's servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LossWatch {
    /// Hashes of the incarnations lost within the last window, the oldest first.
    lost: VecDeque<(Timestamp, u64)>,
    until: Timestamp,
}

impl LossWatch {
    /// Records that an incarnation was removed or became unreachable; `servers` is the number of
    /// the service's servers including the lost ones.
    pub(crate) fn record_lost(&mut self, incarnation: u64, servers: usize, now: Timestamp) {
        while self.lost.front().is_some_and(|(at, _)| now.since(*at) >= LOSS_WINDOW) {
            self.lost.pop_front();
        }
        if self.lost.iter().any(|(_, known)| *known == incarnation) {
            return;
        }
        self.lost.push_back((now, incarnation));
        if self.lost.len() * LOSS_DIVISOR >= servers {
            self.until = now.after(LOSS_WINDOW);
        }
    }

    /// Records that a lost incarnation is reachable again: this router was cut off. The state ends
    /// once the remaining losses are few.
    pub(crate) fn record_recovered(&mut self, incarnation: u64, servers: usize) {
        let before = self.lost.len();
        self.lost.retain(|(_, known)| *known != incarnation);
        if self.lost.len() < before && self.lost.len() * LOSS_DIVISOR < servers {
            self.until = Timestamp::ZERO;
        }
    }

    /// Whether many servers were lost recently.
    pub(crate) fn is_active(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

/// Decayed number of requests for each prefix of a service's prompts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentDemand {
    counts: HashMap<u64, Decaying>,
}

impl SegmentDemand {
    /// Records a request for the prefix.
    pub(crate) fn record(&mut self, key: u64, now: Timestamp) {
        let is_new = !self.counts.contains_key(&key);
        if is_new && self.counts.len() >= MAX_COUNTED_SEGMENTS {
            self.remove_least_requested(now);
        }
        let count = self.counts.entry(key).or_insert(Decaying::new(COUNT_HALF_LIFE));
        count.add(1.0, now);
    }

    fn remove_least_requested(&mut self, now: Timestamp) {
        let mut threshold = 0.25;
        while self.counts.len() > MAX_COUNTED_SEGMENTS / 2 {
            self.counts.retain(|_, count| count.at(now) > threshold);
            threshold *= 2.0;
        }
    }

    /// Share, from 0 to 1, of the lost prefix's recomputation that counts as a loss away from its
    /// home: the most requested segments are restored first. Zero if it was requested once:
    /// restoring it would delay others. `None` if it was never requested: nothing was lost.
    pub(crate) fn restoration_share(&self, key: u64, now: Timestamp) -> Option<f64> {
        let count = self.counts.get(&key)?.at(now);
        Some(if count < MIN_REPEATED_COUNT { 0.0 } else { (count / POPULAR_COUNT).min(1.0) })
    }
}
