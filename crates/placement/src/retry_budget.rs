//! Retry budget: bounds retries to a share of the requests of a service.
//!
//! The bound holds for all routers together without coordination, whatever they forget. A router
//! earns retries with the requests that it serves and, for its share of the free retries, with the
//! time for which it runs. It saves only a part of what it has earned, and starts with nothing. In
//! any window all routers and their earlier incarnations then send at most what was saved when the
//! window began, which is a share of the requests of the window before it, and what was earned since.
//! A restart loses savings and grants none, and a request earns retries at one router only.
//!
//! Requests are counted when they are served. A router that stood still serves those that waited for
//! it at once, and callers sent them in an earlier window. For as long as it stood still, requests
//! therefore earn no more often than before.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::Timestamp;

/// Share of the retries for the requests of the last window that can be saved.
const SAVED_BY_REQUESTS: f64 = 0.12;

/// Share of the free retries of a window that can be saved. Larger, so that a quiet service can retry
/// at once.
const SAVED_FREE: f64 = 0.3;

/// Longest time between a caller's request and the arrival of a retry that it earned, beyond the time
/// of the attempts: what the request waits for a router that does not count as having stood still, and
/// what the retry takes until its connection is closed for lack of an acknowledgement.
const MAX_DELAY: Duration = Duration::from_millis(2_200);

/// Longest time between two calls of a router that runs; requests that waited longer were sent in
/// another window. Well above the pauses of a process that shares its processor.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);

/// Buckets of the sliding window.
const BUCKETS: u32 = 10;

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Free retries per window, for all routers together.
    pub free: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl RetrySettings {
    /// Share of the retries of a window that can be earned in it if the given share was saved before.
    /// What is earned in the window and the delay before it can arrive within the window.
    fn earned_share(&self, saved: f64) -> f64 {
        let windows = 1.0 + MAX_DELAY.as_secs_f64() / self.window.as_secs_f64();
        (1.0 - saved) / windows
    }
}

/// Use of the retry budget of one service at this router.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryUsage {
    /// Name of the service.
    pub service: String,
    /// Requests that earned retries within the window.
    pub requests: u32,
    /// Retries granted within the window.
    pub granted: u32,
    /// Retries refused within the window.
    pub refused: u32,
    /// Retries that would be granted now.
    pub available: f64,
    /// Time for which requests still earn at a limited rate, since the router stood still.
    pub limited_for: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
    refused: u32,
}

/// Limit of the requests that earn retries after the router stood still.
#[derive(Clone, Copy, Debug)]
struct EarningLimit {
    per_second: f64,
    available: f64,
    updated: Timestamp,
}

impl EarningLimit {
    fn take(&mut self, now: Timestamp) -> bool {
        self.available += self.per_second * now.since(self.updated).as_secs_f64();
        self.updated = now;
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

/// Account of one service.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Counts within the window.
    buckets: VecDeque<Bucket>,
    /// Earned retries that haven't been spent.
    saved: f64,
    /// Value of [`FreeShare::integral`] up to which free retries were credited.
    credited: f64,
    /// Limit since the router last stood still, at the rate of requests before.
    earning_limit: Option<EarningLimit>,
}

impl Account {
    /// Starts the bucket of this number, and removes those that have left the window.
    fn advance(&mut self, number: u64) {
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + u64::from(BUCKETS) <= number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
    }

    /// Limits the requests that earn to the rate of the last window.
    fn limit_earning(&mut self, window: Duration, now: Timestamp) {
        let requests = f64::from(self.total(|bucket| bucket.requests));
        let per_second = requests / window.as_secs_f64();
        self.earning_limit = Some(EarningLimit { per_second, available: 0.0, updated: now });
    }

    fn total(&self, count: fn(&Bucket) -> u32) -> u32 {
        self.buckets.iter().map(count).sum()
    }

    fn count(&mut self, change: impl FnOnce(&mut Bucket)) {
        if let Some(current) = self.buckets.back_mut() {
            change(current);
        }
    }

    /// Most that can be saved.
    fn max_saved(&self, settings: &RetrySettings, free: &FreeShare) -> f64 {
        let requests = f64::from(self.total(|bucket| bucket.requests));
        let by_requests = SAVED_BY_REQUESTS * settings.ratio * requests;
        by_requests + SAVED_FREE * settings.free * free.current()
    }

    /// Credits the free retries earned since the last credit, and applies the maximum.
    fn credit(&mut self, settings: &RetrySettings, free: &FreeShare) {
        let windows = (free.integral - self.credited) / settings.window.as_secs_f64();
        self.credited = free.integral;
        self.saved += settings.earned_share(SAVED_FREE) * settings.free * windows;
        self.saved = self.saved.min(self.max_saved(settings, free));
    }

    /// Spends one retry. If less than one can be saved at all, the router grants it with the
    /// probability that is saved, so that on average no more is spent. `draw` is uniform in 0..1.
    fn spend(&mut self, max_saved: f64, draw: f64) -> bool {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        max_saved < 1.0 && draw < std::mem::take(&mut self.saved)
    }
}

/// This router's share of the free retries over time.
#[derive(Clone, Copy, Debug)]
struct FreeShare {
    /// Number of routers that share them; `None` while this router has no share.
    routers: Option<u32>,
    /// Integral of the share over the time for which this router has run, in seconds.
    integral: f64,
    updated: Timestamp,
}

impl FreeShare {
    fn current(&self) -> f64 {
        self.routers.map_or(0.0, |routers| 1.0 / f64::from(routers.max(1)))
    }

    fn advance(&mut self, now: Timestamp) {
        self.integral += self.current() * now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
    }
}

/// This router's part of the retry budget, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    free: FreeShare,
    accounts: HashMap<String, Account>,
    /// Time of the last call.
    running_at: Timestamp,
    /// Until when earning is limited.
    limited_until: Timestamp,
}

impl RetryBudget {
    /// A budget without any requests or savings, and without a share of the free retries.
    pub fn new(settings: RetrySettings) -> Self {
        let free = FreeShare { routers: None, integral: 0.0, updated: Timestamp::ZERO };
        RetryBudget {
            settings,
            free,
            accounts: HashMap::new(),
            running_at: Timestamp::ZERO,
            limited_until: Timestamp::ZERO,
        }
    }

    /// Records that the router runs. A router that makes no call for half a second counts as having
    /// stood still. `now` is on a clock that goes on while the machine is suspended.
    pub fn record_running(&mut self, now: Timestamp) {
        let idle = now.since(self.running_at);
        self.running_at = self.running_at.max(now);
        if idle <= MAX_IDLE_TIME {
            return;
        }
        let window = self.settings.window;
        self.limited_until = now.after(idle.min(window));
        self.accounts.values_mut().for_each(|account| account.limit_earning(window, now));
    }

    /// Sets the number of routers that share the free retries from now on; `None` if this router has
    /// no share. All routers together stay within the bound if no router's number is below the
    /// actual one.
    pub fn set_routers(&mut self, routers: Option<u32>, now: Timestamp) {
        self.free.advance(now);
        self.free.routers = routers;
    }

    /// Counts a caller's request to the service, which earns a share of a retry unless it may have
    /// been sent while the router stood still.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        self.record_running(now);
        let earned = self.settings.earned_share(SAVED_BY_REQUESTS) * self.settings.ratio;
        let is_limited = now < self.limited_until;
        let account = self.account(service, now);
        if is_limited && !account.earning_limit.as_mut().is_some_and(|limit| limit.take(now)) {
            return;
        }
        account.saved += earned;
        account.count(|bucket| bucket.requests += 1);
    }

    /// Takes one retry from the budget. Returns whether all routers together stay within the bound.
    /// `draw` is uniform in 0..1.
    pub fn take_retry(&mut self, service: &str, now: Timestamp, draw: f64) -> bool {
        let (settings, free) = (self.settings, self.free);
        let account = self.account(service, now);
        let max_saved = account.max_saved(&settings, &free);
        let is_granted = account.spend(max_saved, draw);
        account.count(|bucket| match is_granted {
            true => bucket.retries += 1,
            false => bucket.refused += 1,
        });
        is_granted
    }

    /// Use of the budget of each service with retries in the window, granted or refused.
    pub fn usage(&mut self, now: Timestamp) -> Vec<RetryUsage> {
        let services: Vec<String> = self.accounts.keys().cloned().collect();
        let limited_for = self.limited_until.since(now);
        let usage = |service: String| {
            let account = self.account(&service, now);
            RetryUsage {
                requests: account.total(|bucket| bucket.requests),
                granted: account.total(|bucket| bucket.retries),
                refused: account.total(|bucket| bucket.refused),
                available: account.saved,
                limited_for,
                service,
            }
        };
        let all = services.into_iter().map(usage);
        all.filter(|usage| usage.granted + usage.refused > 0).collect()
    }

    /// Returns the service's account as of `now`.
    fn account(&mut self, service: &str, now: Timestamp) -> &mut Account {
        self.free.advance(now);
        let width = self.settings.window.as_micros() as u64 / u64::from(BUCKETS);
        let elapsed = now.since(Timestamp::ZERO).as_micros() as u64;
        let number = elapsed / width.max(1);
        let account = self.accounts.entry(service.to_owned()).or_default();
        account.advance(number);
        account.credit(&self.settings, &self.free);
        account
    }
}
