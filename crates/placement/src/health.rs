//! Whether a server works, by what came of the requests sent to it.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Weight of one outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Time in which a share of failures halves when nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Shortest and longest pause between probes of a server that can't be reached; it doubles.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(250);
pub(crate) const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);

/// Time for which a server that was full costs more.
const FULL_PAUSE: Duration = Duration::from_millis(120);

/// Time for which a server is left alone after it has turned a version of weights away,
/// unless its own report names another version before.
const DENIAL_PAUSE: Duration = Duration::from_secs(1);

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
    /// It did not run the request, because it has no weights of this version.
    OtherWeights(u64),
    /// The caller left; nothing is known of the server.
    Cancelled,
}

/// A version of weights that a server has turned away.
#[derive(Clone, Copy, Debug)]
struct Denial {
    version: u64,
    until: Timestamp,
}

/// A server that could not be connected to, or whose connection broke, until a probe of its
/// address succeeds.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    next_probe: Timestamp,
    pause: Duration,
}

/// What is known of the health of a server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failures: Decaying,
    delay_ms: Decaying,
    unreachable: Option<Unreachable>,
    full_until: Timestamp,
    denial: Option<Denial>,
    /// The address belongs to another life.
    pub(crate) replaced: bool,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failures: Decaying::new(FAILURE_HALF_LIFE),
            delay_ms: Decaying::new(TIME_HALF_LIFE),
            unreachable: None,
            full_until: Timestamp::ZERO,
            denial: None,
            replaced: false,
        }
    }
}

impl Health {
    /// Takes an outcome in.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Timestamp) {
        let failed = match outcome {
            Outcome::Answered => {
                self.unreachable = None;
                0.0
            }
            Outcome::ServerError => 1.0,
            Outcome::Broken => {
                // A server that has lost power looks the same until it is tried.
                let (pause, next_probe) = (MIN_PROBE_PAUSE, now);
                self.unreachable.get_or_insert(Unreachable { next_probe, pause });
                1.0
            }
            Outcome::Unreachable => {
                let (pause, next_probe) = (MIN_PROBE_PAUSE, now.after(MIN_PROBE_PAUSE));
                self.unreachable.get_or_insert(Unreachable { next_probe, pause });
                1.0
            }
            Outcome::Full => {
                self.full_until = now.after(FULL_PAUSE);
                return;
            }
            Outcome::Replaced => {
                self.replaced = true;
                return;
            }
            Outcome::OtherWeights(version) => {
                self.denial = Some(Denial { version, until: now.after(DENIAL_PAUSE) });
                return;
            }
            Outcome::Cancelled => return,
        };
        self.failures.mix(failed, FAILURE_WEIGHT, now);
    }

    /// Takes in by how much an answer came later than its work explains.
    pub(crate) fn record_delay(&mut self, delay: Duration, now: Timestamp) {
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        self.delay_ms.mix(delay_ms, TIME_WEIGHT, now);
    }

    /// Share of the latest requests that failed.
    pub(crate) fn failure_share(&self, now: Timestamp) -> f64 {
        self.failures.at(now)
    }

    /// By how much answers came late lately, in milliseconds.
    pub(crate) fn delay_ms(&self, now: Timestamp) -> f64 {
        self.delay_ms.at(now)
    }

    /// Whether it could not be reached, and no probe has succeeded since.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.is_some()
    }

    /// Whether it is to be probed now. If so, the next probe follows after a longer pause.
    pub(crate) fn take_due_probe(&mut self, now: Timestamp) -> bool {
        let Some(unreachable) = &mut self.unreachable else { return false };
        if now < unreachable.next_probe {
            return false;
        }
        unreachable.pause = (unreachable.pause * 2).min(MAX_PROBE_PAUSE);
        unreachable.next_probe = now.after(unreachable.pause);
        true
    }

    /// A probe has succeeded.
    pub(crate) fn reached(&mut self) {
        self.unreachable = None;
    }

    /// Whether it has turned weights of `version` away a moment ago.
    pub(crate) fn denies(&self, version: u64, now: Timestamp) -> bool {
        self.denial.is_some_and(|denial| denial.version == version && now < denial.until)
    }

    /// Whether it was full a moment ago.
    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }
}
