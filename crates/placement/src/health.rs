//! Whether a server works, by what came of the requests sent to it.

use std::time::Duration;

use juniper_types::Timestamp;

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time in which a share of failures halves when nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Shortest and longest rest of a server that can't be reached.
const MIN_REST: Duration = Duration::from_millis(250);
const MAX_REST: Duration = Duration::from_secs(2);

/// Rest of a server that was full.
const FULL_REST: Duration = Duration::from_millis(120);

/// Weight of one measured time.
const TIME_WEIGHT: f64 = 0.2;

/// Time in which a measured time loses half of its weight.
const TIME_HALF_LIFE: Duration = Duration::from_secs(3);

/// What came of a request that was sent, or was to be sent, to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered, and the answer was passed on.
    Answered,
    /// It answered that it failed.
    ServerError,
    /// Its answer broke off, was no answer, or never came.
    Broken,
    /// It could not be connected to.
    Unreachable,
    /// It said that it did not run the request, because it is full.
    Full,
    /// Another server has its address.
    Replaced,
    /// The caller left; nothing is known of the server.
    Cancelled,
}

/// A value that fades to zero.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    value: f64,
    updated: Timestamp,
}

impl Fading {
    fn at(&self, now: Timestamp, half_life: Duration) -> f64 {
        let halves = now.since(self.updated).as_secs_f64() / half_life.as_secs_f64();
        self.value * (-halves).exp2()
    }

    fn mix(&mut self, sample: f64, weight: f64, now: Timestamp, half_life: Duration) {
        self.value = self.at(now, half_life) * (1.0 - weight) + sample * weight;
        self.updated = now;
    }
}

/// What is known of the health of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: Fading,
    delay_ms: Fading,
    rest: Duration,
    resting_until: Timestamp,
    full_until: Timestamp,
    /// The address belongs to another life.
    pub(crate) replaced: bool,
}

impl Health {
    /// Takes an outcome in.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Timestamp) {
        let failed = match outcome {
            Outcome::Answered => {
                self.rest = Duration::ZERO;
                0.0
            }
            Outcome::ServerError | Outcome::Broken => 1.0,
            Outcome::Unreachable => {
                self.rest = (self.rest * 2).clamp(MIN_REST, MAX_REST);
                self.resting_until = now.after(self.rest);
                1.0
            }
            Outcome::Full => {
                self.full_until = now.after(FULL_REST);
                return;
            }
            Outcome::Replaced => {
                self.replaced = true;
                return;
            }
            Outcome::Cancelled => return,
        };
        self.failures.mix(failed, FAILURE_WEIGHT, now, FAILURE_HALF_LIFE);
    }

    /// Takes in by how much an answer came later than its work explains.
    pub(crate) fn record_delay(&mut self, delay: Duration, now: Timestamp) {
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        self.delay_ms.mix(delay_ms, TIME_WEIGHT, now, TIME_HALF_LIFE);
    }

    /// Share of the latest requests that failed.
    pub(crate) fn failure_share(&self, now: Timestamp) -> f64 {
        self.failures.at(now, FAILURE_HALF_LIFE)
    }

    /// By how much answers came late lately, in milliseconds.
    pub(crate) fn delay_ms(&self, now: Timestamp) -> f64 {
        self.delay_ms.at(now, TIME_HALF_LIFE)
    }

    /// Whether it could not be reached and should be left alone.
    pub(crate) fn is_resting(&self, now: Timestamp) -> bool {
        now < self.resting_until
    }

    /// Whether it was full a moment ago.
    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }
}
