//! Retry budget: bounds retries to a share of the requests of a service.
//!
//! The bound holds for all routers together without coordination: each router limits itself to a
//! share of its own requests plus its share of the free retries. A margin covers temporary errors
//! in the number of routers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::Timestamp;

/// Share of the budget that is used. The rest covers errors in the number of routers and retries
/// that a restarted router no longer counts.
const BUDGET_SHARE: f64 = 0.8;

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

/// Use of the retry budget of one service at this router.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryUsage {
    /// Name of the service.
    pub service: String,
    /// Requests within the window.
    pub requests: u32,
    /// Retries granted within the window.
    pub granted: u32,
    /// Retries refused within the window.
    pub refused: u32,
    /// Retries that would be granted now.
    pub available: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
    refused: u32,
}

/// Counts of one service, by bucket.
#[derive(Clone, Debug, Default)]
struct Counts(VecDeque<Bucket>);

impl Counts {
    fn bucket_at(&mut self, number: u64) -> Option<&mut Bucket> {
        while self.0.front().is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number) {
            self.0.pop_front();
        }
        if self.0.back().is_none_or(|bucket| bucket.number < number) {
            self.0.push_back(Bucket { number, ..Bucket::default() });
        }
        self.0.back_mut()
    }

    fn total(&self, count: fn(&Bucket) -> u32) -> u32 {
        self.0.iter().map(count).sum()
    }

    /// Retries that would be granted now, with this number of routers.
    fn available(&self, settings: RetrySettings, routers: u32) -> f64 {
        let requests = f64::from(self.total(|bucket| bucket.requests));
        let free = settings.free / f64::from(routers.max(1));
        let allowed = BUDGET_SHARE * (settings.ratio * requests + free);
        allowed - f64::from(self.total(|bucket| bucket.retries))
    }
}

/// This router's share of the retry budget, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    services: HashMap<String, Counts>,
}

impl RetryBudget {
    /// A budget without any requests or retries.
    pub fn new(settings: RetrySettings) -> Self {
        RetryBudget { settings, services: HashMap::new() }
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        let width = self.settings.window.as_micros() as u64 / u64::from(BUCKETS);
        now.0 / width.max(1)
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Counts a caller's request to the service.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        let number = self.bucket_number(now);
        if let Some(bucket) = self.counts(service).bucket_at(number) {
            bucket.requests += 1;
        }
    }

    /// Takes one retry from the budget. Returns whether `routers` routers together stay within the
    /// bound.
    pub fn take_retry(&mut self, service: &str, routers: u32, now: Timestamp) -> bool {
        let number = self.bucket_number(now);
        let settings = self.settings;
        let counts = self.counts(service);
        if counts.bucket_at(number).is_none() {
            return false;
        }
        let is_allowed = counts.available(settings, routers) >= 1.0;
        if let Some(bucket) = counts.bucket_at(number) {
            match is_allowed {
                true => bucket.retries += 1,
                false => bucket.refused += 1,
            }
        }
        is_allowed
    }

    /// Use of the budget of each service with retries in the window, granted or refused.
    pub fn usage(&mut self, routers: u32, now: Timestamp) -> Vec<RetryUsage> {
        let number = self.bucket_number(now);
        let settings = self.settings;
        let usage = |(service, counts): (&String, &mut Counts)| {
            counts.bucket_at(number);
            RetryUsage {
                service: service.clone(),
                requests: counts.total(|bucket| bucket.requests),
                granted: counts.total(|bucket| bucket.retries),
                refused: counts.total(|bucket| bucket.refused),
                available: counts.available(settings, routers),
            }
        };
        let all = self.services.iter_mut().map(usage);
        all.filter(|usage| usage.granted + usage.refused > 0).collect()
    }
}
