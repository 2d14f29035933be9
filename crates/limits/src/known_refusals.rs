//! Refusals of an owner that still hold, so that a router can repeat them without asking again.
//!
//! An owner refuses while its bucket holds less than the reserve, whatever the size of the request
//! ([`TokenBucket::take_or_overdraw`](crate::TokenBucket::take_or_overdraw)). A refusal therefore
//! also holds for smaller requests with the same reserve. The time in a refusal includes a random
//! part that spreads callers, so the bucket may recover earlier. A refusal is repeated for at most a
//! fraction of the time in which an empty bucket fills: the bucket doesn't overflow meanwhile, and
//! no part of the limit is lost.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::account::{ChargeRequest, RateLimit, Verdict};
use crate::owner::{MAX_RETRY_AFTER, MIN_RETRY_AFTER};

/// Longest time for which a refusal is repeated, relative to the time in which an empty bucket
/// fills. Half leaves room for the round trip and for routers that ask at different times.
const MAX_FILL_FRACTION: f64 = 0.5;

/// Number of refusals from which on expired ones are removed before another is added.
const CLEANUP_THRESHOLD: usize = 256;

/// An owner's refusal of one account.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    version: u64,
    reserve: f64,
    fleet_per_second: f64,
    /// Time at which the owner asked the caller to retry.
    retry_at: Timestamp,
    /// Time until which the refusal is repeated.
    holds_until: Timestamp,
    /// Units of the requests refused since.
    refused_units: f64,
}

/// Owners' refusals that a router repeats by itself.
#[derive(Clone, Debug, Default)]
pub struct KnownRefusals {
    refusals: HashMap<String, Refusal>,
}

impl KnownRefusals {
    /// Records the owner's verdict on a request.
    pub fn record_verdict(
        &mut self,
        request: &ChargeRequest<'_>,
        verdict: &Verdict,
        now: Timestamp,
    ) {
        let Verdict::Refused { retry_after, fleet_per_second } = *verdict else {
            self.refusals.remove(request.account);
            return;
        };
        if self.refusals.len() >= CLEANUP_THRESHOLD {
            self.refusals.retain(|_, refusal| now < refusal.holds_until);
        }
        let refusal = Refusal {
            version: request.version,
            reserve: request.reserve,
            fleet_per_second,
            retry_at: now.after(retry_after),
            holds_until: now.after(retry_after.min(longest_hold(request.limit))),
            refused_units: 0.0,
        };
        self.refusals.insert(request.account.to_owned(), refusal);
    }

    /// Repeats an owner's refusal that also holds for this request. The time to retry decreases as
    /// the owner's does, plus a random fraction of the time in which the units refused here since
    /// can be admitted. `draw` is uniform in 0..1.
    pub fn repeat(
        &mut self,
        request: &ChargeRequest<'_>,
        now: Timestamp,
        draw: f64,
    ) -> Option<Verdict> {
        let refusal = self.refusals.get_mut(request.account)?;
        let holds = now < refusal.holds_until
            && request.version <= refusal.version
            && request.reserve >= refusal.reserve
            && !request.is_unconditional;
        if !holds {
            return None;
        }
        let spread = match request.limit.per_second > 0.0 {
            true => draw * refusal.refused_units / request.limit.per_second,
            false => 0.0,
        };
        refusal.refused_units += request.units;
        let spread = Duration::from_secs_f64(spread.min(MAX_RETRY_AFTER.as_secs_f64()));
        let retry_after = refusal.retry_at.since(now) + spread;
        Some(Verdict::Refused {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            fleet_per_second: refusal.fleet_per_second,
        })
    }
}

/// Longest time for which a refusal under this limit is repeated.
fn longest_hold(limit: RateLimit) -> Duration {
    if limit.per_second <= 0.0 {
        return MAX_RETRY_AFTER;
    }
    let seconds = (limit.burst / limit.per_second * MAX_FILL_FRACTION).max(0.0);
    Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
}
