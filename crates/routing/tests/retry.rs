//! Retry policy and retry budget.

use std::time::Duration;

use juniper_routing::retry::{
    AttemptOutcome, MAX_ATTEMPTS, RetryBudget, RetryContext, RetryDenied,
};
use juniper_settings::TrafficKind;
use juniper_types::Timestamp;
use quickcheck::QuickCheck;

const CHAT: RetryContext = RetryContext {
    kind: TrafficKind::Chat,
    outcome: AttemptOutcome::Unknown,
    resumable: true,
    attempts: 1,
    time_left: Duration::from_secs(5),
    time_needed: Duration::from_millis(20),
};

/// A time at which a budget without requests has accumulated its maximum.
const FULL_AT: Timestamp = Timestamp::from_millis(20_000);

#[test]
fn at_most_once_request_is_retried_only_if_it_did_not_run() {
    let mut budget = RetryBudget::new(10);
    let retry_context = |outcome| RetryContext { kind: TrafficKind::AtMostOnce, outcome, ..CHAT };
    let denied = Err(RetryDenied::NotRepeatable);
    assert_eq!(budget.decide(&retry_context(AttemptOutcome::Unknown), FULL_AT), denied);
    assert_eq!(budget.decide(&retry_context(AttemptOutcome::PartlyAnswered), FULL_AT), denied);
    assert_eq!(budget.decide(&retry_context(AttemptOutcome::NotRun), FULL_AT), Ok(()));
}

#[test]
fn partial_answer_is_retried_only_if_resumable() {
    let mut budget = RetryBudget::new(10);
    let partial = RetryContext { outcome: AttemptOutcome::PartlyAnswered, ..CHAT };
    assert_eq!(budget.decide(&partial, FULL_AT), Ok(()));
    let unresumable = RetryContext { resumable: false, ..partial };
    assert_eq!(budget.decide(&unresumable, FULL_AT), Err(RetryDenied::NotResumable));
}

#[test]
fn attempts_and_time_are_bounded() {
    let mut budget = RetryBudget::new(10);
    let tried = RetryContext { attempts: MAX_ATTEMPTS, ..CHAT };
    assert_eq!(budget.decide(&tried, FULL_AT), Err(RetryDenied::Attempts));
    let late = RetryContext { time_left: Duration::from_millis(10), ..CHAT };
    assert_eq!(budget.decide(&late, FULL_AT), Err(RetryDenied::Deadline));
}

#[test]
fn zero_percent_allows_no_retry() {
    let mut budget = RetryBudget::new(0);
    budget.record_request(Timestamp::from_millis(60_000));
    let result = budget.decide(&CHAT, Timestamp::from_millis(60_000));
    assert_eq!(result, Err(RetryDenied::Budget));
}

#[test]
fn retries_stay_within_the_budget() {
    fn holds(percent: u8, requests: u16) -> bool {
        let percent = percent % 31;
        let requests = u32::from(requests % 5_000);
        let mut budget = RetryBudget::new(percent);
        let mut retries = 0_u32;
        for request in 0..requests {
            let now = Timestamp::from_millis(u64::from(request));
            budget.record_request(now);
            while budget.decide(&CHAT, now).is_ok() {
                retries += 1;
            }
        }
        let share = f64::from(requests) * f64::from(percent) / 100.0;
        let floor = f64::from(requests) / 1_000.0;
        f64::from(retries) <= share + floor + 1.0
    }
    QuickCheck::new().tests(60).quickcheck(holds as fn(u8, u16) -> bool);
}

/// Guards against the maximum of accumulated retries with each restart of a router.
#[test]
fn restarted_router_exceeds_the_share_of_retries() {
    let (percent, requests_per_start, starts) = (10, 50, 20);
    let mut retries = 0;
    for _ in 0..starts {
        let mut budget = RetryBudget::new(percent);
        for request in 0..requests_per_start {
            let now = Timestamp::from_millis(request * 10);
            budget.record_request(now);
            while budget.decide(&CHAT, now).is_ok() {
                retries += 1;
            }
        }
    }
    // A tenth of the requests, and one each second, for 0.5 s of each start.
    assert!(retries <= 100 + 10, "{retries}");
}
