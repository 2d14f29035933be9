//! Whether another attempt may follow a failed one.
//!
//! Only what is repeatable is tried again, or what certainly did not run, and
//! only within a budget: retries are a bounded share of the requests, so that
//! a fault can't multiply the load that caused it.

use std::time::Duration;

use juniper_settings::TrafficKind;
use juniper_types::Timestamp;

/// Most attempts at one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 3;

/// Retries that may be saved up for a burst of failures.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries allowed per second however few requests come, so that a quiet
/// service isn't left without any.
const FLOOR_PER_SECOND: f64 = 1.0;

/// What came of the attempt before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The back end said, or it is certain, that the request did not run.
    NotRun,
    /// It may have run; nothing of the answer reached the caller.
    Unknown,
    /// Part of the answer reached the caller.
    PartlyAnswered,
}

/// What is asked about another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryQuestion {
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// What came of the last attempt.
    pub outcome: AttemptOutcome,
    /// Whether an answer can go on from where it broke off.
    pub resumable: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Time that an attempt needs at least.
    pub time_needed: Duration,
}

/// Why there is no other attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryDenied {
    /// The request may have run and must not run twice.
    #[error("the request may have run and may not be repeated")]
    NotRepeatable,
    /// Part of the answer is with the caller and the rest can't be had alone.
    #[error("the answer has begun and can't be resumed")]
    NotResumable,
    /// [`MAX_ATTEMPTS`] were made.
    #[error("the request was tried {MAX_ATTEMPTS} times")]
    Attempts,
    /// The deadline leaves no time.
    #[error("the deadline leaves no time for another attempt")]
    Deadline,
    /// The retry budget is spent.
    #[error("the retry budget is spent")]
    Budget,
}

/// Retries allowed: a share of the requests, saved up to a limit.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred requests, with some saved.
    pub fn new(percent: u8) -> Self {
        let mut budget =
            RetryBudget { share: 0.0, saved: MAX_SAVED_RETRIES, refilled_at: Timestamp::ZERO };
        budget.set_percent(percent);
        budget
    }

    /// Changes the share for requests from now on. Zero allows no retries.
    pub fn set_percent(&mut self, percent: u8) {
        self.share = f64::from(percent) / 100.0;
        if percent == 0 {
            self.saved = 0.0;
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.refill(now);
        self.add(self.share);
    }

    /// Allows another attempt and takes it from the budget, or says why not.
    ///
    /// # Errors
    /// The first reason against it; the budget is not touched then.
    pub fn decide(&mut self, question: &RetryQuestion, now: Timestamp) -> Result<(), RetryDenied> {
        check_harmless(question)?;
        if question.attempts >= MAX_ATTEMPTS {
            return Err(RetryDenied::Attempts);
        }
        if question.time_left < question.time_needed {
            return Err(RetryDenied::Deadline);
        }
        self.refill(now);
        if self.saved < 1.0 {
            return Err(RetryDenied::Budget);
        }
        self.saved -= 1.0;
        Ok(())
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        if self.share > 0.0 {
            self.add(elapsed * FLOOR_PER_SECOND);
        }
    }

    fn add(&mut self, retries: f64) {
        self.saved = (self.saved + retries).min(MAX_SAVED_RETRIES);
    }
}

/// Guards the rule that what may not be repeated runs at most once, and that an
/// answer never restarts in front of a caller who has part of it.
fn check_harmless(question: &RetryQuestion) -> Result<(), RetryDenied> {
    if question.kind == TrafficKind::AtMostOnce && question.outcome != AttemptOutcome::NotRun {
        return Err(RetryDenied::NotRepeatable);
    }
    if question.outcome == AttemptOutcome::PartlyAnswered && !question.resumable {
        return Err(RetryDenied::NotResumable);
    }
    Ok(())
}
