//! Retry policy and retry budget.
//!
//! A request is retried only if it is safe to run twice or certainly did not
//! run. The budget bounds retries to a share of the requests, so that a failure
//! can't amplify the load that caused it.

use std::time::Duration;

use juniper_settings::TrafficKind;
use juniper_types::Timestamp;

/// Maximum number of attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of retries that the budget accumulates for bursts of failures.
const MAX_ACCUMULATED_RETRIES: f64 = 20.0;

/// Minimum refill rate of the budget, so that services with little traffic can
/// retry.
const MIN_RETRIES_PER_SECOND: f64 = 1.0;

/// Outcome of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run; nothing of the answer reached the caller.
    Unknown,
    /// Part of the answer reached the caller.
    PartlyAnswered,
}

/// Properties of a request that decide whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Outcome of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether a partial answer can be resumed.
    pub resumable: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Minimum time needed for an attempt.
    pub time_needed: Duration,
}

/// Reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryDenied {
    /// The request may have run and must run at most once.
    #[error("the request may have run and may not be repeated")]
    NotRepeatable,
    /// The caller has part of the answer, and the answer can't be resumed.
    #[error("the answer has begun and can't be resumed")]
    NotResumable,
    /// All [`MAX_ATTEMPTS`] were used.
    #[error("the request was tried {MAX_ATTEMPTS} times")]
    Attempts,
    /// The time until the deadline is too short for another attempt.
    #[error("the deadline leaves no time for another attempt")]
    Deadline,
    /// The retry budget is exhausted.
    #[error("the retry budget is spent")]
    Budget,
}

/// Budget of retries: a share of the requests, accumulated up to a limit.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates an empty budget that grows by `percent` retries per hundred requests. A process
    /// that restarts again and again would otherwise exceed the share of retries.
    pub fn new(percent: u8) -> Self {
        let mut budget = RetryBudget { share: 0.0, available: 0.0, refilled_at: Timestamp::ZERO };
        budget.set_percent(percent);
        budget
    }

    /// Sets the share of retries for later requests. Zero empties the budget.
    pub fn set_percent(&mut self, percent: u8) {
        self.share = f64::from(percent) / 100.0;
        if percent == 0 {
            self.available = 0.0;
        }
    }

    /// Credits the budget for a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.refill(now);
        self.add(self.share);
    }

    /// Spends one retry of the budget if another attempt is allowed.
    ///
    /// # Errors
    /// Returns the first reason against a retry; the budget is then unchanged.
    pub fn decide(&mut self, context: &RetryContext, now: Timestamp) -> Result<(), RetryDenied> {
        check_retry_safety(context)?;
        if context.attempts >= MAX_ATTEMPTS {
            return Err(RetryDenied::Attempts);
        }
        if context.time_left < context.time_needed {
            return Err(RetryDenied::Deadline);
        }
        self.refill(now);
        if self.available < 1.0 {
            return Err(RetryDenied::Budget);
        }
        self.available -= 1.0;
        Ok(())
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.share > 0.0 {
            self.add(elapsed * MIN_RETRIES_PER_SECOND);
        }
    }

    fn add(&mut self, retries: f64) {
        self.available = (self.available + retries).min(MAX_ACCUMULATED_RETRIES);
    }
}

/// Checks that an at-most-once request never runs twice and that an answer never
/// restarts after the caller received part of it.
fn check_retry_safety(context: &RetryContext) -> Result<(), RetryDenied> {
    if context.kind == TrafficKind::AtMostOnce && context.outcome != AttemptOutcome::NotRun {
        return Err(RetryDenied::NotRepeatable);
    }
    if context.outcome == AttemptOutcome::PartlyAnswered && !context.resumable {
        return Err(RetryDenied::NotResumable);
    }
    Ok(())
}
