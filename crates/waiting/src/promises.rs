//! Promised returns, and how many of them hold.

use std::time::Duration;

use juniper_types::Timestamp;

/// Time after a promised return within which the next request of the same rank stands in for the
/// caller.
const SAMPLE_WINDOW: Duration = Duration::from_millis(300);

/// Largest number of outstanding promises that are kept. A router makes a few per second.
const MAX_OUTSTANDING: usize = 1_024;

/// A promised return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    at: Timestamp,
    rank: u8,
    /// Whether its time has been counted as a return.
    has_returned: bool,
}

/// Promised returns by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromiseCounts {
    /// Promised returns.
    pub promised: u64,
    /// Returns at whose time a request of the same rank was admitted at this router.
    pub held: u64,
    /// Returns at whose time a request of the same rank was refused at this router.
    pub broken: u64,
}

/// Promised returns at one router.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    outstanding: Vec<Promise>,
    counts: PromiseCounts,
}

impl Promises {
    pub(crate) fn add(&mut self, at: Timestamp, rank: u8) {
        self.counts.promised += 1;
        if self.outstanding.len() < MAX_OUTSTANDING {
            self.outstanding.push(Promise { at, rank, has_returned: false });
        }
    }

    /// Number of promises to callers at least as urgent as `rank` for times in `from..until`.
    pub(crate) fn count(&self, rank: u8, from: Timestamp, until: Timestamp) -> usize {
        let within =
            |promise: &&Promise| promise.rank <= rank && promise.at >= from && promise.at < until;
        self.outstanding.iter().filter(within).count()
    }

    /// Removes old promises. Calls `on_return` with the rank of each whose time has come since the
    /// last call.
    pub(crate) fn pass(&mut self, now: Timestamp, mut on_return: impl FnMut(u8)) {
        let due = self.outstanding.iter_mut().filter(|promise| !promise.has_returned);
        for promise in due.filter(|promise| promise.at <= now) {
            promise.has_returned = true;
            on_return(promise.rank);
        }
        self.outstanding.retain(|promise| now <= promise.at.after(SAMPLE_WINDOW));
    }

    /// Counts the outcome of a request for one promise of its rank whose time has come.
    pub(crate) fn sample(&mut self, rank: u8, is_admitted: bool) {
        let due = |promise: &Promise| promise.has_returned && promise.rank == rank;
        let Some(index) = self.outstanding.iter().position(due) else { return };
        self.outstanding.remove(index);
        match is_admitted {
            true => self.counts.held += 1,
            false => self.counts.broken += 1,
        }
    }

    /// Counts since the last call.
    pub(crate) fn take_counts(&mut self) -> PromiseCounts {
        std::mem::take(&mut self.counts)
    }
}
