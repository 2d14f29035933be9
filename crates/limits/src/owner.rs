//! The limits that one control replica keeps for all routers.

use std::collections::HashMap;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{ChargeRequest, RateLimit, Verdict};
use crate::bucket::TokenBucket;

/// Half-life of what is known of an account's recent requests. A few requests of a tenant
/// come in it through one router on the deployments that were measured.
pub(crate) const RECENT: Duration = Duration::from_secs(2);

/// Accounts without requests for so long are forgotten. A bucket is full again by then.
const IDLE_BEFORE_FORGOTTEN: Duration = Duration::from_secs(60);

/// Time between two looks for accounts to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest pause asked of a caller.
pub(crate) const MIN_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause asked of a caller.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Units a second that a decaying sum with the half-life [`RECENT`] stands for.
pub(crate) fn per_second(sum: &Decaying, now: Timestamp) -> f64 {
    sum.at(now) * std::f64::consts::LN_2 / RECENT.as_secs_f64()
}

/// What is kept of one account.
#[derive(Clone, Copy, Debug)]
struct Account {
    version: u64,
    limit: RateLimit,
    bucket: TokenBucket,
    admitted: Decaying,
    /// Units of requests that were refused and will come back.
    refused: Decaying,
    used_at: Timestamp,
}

impl Account {
    fn new(request: &ChargeRequest<'_>, now: Timestamp) -> Self {
        Account {
            version: request.version,
            limit: request.limit,
            bucket: TokenBucket::of_unknown_past(request.limit, now),
            admitted: Decaying::new(RECENT),
            refused: Decaying::new(RECENT),
            used_at: now,
        }
    }

    /// Takes over the limit of a newer configuration. A router that still has an older one
    /// doesn't bring its limit back.
    fn learn(&mut self, request: &ChargeRequest<'_>) {
        if request.version > self.version {
            self.version = request.version;
            self.limit = request.limit;
        }
    }

    fn charge(&mut self, request: &ChargeRequest<'_>, now: Timestamp, draw: f64) -> Verdict {
        let ChargeRequest { units, is_certain, reserve, .. } = *request;
        let taken = match is_certain {
            true => {
                self.bucket.take_anyway(units, self.limit, now);
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
                let pause = self.pause(reserve, now, draw);
                self.refused.add(units, now);
                Verdict::Refused { pause, fleet_per_second: per_second(&self.admitted, now) }
            }
        }
    }

    /// Time until the bucket holds the reserve, and a part by chance of the time in which what was
    /// refused of late can be admitted: callers that come back are thereby spread over it.
    fn pause(&self, reserve: f64, now: Timestamp, draw: f64) -> Duration {
        let ahead = self.bucket.lacking(reserve) + draw * self.refused.at(now);
        if self.limit.per_second <= 0.0 {
            return MAX_PAUSE;
        }
        let pause = ahead / self.limit.per_second;
        Duration::from_secs_f64(pause.min(MAX_PAUSE.as_secs_f64())).max(MIN_PAUSE)
    }
}

/// Buckets of the accounts that one replica owns, for all routers.
#[derive(Clone, Debug, Default)]
pub struct LimitOwner {
    accounts: HashMap<String, Account>,
    forgot_at: Timestamp,
}

impl LimitOwner {
    /// Counts a request against its limit, or says why not. `draw` is drawn evenly
    /// from 0 to 1.
    pub fn charge(&mut self, request: &ChargeRequest<'_>, now: Timestamp, draw: f64) -> Verdict {
        self.forget_idle(now);
        if !self.accounts.contains_key(request.account) {
            self.accounts.insert(request.account.to_owned(), Account::new(request, now));
        }
        let Some(account) = self.accounts.get_mut(request.account) else {
            unreachable!("the account was just made");
        };
        account.used_at = now;
        account.learn(request);
        account.charge(request, now, draw)
    }

    /// Takes back what was counted for a request that no server has run.
    pub fn give_back(&mut self, account: &str, units: f64, now: Timestamp) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.bucket.give_back(units);
            account.admitted.add(-units, now);
        }
    }

    /// Accounts that are kept.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    fn forget_idle(&mut self, now: Timestamp) {
        if now.since(self.forgot_at) >= FORGET_INTERVAL {
            self.forgot_at = now;
            self.accounts.retain(|_, account| now.since(account.used_at) < IDLE_BEFORE_FORGOTTEN);
        }
    }
}
