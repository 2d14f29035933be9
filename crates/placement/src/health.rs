//! Health of a server, based on the outcomes of its requests.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Weight of one outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Half-life of the failure rate while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Bounds on the interval between probes of an unreachable server; it doubles with each probe.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(250);
pub(crate) const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a server that was full has a higher cost.
const FULL_PENALTY_TIME: Duration = Duration::from_millis(120);

/// Weight of one delay sample.
const DELAY_WEIGHT: f64 = 0.2;

/// Half-life of the delay.
const DELAY_HALF_LIFE: Duration = Duration::from_secs(3);

/// Outcome of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered, and the answer was forwarded.
    Answered,
    /// The server answered with an error.
    ServerError,
    /// The answer was interrupted, invalid or missing.
    Interrupted,
    /// The connection failed.
    Unreachable,
    /// The server rejected the request because it is full.
    Full,
    /// Another incarnation listens on the address.
    Replaced,
    /// The server rejected the request because it doesn't have this version of the model's weights.
    VersionMismatch(u64),
    /// The caller disconnected; the request says nothing about the server.
    Cancelled,
}

/// Probe timing of an unreachable server.
#[derive(Clone, Copy, Debug)]
struct ProbeSchedule {
    next_probe: Timestamp,
    interval: Duration,
}

/// Health of one server.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    failure_rate: Decaying,
    delay_ms: Decaying,
    unreachable: Option<ProbeSchedule>,
    /// Whether the latest connection attempt failed.
    connect_failed: bool,
    /// Whether the server was reached through another router since.
    is_tunneled: bool,
    full_until: Timestamp,
    /// Whether another incarnation listens on the address.
    pub(crate) replaced: bool,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            failure_rate: Decaying::new(FAILURE_HALF_LIFE),
            delay_ms: Decaying::new(DELAY_HALF_LIFE),
            unreachable: None,
            connect_failed: false,
            is_tunneled: false,
            full_until: Timestamp::ZERO,
            replaced: false,
        }
    }
}

impl Health {
    /// Records the outcome of a request.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Timestamp) {
        let failure = match outcome {
            Outcome::Answered => {
                // An answer on an established connection doesn't show that new ones succeed.
                if !self.connect_failed {
                    self.unreachable = None;
                }
                0.0
            }
            Outcome::ServerError => 1.0,
            Outcome::Interrupted => {
                // A crashed host looks the same until a connection is tried, so the first probe is
                // due at once.
                let (interval, next_probe) = (MIN_PROBE_INTERVAL, now);
                self.unreachable.get_or_insert(ProbeSchedule { next_probe, interval });
                1.0
            }
            Outcome::Unreachable => {
                self.mark_unreachable(now);
                1.0
            }
            Outcome::Full => {
                self.full_until = now.after(FULL_PENALTY_TIME);
                return;
            }
            Outcome::Replaced => {
                self.replaced = true;
                return;
            }
            Outcome::VersionMismatch(_) | Outcome::Cancelled => return,
        };
        self.failure_rate.mix(failure, FAILURE_WEIGHT, now);
    }

    /// Records by how much the first output exceeded the expected prefill time.
    pub(crate) fn record_delay(&mut self, delay: Duration, now: Timestamp) {
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        self.delay_ms.mix(delay_ms, DELAY_WEIGHT, now);
    }

    /// Failure rate of recent requests, from 0 to 1.
    pub(crate) fn failure_rate(&self, now: Timestamp) -> f64 {
        self.failure_rate.at(now)
    }

    /// Recent delay of the first output, in milliseconds.
    pub(crate) fn delay_ms(&self, now: Timestamp) -> f64 {
        self.delay_ms.at(now)
    }

    /// Whether a connection failed or broke and the server was not reached since, directly or
    /// through another router.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.unreachable.is_some() && !self.is_tunneled
    }

    /// Whether a direct connection failed or broke and none has been established since.
    pub(crate) fn awaits_probe(&self) -> bool {
        self.unreachable.is_some()
    }

    /// Whether the latest attempt of a direct connection failed.
    pub(crate) fn has_connect_failed(&self) -> bool {
        self.connect_failed
    }

    /// Records whether the server was reached through another router.
    pub(crate) fn record_tunnel(&mut self, is_open: bool) {
        self.is_tunneled = is_open;
    }

    /// Whether a probe is due. If so, schedules the next one with a doubled interval.
    pub(crate) fn take_due_probe(&mut self, now: Timestamp) -> bool {
        let Some(unreachable) = &mut self.unreachable else { return false };
        if now < unreachable.next_probe {
            return false;
        }
        unreachable.interval = (unreachable.interval * 2).min(MAX_PROBE_INTERVAL);
        unreachable.next_probe = now.after(unreachable.interval);
        true
    }

    /// Records that a connection attempt failed. Returns whether the one before didn't.
    pub(crate) fn mark_unreachable(&mut self, now: Timestamp) -> bool {
        let is_new = !std::mem::replace(&mut self.connect_failed, true);
        let (interval, next_probe) = (MIN_PROBE_INTERVAL, now.after(MIN_PROBE_INTERVAL));
        self.unreachable.get_or_insert(ProbeSchedule { next_probe, interval });
        is_new
    }

    /// Records a successful probe.
    pub(crate) fn mark_reachable(&mut self) {
        self.connect_failed = false;
        self.is_tunneled = false;
        self.unreachable = None;
    }

    /// Whether the server was recently full.
    pub(crate) fn is_full(&self, now: Timestamp) -> bool {
        now < self.full_until
    }
}
