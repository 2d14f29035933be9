//! Times at which refused callers of one service should return.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::load::{Forecast, ServiceLoad};
use crate::phases::Phases;
use crate::promises::{PromiseCounts, Promises};

/// Share of the remaining time within which callers return; they ignore a longer `Retry-After`.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;

/// Shortest time to a return. Queues and reports hardly change in a shorter time.
const MIN_WAIT: Duration = Duration::from_millis(30);

/// Time span for which returns are counted together.
const SPAN: Duration = Duration::from_millis(50);

/// Furthest return that is promised: predictions of the load don't reach further.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Requests that may arrive, relative to those that can be served. At 1 / 0.85 a caller is served
/// with a probability of 0.85, if returns are treated like other requests; at least 0.8 must be.
const MAX_ARRIVALS: f64 = 1.0 / 0.85;

/// Time for which free capacity that no return uses remains available: the length of a queue that
/// is still in time.
const UNUSED_TIME: Duration = Duration::from_millis(200);

/// When a refused caller should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// After this time.
    At(Duration),
    /// Not at all: no capacity is expected to be free in the time left.
    Final,
}

/// Schedule of the returns of one service's callers at one router.
///
/// While a service is overloaded, a returning caller competes with all new ones, so returns are only
/// promised for the time after the overload, as far as the capacity exceeds the mean load.
///
/// The capacity is what this router was admitted lately. This is its share of the capacity of all
/// routers, and returning callers are spread over the routers as all callers are, so the rate isn't
/// divided by the number of routers.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    load: ServiceLoad,
    promises: Promises,
    phases: Phases,
    /// Time at which the overload is expected to have ended.
    overload_ends: Timestamp,
}

impl ReturnSchedule {
    /// Records a request that was admitted.
    pub fn record_admission(&mut self, rank: u8, now: Timestamp) {
        self.record(rank, true, now);
    }

    /// Records the time after which the overload is expected to end, as of a refusal.
    pub fn record_overload(&mut self, ends_in: Duration, now: Timestamp) {
        self.overload_ends = now.after(ends_in);
    }

    /// Records a refused caller of this rank (0 is the most urgent) and returns when it should
    /// return. `random` is uniform in 0..1.
    pub fn next(&mut self, rank: u8, time_left: Duration, now: Timestamp, random: f64) -> Return {
        self.record(rank, false, now);
        let phase_ends = self.phases.record_refusal(self.load.seen_since().unwrap_or(now), now);
        let latest = time_left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT);
        let earliest = self.overload_ends.since(now).max(MIN_WAIT);
        if earliest > latest {
            return Return::Final;
        }
        // After a start nothing is known and nothing is promised. With a promise to one caller at a
        // time, at a random time, a third of all promises were broken in slow waves.
        let wait = self.load.forecast(rank, now).zip(phase_ends).and_then(|(forecast, ends)| {
            let earliest = earliest.max(ends);
            self.first_free(rank, (earliest, latest), now, &forecast, random)
        });
        let Some(wait) = wait else { return Return::Final };
        self.promises.add(now.after(wait), rank);
        Return::At(wait)
    }

    /// Promised returns since the last call, by outcome. Returning callers can't be recognized, and
    /// most return to other routers, so the next request of the same rank at this router stands in
    /// for each.
    pub fn take_counts(&mut self) -> PromiseCounts {
        self.promises.take_counts()
    }

    fn record(&mut self, rank: u8, is_admitted: bool, now: Timestamp) {
        let load = &mut self.load;
        self.promises.pass(now, |rank| load.record_return(rank, now));
        self.promises.sample(rank, is_admitted);
        self.load.record_request(rank, is_admitted, now);
    }

    /// First time in `earliest..=latest` at which capacity is free for one more return.
    fn first_free(
        &self,
        rank: u8,
        (earliest, latest): (Duration, Duration),
        now: Timestamp,
        forecast: &Forecast,
        random: f64,
    ) -> Option<Duration> {
        let limit = forecast.capacity * MAX_ARRIVALS;
        let max_unused = 1.0 + limit * UNUSED_TIME.as_secs_f64();
        // Routers refuse at the same times, and a random start keeps their returns apart.
        let mut free = random;
        let mut wait = earliest;
        while wait <= latest {
            let until = wait + SPAN;
            let per_second = (limit - forecast.fresh).max(0.0);
            let promised = self.promises.count(rank, now.after(wait), now.after(until)) as f64;
            free = (free + per_second * SPAN.as_secs_f64() - promised).min(max_unused);
            if free >= 1.0 {
                return Some((wait + SPAN.mul_f64(random)).min(latest));
            }
            wait = until;
        }
        None
    }
}
