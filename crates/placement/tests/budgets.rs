//! Bounds of the retry budget and the report budget, which hold for all routers together.

use std::time::Duration;

use juniper_placement::{ReportBudget, RetryBudget, RetrySettings};
use juniper_types::Timestamp;
use quickcheck::quickcheck;

const SETTINGS: RetrySettings =
    RetrySettings { ratio: 0.2, free: 54.0, window: Duration::from_secs(10) };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn shared_by(routers: u32) -> RetryBudget {
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_routers(Some(routers), at(0));
    budget
}

/// Retries granted to a service that asks for one each 100 ms, from `from_ms` on for one window.
fn granted_in_a_window(budget: &mut RetryBudget, from_ms: u64) -> usize {
    let times = (from_ms..from_ms + 10_000).step_by(100);
    times.filter(|millis| budget.take_retry("app", at(*millis), NO_LUCK)).count()
}

/// A draw with which no fraction of a retry is granted.
const NO_LUCK: f64 = 0.999_999;

#[test]
fn quiet_service_gets_its_share_of_the_free_retries() {
    let mut budget = shared_by(9);
    assert!(!budget.take_retry("app", at(0), NO_LUCK));
    for from_ms in [10_000, 30_000, 40_000] {
        let granted = granted_in_a_window(&mut budget, from_ms);
        assert!((3..=5).contains(&granted), "{granted} granted from {from_ms} ms on");
    }
}

/// Guards against a service without any retries because no router can save a whole one.
#[test]
fn many_routers_share_the_free_retries_by_chance() {
    let routers = 200;
    let mut granted = 0;
    for router in 0..routers {
        let mut budget = shared_by(routers);
        let draw = (f64::from(router) + 0.5) / f64::from(routers);
        granted += usize::from(budget.take_retry("app", at(60_000), draw));
    }
    assert!((10..=20).contains(&granted), "{granted} granted");
}

#[test]
fn router_without_a_share_spends_only_what_its_requests_earn() {
    let mut budget = RetryBudget::new(SETTINGS);
    (10_000..20_000).step_by(100).for_each(|millis| budget.record_running(at(millis)));
    assert!(!budget.take_retry("app", at(20_000), NO_LUCK));
    (0..100).for_each(|_| budget.record_request("app", at(20_000)));
    let granted = (0..100).filter(|_| budget.take_retry("app", at(20_000), NO_LUCK)).count();
    assert_eq!(granted, 2);
}

/// Guards against requests that waited for a router and earn beside those of the window.
#[test]
fn after_a_router_stood_still_requests_earn_at_the_earlier_rate() {
    let mut budget = RetryBudget::new(SETTINGS);
    // Ten requests a second for ten seconds, and forty that waited for four seconds.
    (0..100).for_each(|step| budget.record_request("app", at(step * 100)));
    (0..40).for_each(|_| budget.record_request("app", at(14_000)));
    budget.take_retry("app", at(14_000), NO_LUCK);
    let usage = budget.usage(at(15_000)).pop().expect("one service");
    assert_eq!((usage.requests, usage.limited_for), (40, Duration::from_millis(3_100)));
    (14_100..15_000).step_by(100).for_each(|millis| budget.record_running(at(millis)));
    (0..100).for_each(|step| budget.record_request("app", at(15_000 + step * 10)));
    let usage = budget.usage(at(16_000)).pop().expect("one service");
    assert_eq!(usage.requests, 30 + 19, "ten a second since the router runs again");
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = shared_by(1);
    while budget.take_retry("one", at(20_000), NO_LUCK) {}
    assert!(budget.take_retry("other", at(20_000), NO_LUCK));
}

quickcheck! {
    /// In any window all routers together stay within the bound, even if one of them gets all
    /// requests.
    fn all_routers_together_stay_within_the_bound(routers: u8, load: Vec<(u8, u8)>) -> bool {
        let routers = usize::from(routers % 9) + 1;
        let mut budgets = vec![shared_by(routers as u32); routers];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (step, (router, wanted)) in load.iter().enumerate() {
            let now = step as u64 * 137;
            budgets.iter_mut().for_each(|budget| budget.record_running(at(now)));
            let budget = &mut budgets[usize::from(*router) % routers];
            budget.record_request("app", at(now));
            requests.push(now);
            for _ in 0..*wanted {
                if budget.take_retry("app", at(now), 0.0) {
                    retries.push(now);
                }
            }
        }
        retries.iter().all(|end| {
            let within = |time: &&u64| **time <= *end && **time + 10_000 > *end;
            let in_window = requests.iter().filter(within).count() as f64;
            let retried = retries.iter().filter(within).count() as f64;
            retried <= SETTINGS.ratio * in_window + SETTINGS.free
        })
    }
}

/// Reports that each of `routers` routers may send within ten seconds.
fn reports_in_ten_seconds(routers: u32) -> usize {
    let mut budget = ReportBudget::default();
    let polls = (0..10_000).step_by(25);
    polls
        .map(|millis| {
            let allowed = budget.allowed(routers, at(millis));
            budget.spend(allowed);
            allowed
        })
        .sum()
}

/// Guards against a report rate that grows with the number of routers.
#[test]
fn received_reports_are_bounded_for_any_number_of_routers() {
    for routers in [1, 7, 78, 340] {
        let received = reports_in_ten_seconds(routers) * routers as usize;
        assert!((18_000..=22_500).contains(&received), "{routers} routers: {received} in 10 s");
    }
}
