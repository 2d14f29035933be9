//! How long a router waits for the owner of an account, and how often it asks one that doesn't
//! answer.
//!
//! A caller over its limit should learn so at once, also while the owner is frozen. The router
//! therefore waits for a few round trips only, then decides by its share of the limit
//! ([`LocalLimits`](crate::LocalLimits)). A silent owner is asked again by single requests at
//! growing intervals, while all others are decided without waiting.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::Timestamp;

/// Shortest time to wait for an owner. A round trip takes 1 to 6 ms between most zones, and a
/// refusal should take less than 20 ms.
const MIN_TIMEOUT: Duration = Duration::from_millis(15);

/// Longest time to wait for an owner: zones can be 12 ms apart, a round trip of 24 ms.
const MAX_TIMEOUT: Duration = Duration::from_millis(100);

/// Time to wait relative to the observed round trip.
const ROUND_TRIPS: f64 = 3.0;

/// Weight of the newest round trip in the estimate.
const ROUND_TRIP_WEIGHT: f64 = 0.2;

/// Longest round trip that is counted, relative to the timeout in force. One answer of an owner that
/// was frozen for a moment must not raise the timeout of the requests that follow.
const MAX_COUNTED_TIMEOUTS: f64 = 2.0;

/// Timeout of the first request of a tenant after the router's start. The router then knows nothing
/// about the tenant's usage, and many routers that started together ask the same replicas.
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the router's start in which the first requests of tenants wait longer.
const STARTUP_TIME: Duration = Duration::from_secs(10);

/// Time for which an owner isn't asked after its first timeout. It doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time for which a silent owner isn't asked.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Idle time after which an account is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of accounts from which on idle ones are removed before another is added.
const CLEANUP_THRESHOLD: usize = 256;

/// Whether to ask the owner of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerQuery {
    /// Ask the owner, and decide by the router's share if it doesn't answer in this time.
    Ask(Duration),
    /// Decide by the router's share without asking.
    DecideLocally,
}

/// What a router knows about the owner of one account.
#[derive(Clone, Copy, Debug)]
struct Owner {
    /// Decayed mean of the round trips, in milliseconds. `None` before the first answer.
    round_trip_ms: Option<f64>,
    /// Timeouts since the last answer.
    timeouts: u32,
    /// Time of the last timeout that was counted.
    timed_out_at: Timestamp,
    /// Time before which a silent owner isn't asked again.
    ask_again_at: Timestamp,
    used_at: Timestamp,
}

/// Timeouts for the owners of accounts at one router.
#[derive(Clone, Debug, Default)]
pub struct OwnerTimeout {
    owners: HashMap<String, Owner>,
}

impl OwnerTimeout {
    /// Whether to ask the owner of `account`, which `is_tenant` or a server. `now` is the time since
    /// the router's start.
    pub fn query(&mut self, account: &str, is_tenant: bool, now: Timestamp) -> OwnerQuery {
        let slowest_ms = self.slowest_round_trip_ms();
        let waits_longer = is_tenant && now.since(Timestamp::ZERO) < STARTUP_TIME;
        let Some(owner) = self.owners.get_mut(account) else {
            self.add(account, now);
            let wait = if waits_longer { FIRST_TIMEOUT } else { timeout(slowest_ms) };
            return OwnerQuery::Ask(wait);
        };
        owner.used_at = now;
        if owner.timeouts > 0 {
            if now < owner.ask_again_at {
                return OwnerQuery::DecideLocally;
            }
            // Until this request's answer or timeout, others don't ask.
            owner.ask_again_at = now.after(backoff(owner.timeouts));
        }
        OwnerQuery::Ask(timeout(owner.round_trip_ms.or(slowest_ms)))
    }

    /// Records an answer of the account's owner, also one that arrives after the timeout.
    pub fn record_answer(&mut self, account: &str, round_trip: Duration, now: Timestamp) {
        let Some(owner) = self.owners.get_mut(account) else { return };
        let in_force = timeout(owner.round_trip_ms);
        let round_trip = round_trip.min(in_force.mul_f64(MAX_COUNTED_TIMEOUTS));
        let sample = round_trip.as_secs_f64() * 1_000.0;
        let known = owner.round_trip_ms.unwrap_or(sample);
        owner.round_trip_ms = Some(known + ROUND_TRIP_WEIGHT * (sample - known));
        owner.timeouts = 0;
        owner.ask_again_at = now;
        owner.used_at = now;
    }

    /// Records that the account's owner hasn't answered a request of `asked_at` in time. Requests
    /// that were asked before the last timeout don't lengthen the backoff again.
    pub fn record_timeout(&mut self, account: &str, asked_at: Timestamp, now: Timestamp) {
        let Some(owner) = self.owners.get_mut(account) else { return };
        if owner.timeouts > 0 && asked_at < owner.timed_out_at {
            return;
        }
        owner.timeouts += 1;
        owner.timed_out_at = now;
        owner.ask_again_at = now.after(backoff(owner.timeouts));
    }

    fn add(&mut self, account: &str, now: Timestamp) {
        if self.owners.len() >= CLEANUP_THRESHOLD {
            self.owners.retain(|_, owner| now.since(owner.used_at) < IDLE_TIMEOUT);
        }
        let owner = Owner {
            round_trip_ms: None,
            timeouts: 0,
            timed_out_at: now,
            ask_again_at: now,
            used_at: now,
        };
        self.owners.insert(account.to_owned(), owner);
    }

    /// Slowest known round trip, for accounts whose owner hasn't answered yet.
    fn slowest_round_trip_ms(&self) -> Option<f64> {
        self.owners.values().filter_map(|owner| owner.round_trip_ms).reduce(f64::max)
    }
}

/// Time to wait for an owner with this round trip.
fn timeout(round_trip_ms: Option<f64>) -> Duration {
    let few_ms = round_trip_ms.unwrap_or(0.0) * ROUND_TRIPS;
    Duration::from_secs_f64(few_ms / 1_000.0).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
}

/// Time for which an owner isn't asked after this many timeouts.
fn backoff(timeouts: u32) -> Duration {
    let doublings = timeouts.saturating_sub(1).min(8);
    (FIRST_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF)
}
