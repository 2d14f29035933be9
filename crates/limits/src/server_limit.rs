//! A router's state of the limit that a server advertises for all routers together.
//!
//! A router observes a limit in the server's answers, or receives it from another router. One
//! account enforces it for all routers, as for limits of tenants. A limit ends when an answer
//! doesn't advertise it, and never expires: the account always admits another request after some
//! time, and its answer shows whether the limit still applies. The rate of a limit that has ended
//! doubles step by step, so that traffic from all routers doesn't return to the server at once.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{RateLimit, Verdict};
use crate::advertised_limit::RequestRate;

/// Interval at which the rate of an ended limit doubles.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of doublings after which an ended limit no longer applies.
const MAX_DOUBLINGS: u64 = 6;

/// Burst of an advertised limit, in seconds of its rate; at least one request.
const BURST_WINDOW_SECONDS: f64 = 0.25;

/// Relative difference up to which an advertised rate counts as unchanged.
const RATE_TOLERANCE: f64 = 0.05;

/// Interval at which an unchanged limit is reported again, by all routers together, for routers
/// that don't know it yet.
const REBROADCAST_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest interval between two reports of a changing limit by one router.
const MIN_CHANGE_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which this router's own observation of a limit overrides a peer's report that it has
/// ended, since the report may be older than the observation.
const OBSERVATION_PRECEDENCE: Duration = Duration::from_millis(300);

/// Longest time for which a server gets no requests after a local refusal. The owner of the
/// account may be reachable again by then.
const MAX_LOCAL_WAIT: Duration = Duration::from_secs(1);

/// Half-life of the utilization of a limit.
const UTILIZATION_HALF_LIFE: Duration = Duration::from_secs(2);

/// State of a server's limit as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerLimit {
    /// Orders the reports about one server; the highest applies.
    pub sequence: u64,
    /// Last advertised rate.
    pub rate: RequestRate,
    /// Whether the limit has ended: the server doesn't advertise it any more.
    pub has_ended: bool,
}

/// Limit that currently applies to the requests of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Rate and burst, in requests.
    pub limit: RateLimit,
    /// Version of the account's limit; the highest applies.
    pub version: u64,
}

/// Component that decided on a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// The replica that owns the account.
    Owner,
    /// This router, within its local share.
    Router,
}

/// A router's state of one server's limit.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimit {
    known: PeerLimit,
    /// When the known state was adopted.
    adopted_at: Timestamp,
    /// When any router last observed that the server advertises the limit.
    last_advertised_at: Timestamp,
    /// When this router last observed that the server advertises the limit.
    last_observed_at: Option<Timestamp>,
    /// When any router last reported the limit.
    last_reported_at: Option<Timestamp>,
    /// Whether a change on this router hasn't been reported to the others yet.
    has_unreported_change: bool,
    /// Until when the server gets no requests because the limit is used up.
    blocked_until: Timestamp,
    /// Recently used share of the limit, over all routers.
    utilization: Decaying,
}

impl ServerLimit {
    /// Creates the state from this router's first observation. `unix_ms` is the wall-clock time; it
    /// orders concurrent first reports of several routers.
    pub fn from_observation(rate: RequestRate, now: Timestamp, unix_ms: u64) -> Self {
        let known = PeerLimit { sequence: unix_ms, rate, has_ended: false };
        ServerLimit { last_observed_at: Some(now), ..Self::new(known, now) }
    }

    /// Creates the state from a peer's report.
    pub fn from_report(reported: PeerLimit, now: Timestamp) -> Self {
        ServerLimit {
            last_reported_at: Some(now),
            has_unreported_change: false,
            ..Self::new(reported, now)
        }
    }

    fn new(known: PeerLimit, now: Timestamp) -> Self {
        let mut utilization = Decaying::new(UTILIZATION_HALF_LIFE);
        // A server advertises a limit when it receives more requests than it can serve.
        utilization.add(1.0, now);
        ServerLimit {
            known,
            adopted_at: now,
            last_advertised_at: now,
            last_observed_at: None,
            last_reported_at: None,
            has_unreported_change: true,
            blocked_until: Timestamp::ZERO,
            utilization,
        }
    }

    /// Last advertised rate.
    pub fn rate(&self) -> RequestRate {
        self.known.rate
    }

    /// Records that an answer to this router advertised `rate`. Returns whether the rate changed.
    pub fn observe_rate(&mut self, rate: RequestRate, now: Timestamp, unix_ms: u64) -> bool {
        let is_same = !self.known.has_ended && is_same_rate(rate, self.known.rate);
        (self.last_advertised_at, self.last_observed_at) = (now, Some(now));
        if !is_same {
            self.set_limit(rate, false, now, unix_ms);
        }
        !is_same
    }

    /// Records that an answer to a request sent at `sent_at` advertised no limit. Returns whether
    /// this ends the limit: an answer to a request sent before the limit was last advertised may
    /// be older than the limit.
    pub fn observe_no_limit(&mut self, sent_at: Timestamp, now: Timestamp, unix_ms: u64) -> bool {
        let has_ended = sent_at > self.last_advertised_at && !self.known.has_ended;
        if has_ended {
            self.set_limit(self.known.rate, true, now, unix_ms);
        }
        has_ended
    }

    /// Applies a peer's report. Returns whether it was newer than the known state.
    pub fn apply_report(&mut self, reported: PeerLimit, now: Timestamp, unix_ms: u64) -> bool {
        if reported.sequence < self.known.sequence {
            return false;
        }
        let observed_recently =
            self.last_observed_at.is_some_and(|at| now.since(at) < OBSERVATION_PRECEDENCE);
        if reported.has_ended && observed_recently && !self.known.has_ended {
            // This router has just observed the limit: report to the others that it still applies.
            self.known.sequence = reported.sequence;
            self.set_limit(self.known.rate, false, now, unix_ms);
            return false;
        }
        let is_newer = reported.sequence > self.known.sequence;
        if is_newer {
            self.blocked_until = self.blocked_until.min(self.scaled_blocked_until(reported, now));
            (self.known, self.adopted_at, self.has_unreported_change) = (reported, now, false);
        }
        if !reported.has_ended {
            self.last_advertised_at = now;
        }
        self.last_reported_at = Some(now);
        is_newer
    }

    /// Returns the state if a report to the other routers is due, and marks it as reported.
    pub fn take_due_report(&mut self, now: Timestamp) -> Option<PeerLimit> {
        let age = self.last_reported_at.map(|at| now.since(at));
        let advertised_now = self.last_advertised_at == now;
        let is_due = match self.has_unreported_change {
            true => age.is_none_or(|age| age >= MIN_CHANGE_REPORT_INTERVAL),
            false => advertised_now && age.is_none_or(|age| age >= REBROADCAST_INTERVAL),
        };
        if !is_due {
            return None;
        }
        (self.last_reported_at, self.has_unreported_change) = (Some(now), false);
        Some(self.known)
    }

    /// Limit on the requests of all routers together, or `None` once an ended limit no longer
    /// applies.
    pub fn allowance(&self, now: Timestamp) -> Option<Allowance> {
        let doublings = self.doublings(now);
        if doublings >= MAX_DOUBLINGS {
            return None;
        }
        let per_second = self.known.rate.per_second() * (doublings as f64).exp2();
        let limit = RateLimit { per_second, burst: (per_second * BURST_WINDOW_SECONDS).max(1.0) };
        Some(Allowance { limit, version: self.known.sequence + doublings })
    }

    /// Records the verdict on a request to the server.
    pub fn record_verdict(&mut self, verdict: &Verdict, by: Decider, now: Timestamp) {
        let fleet_per_second = match *verdict {
            Verdict::Admitted { fleet_per_second } => fleet_per_second,
            Verdict::Refused { retry_after, fleet_per_second } => {
                let wait = match by {
                    Decider::Owner => retry_after,
                    Decider::Router => retry_after.min(MAX_LOCAL_WAIT),
                };
                self.blocked_until = now.after(wait);
                fleet_per_second
            }
        };
        if by == Decider::Owner {
            let used_share = (fleet_per_second / self.known.rate.per_second()).clamp(0.0, 1.0);
            self.utilization = Decaying::new(UTILIZATION_HALF_LIFE);
            self.utilization.add(used_share, now);
        }
    }

    /// Time until a request to the server may be admitted again, or `None` if it may be now.
    pub fn remaining_wait(&self, now: Timestamp) -> Option<Duration> {
        let wait = self.blocked_until.since(now);
        let is_blocked = !wait.is_zero() && self.doublings(now) < MAX_DOUBLINGS;
        is_blocked.then_some(wait)
    }

    /// Recently used share of the limit, over all routers, from 0 to 1.
    pub fn used_share(&self, now: Timestamp) -> f64 {
        match self.doublings(now) {
            0 => self.utilization.at(now).clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    /// Number of times that an ended limit has doubled.
    fn doublings(&self, now: Timestamp) -> u64 {
        if !self.known.has_ended {
            return 0;
        }
        let elapsed = now.since(self.adopted_at).as_millis();
        u64::try_from(elapsed / DOUBLING_INTERVAL.as_millis()).unwrap_or(u64::MAX)
    }

    fn set_limit(&mut self, rate: RequestRate, has_ended: bool, now: Timestamp, unix_ms: u64) {
        // Exceeds every version that the account may have received for the doublings.
        let sequence = unix_ms.max(self.known.sequence + MAX_DOUBLINGS + 1);
        let known = PeerLimit { sequence, rate, has_ended };
        self.blocked_until = self.blocked_until.min(self.scaled_blocked_until(known, now));
        (self.known, self.adopted_at, self.has_unreported_change) = (known, now, true);
    }

    /// End of the current wait, rescaled to the next limit: a higher rate shortens the wait.
    fn scaled_blocked_until(&self, next: PeerLimit, now: Timestamp) -> Timestamp {
        let wait = self.blocked_until.since(now);
        let factor = self.known.rate.per_second() / next.rate.per_second();
        let factor = if next.has_ended { factor / 2.0 } else { factor };
        now.after(wait.mul_f64(factor.min(1.0)))
    }
}

fn is_same_rate(one: RequestRate, other: RequestRate) -> bool {
    let difference = (one.per_second() - other.per_second()).abs();
    difference <= other.per_second() * RATE_TOLERANCE
}
