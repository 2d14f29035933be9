//! The retry budget: repeats are a bounded share of the requests of a service.
//!
//! The bound holds for all routers together. Each keeps to its part: the share
//! of its own requests, and the free repeats divided by the number of routers.
//! No router has to be asked, and when the number is wrong by some for a while
//! the margin covers it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use juniper_types::Timestamp;

/// Part of what is allowed that is used. The rest covers the error in the number
/// of routers, and repeats that a router forgets when it restarts.
const USED_PART: f64 = 0.8;

/// Parts in which the window slides.
const BUCKETS: u32 = 10;

/// Bounds on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are free in each window, for all routers together.
    pub free: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Counts of one service.
#[derive(Clone, Debug, Default)]
struct Counts(VecDeque<Bucket>);

impl Counts {
    fn at(&mut self, number: u64) -> Option<&mut Bucket> {
        while self.0.front().is_some_and(|bucket| bucket.number + u64::from(BUCKETS) < number) {
            self.0.pop_front();
        }
        if self.0.back().is_none_or(|bucket| bucket.number < number) {
            self.0.push_back(Bucket { number, ..Bucket::default() });
        }
        self.0.back_mut()
    }

    fn totals(&self) -> (f64, f64) {
        let sum = |count: fn(&Bucket) -> u32| self.0.iter().map(|b| f64::from(count(b))).sum();
        (sum(|bucket| bucket.requests), sum(|bucket| bucket.repeats))
    }
}

/// The part of the budget that one router keeps to, by service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    services: HashMap<String, Counts>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(settings: RetrySettings) -> Self {
        RetryBudget { settings, services: HashMap::new() }
    }

    fn bucket(&self, now: Timestamp) -> u64 {
        let width = self.settings.window.as_micros() as u64 / u64::from(BUCKETS);
        now.0 / width.max(1)
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Counts a caller's request to the service.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        let number = self.bucket(now);
        if let Some(bucket) = self.counts(service).at(number) {
            bucket.requests += 1;
        }
    }

    /// Takes one repeat from the budget, if `routers` routers together stay within it.
    pub fn take(&mut self, service: &str, routers: u32, now: Timestamp) -> bool {
        let number = self.bucket(now);
        let settings = self.settings;
        let counts = self.counts(service);
        if counts.at(number).is_none() {
            return false;
        }
        let (requests, repeats) = counts.totals();
        let free = settings.free / f64::from(routers.max(1));
        let allowed = USED_PART * (settings.ratio * requests + free);
        if repeats + 1.0 > allowed {
            return false;
        }
        if let Some(bucket) = counts.at(number) {
            bucket.repeats += 1;
        }
        true
    }
}
