//! Accounts that a control replica owns on behalf of all routers.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{ChargeRequest, RateLimit, Verdict};
use crate::bucket::TokenBucket;

/// Half-life of the counters of an account's recent requests. A tenant sends a few requests through
/// one router in this time.
pub(crate) const RECENT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Idle time after which an account is removed. Its bucket is full again by then.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two removals of idle accounts.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest retry delay given to a caller.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest retry delay given to a caller.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Converts a decaying sum with the half-life [`RECENT_HALF_LIFE`] to units per second.
pub(crate) fn per_second(sum: &Decaying, now: Timestamp) -> f64 {
    sum.at(now) * std::f64::consts::LN_2 / RECENT_HALF_LIFE.as_secs_f64()
}

/// State of one account on its owner.
#[derive(Clone, Copy, Debug)]
struct Account {
    version: u64,
    limit: RateLimit,
    bucket: TokenBucket,
    admitted: Decaying,
    /// Units of recently refused requests, which are expected to be retried.
    refused: Decaying,
    used_at: Timestamp,
}

impl Account {
    fn new(request: &ChargeRequest<'_>, running_for: Duration, now: Timestamp) -> Self {
        Account {
            version: request.version,
            limit: request.limit,
            bucket: TokenBucket::taken_over(request.limit, running_for, now),
            admitted: Decaying::new(RECENT_HALF_LIFE),
            refused: Decaying::new(RECENT_HALF_LIFE),
            used_at: now,
        }
    }

    /// Applies the limit of the request if its version is newer. Routers with an older
    /// configuration don't revert it.
    fn apply_newer_limit(&mut self, request: &ChargeRequest<'_>) {
        if request.version > self.version {
            self.version = request.version;
            self.limit = request.limit;
        }
    }

    fn charge(&mut self, request: &ChargeRequest<'_>, now: Timestamp, draw: f64) -> Verdict {
        let ChargeRequest { units, is_unconditional, reserve, .. } = *request;
        let taken = match is_unconditional {
            true => {
                self.bucket.take_unconditional(units, self.limit, now);
                Ok(())
            }
            false => self.bucket.take_or_overdraw(units, reserve, self.limit, now),
        };
        match taken {
            Ok(()) => {
                self.admitted.add(units, now);
                Verdict::Admitted { fleet_per_second: per_second(&self.admitted, now) }
            }
            Err(_) => {
                let retry_after = self.retry_after(reserve, now, draw);
                self.refused.add(units, now);
                Verdict::Refused { retry_after, fleet_per_second: per_second(&self.admitted, now) }
            }
        }
    }

    /// Time until the bucket holds the reserve, plus a random fraction of the time in which all
    /// recently refused units can be admitted, so that retries are spread out.
    fn retry_after(&self, reserve: f64, now: Timestamp, draw: f64) -> Duration {
        let needed = self.bucket.deficit(reserve) + draw * self.refused.at(now);
        if self.limit.per_second <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let seconds = needed / self.limit.per_second;
        Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }
}

/// Accounts that one replica owns, each with one bucket for all routers.
#[derive(Clone, Debug, Default)]
pub struct LimitOwner {
    accounts: HashMap<String, Account>,
    started_at: Timestamp,
    cleaned_up_at: Timestamp,
}

impl LimitOwner {
    /// Creates the accounts of a replica whose process starts at `started_at`.
    pub fn starting_at(started_at: Timestamp) -> Self {
        LimitOwner { started_at, ..LimitOwner::default() }
    }

    /// Charges a request to its account, or refuses it. `draw` is uniform in 0..1.
    pub fn charge(&mut self, request: &ChargeRequest<'_>, now: Timestamp, draw: f64) -> Verdict {
        self.remove_idle(now);
        if !self.accounts.contains_key(request.account) {
            let account = Account::new(request, now.since(self.started_at), now);
            self.accounts.insert(request.account.to_owned(), account);
        }
        let Some(account) = self.accounts.get_mut(request.account) else {
            unreachable!("the account was inserted above");
        };
        account.used_at = now;
        account.apply_newer_limit(request);
        account.charge(request, now, draw)
    }

    /// Refunds the units of a request that no server has run.
    pub fn refund(&mut self, account: &str, units: f64, now: Timestamp) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.bucket.refund(units);
            account.admitted.add(-units, now);
        }
    }

    /// Number of accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    fn remove_idle(&mut self, now: Timestamp) {
        if now.since(self.cleaned_up_at) >= CLEANUP_INTERVAL {
            self.cleaned_up_at = now;
            self.accounts.retain(|_, account| now.since(account.used_at) < ACCOUNT_IDLE_TIMEOUT);
        }
    }
}
