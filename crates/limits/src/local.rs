//! Local enforcement of limits on a router that reaches no owner.
//!
//! The owner of an account may have crashed, or the router may be partitioned from all replicas
//! while other routers still reach the owner. The router then admits its share of
//! [`UNOWNED_FRACTION`] of the limit. The share is derived from the fleet-wide rates in the owner's
//! last answers.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{ChargeRequest, RateLimit, Verdict};
use crate::bucket::TokenBucket;
use crate::owner::{MIN_RETRY_AFTER, RECENT_HALF_LIFE, per_second};
use crate::share::FleetShare;

/// Fraction of a limit that routers admit together while none of them reaches the owner. The rest
/// bounds the excess if others do reach the owner: a third of the routers, such as one zone, that
/// are partitioned for the 4.25 s in which they honour API keys add 0.6 x 4.25 / 3 = 0.85 s of the
/// rate, a tenth of what a window of 8 s with a burst of one second allows.
const UNOWNED_FRACTION: f64 = 0.6;

/// Idle time after which a router's local bucket is created anew.
const LOCAL_BUCKET_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the rate in an owner's answer is used; a multiple of the half-life of recent
/// requests.
const FLEET_RATE_TTL: Duration = Duration::from_secs(10);

/// Idle time after which an account is removed.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of accounts from which on idle ones are removed before another is added.
const CLEANUP_THRESHOLD: usize = 256;

/// A router's bucket for its share of a limit while it reaches no owner.
#[derive(Clone, Copy, Debug)]
struct LocalBucket {
    share: FleetShare,
    bucket: TokenBucket,
    used_at: Timestamp,
}

/// State of one account on a router.
#[derive(Clone, Copy, Debug)]
struct Account {
    /// Units that this router was admitted.
    admitted: Decaying,
    /// Units per second admitted to all routers, from the owner's last answer.
    fleet_per_second: f64,
    local: Option<LocalBucket>,
    /// Time of the owner's last answer.
    owner_answered_at: Option<Timestamp>,
    used_at: Timestamp,
}

impl Account {
    fn new(now: Timestamp) -> Self {
        Account {
            admitted: Decaying::new(RECENT_HALF_LIFE),
            fleet_per_second: 0.0,
            local: None,
            owner_answered_at: None,
            used_at: now,
        }
    }

    /// The router's local bucket, created anew if an owner has answered since it was last used.
    fn local_bucket(&mut self, limit: RateLimit, routers: u32, now: Timestamp) -> &mut LocalBucket {
        let recent =
            self.local.filter(|local| now.since(local.used_at) < LOCAL_BUCKET_IDLE_TIMEOUT);
        let local = recent.unwrap_or_else(|| {
            let admitted_here = per_second(&self.admitted, now);
            let share = FleetShare::by_demand(routers, admitted_here, self.fleet_per_second);
            let level = self.unused_fraction(limit) * local_limit(limit, share).burst;
            let bucket = TokenBucket::at_level(level, local_limit(limit, share), now);
            LocalBucket { share, bucket, used_at: now }
        });
        self.local.insert(LocalBucket { used_at: now, ..local })
    }

    /// Fraction of the limit that was unused at the owner's last answer.
    fn unused_fraction(&self, limit: RateLimit) -> f64 {
        match limit.per_second > 0.0 {
            true => (1.0 - self.fleet_per_second / limit.per_second).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}

/// The limit that a router with this share applies locally.
fn local_limit(limit: RateLimit, share: FleetShare) -> RateLimit {
    RateLimit {
        per_second: share.of_rate(limit.per_second) * UNOWNED_FRACTION,
        burst: share.of_rate(limit.burst) * UNOWNED_FRACTION,
    }
}

/// Limits that a router enforces locally while it reaches no owner.
#[derive(Clone, Debug, Default)]
pub struct LocalLimits {
    accounts: HashMap<String, Account>,
}

impl LocalLimits {
    /// Records the owner's verdict on a request.
    pub fn record_verdict(
        &mut self,
        request: &ChargeRequest<'_>,
        verdict: &Verdict,
        now: Timestamp,
    ) {
        let account = self.account(request.account, now);
        account.local = None;
        account.owner_answered_at = Some(now);
        match verdict {
            Verdict::Admitted { fleet_per_second } => {
                account.admitted.add(request.units, now);
                account.fleet_per_second = *fleet_per_second;
            }
            Verdict::Refused { fleet_per_second, .. } => {
                account.fleet_per_second = *fleet_per_second;
            }
        }
    }

    /// Whether an owner has recently answered for this account. Without the fleet-wide rate the
    /// router's share is unknown, and local decisions refuse most requests within the limit.
    pub fn has_recent_verdict(&self, account: &str, now: Timestamp) -> bool {
        let answered_at = self.accounts.get(account).and_then(|account| account.owner_answered_at);
        answered_at.is_some_and(|at| now.since(at) < FLEET_RATE_TTL)
    }

    /// Decides on a request without an owner. `routers` is the number of live routers, including
    /// this one; `draw` is uniform in 0..1.
    pub fn decide(
        &mut self,
        request: &ChargeRequest<'_>,
        routers: u32,
        now: Timestamp,
        draw: f64,
    ) -> Verdict {
        let account = self.account(request.account, now);
        let fleet_per_second = account.fleet_per_second;
        let local = account.local_bucket(request.limit, routers, now);
        let limit = local_limit(request.limit, local.share);
        if request.is_unconditional {
            local.bucket.take_unconditional(request.units, limit, now);
            return Verdict::Admitted { fleet_per_second };
        }
        match local.bucket.take_probabilistic(request.units, limit, now, draw) {
            Ok(()) => Verdict::Admitted { fleet_per_second },
            Err(wait) => {
                Verdict::Refused { retry_after: wait.max(MIN_RETRY_AFTER), fleet_per_second }
            }
        }
    }

    fn account(&mut self, name: &str, now: Timestamp) -> &mut Account {
        if self.accounts.len() >= CLEANUP_THRESHOLD && !self.accounts.contains_key(name) {
            self.accounts.retain(|_, account| now.since(account.used_at) < ACCOUNT_IDLE_TIMEOUT);
        }
        let account = self.accounts.entry(name.to_owned()).or_insert_with(|| Account::new(now));
        account.used_at = now;
        account
    }
}
