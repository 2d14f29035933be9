//! Rates of a service's requests at one router.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Half-life of the rate of admissions. A router sees 5 to 10 requests of a service per second, too
/// few for a shorter one.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Half-life of the rate of requests, which spans several waves of the load.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(16);

/// Observed time and number of requests from which on the rates are used.
const MIN_OBSERVED: Duration = Duration::from_secs(1);

/// See [`MIN_OBSERVED`].
const MIN_REQUESTS: u32 = 10;

/// Number of events per second, decayed.
#[derive(Clone, Copy, Debug)]
struct Rate {
    events: Decaying,
    half_life_s: f64,
}

impl Rate {
    fn new(half_life: Duration) -> Self {
        Rate { events: Decaying::new(half_life), half_life_s: half_life.as_secs_f64() }
    }

    /// Events per second, if they were counted for `observed_s` seconds.
    fn at(&self, now: Timestamp, observed_s: f64) -> f64 {
        let complete = 1.0 - (-observed_s / self.half_life_s).exp2();
        self.events.at(now) * std::f64::consts::LN_2 / (self.half_life_s * complete.max(1e-3))
    }
}

/// Ranks that are counted separately; less urgent ones count as the last.
const RANKS: usize = 4;

/// Index of a rank in arrays by rank.
fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Rates of a service's requests at one router.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLoad {
    admitted: Rate,
    /// Requests by rank, admitted or refused, without those that returned as promised.
    fresh: [Rate; RANKS],
    requests: u32,
    since: Option<Timestamp>,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        ServiceLoad {
            admitted: Rate::new(RECENT_HALF_LIFE),
            fresh: [Rate::new(MEAN_HALF_LIFE); RANKS],
            requests: 0,
            since: None,
        }
    }
}

impl ServiceLoad {
    /// Time of the first recorded request.
    pub(crate) fn seen_since(&self) -> Option<Timestamp> {
        self.since
    }

    pub(crate) fn record_request(&mut self, rank: u8, is_admitted: bool, now: Timestamp) {
        self.since.get_or_insert(now);
        self.requests = self.requests.saturating_add(1);
        self.add(rank, 1.0, now);
        if is_admitted {
            self.admitted.events.add(1.0, now);
        }
    }

    /// Records a caller that was to return by now, and is among the recorded requests.
    pub(crate) fn record_return(&mut self, rank: u8, now: Timestamp) {
        self.add(rank, -1.0, now);
    }

    fn add(&mut self, rank: u8, count: f64, now: Timestamp) {
        self.fresh[index(rank)].events.add(count, now);
    }

    /// Rates from which the load of callers of this rank is predicted; `None` for too short a time
    /// after a start.
    pub(crate) fn forecast(&self, rank: u8, now: Timestamp) -> Option<Forecast> {
        let observed = now.since(self.since?);
        if observed < MIN_OBSERVED || self.requests < MIN_REQUESTS {
            return None;
        }
        let observed_s = observed.as_secs_f64();
        let rate = |rate: &Rate| rate.at(now, observed_s).max(0.0);
        let sum = |rates: &[Rate]| rates.iter().map(rate).sum::<f64>();
        let urgent = index(rank);
        Some(Forecast {
            capacity: (rate(&self.admitted) - sum(&self.fresh[..urgent])).max(0.0),
            fresh: rate(&self.fresh[urgent]),
        })
    }
}

/// Prediction of the load of one rank at one router, in requests per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Requests that were admitted lately, beyond those of more urgent ranks.
    pub(crate) capacity: f64,
    /// Requests of the rank, without returns, in the mean over several waves.
    pub(crate) fresh: f64,
}
