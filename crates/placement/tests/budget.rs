//! The retry budget holds for all routers together, whatever their share.

use std::time::Duration;

use juniper_placement::{ReportBudget, RetryBudget, RetrySettings};
use juniper_types::Timestamp;
use quickcheck::quickcheck;

const SETTINGS: RetrySettings =
    RetrySettings { ratio: 0.2, free: 54.0, window: Duration::from_secs(10) };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_quiet_service_has_its_part_of_the_free_repeats() {
    let mut budget = RetryBudget::new(SETTINGS);
    let taken = (0..100).filter(|_| budget.take("app", 9, at(0))).count();
    assert_eq!(taken, 4);
    assert!(!budget.take("app", 9, at(9_000)));
    assert!(budget.take("app", 9, at(12_000)));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(SETTINGS);
    while budget.take("one", 1, at(0)) {}
    assert!(budget.take("other", 1, at(0)));
}

quickcheck! {
    /// In any window all routers together stay within the bound, even if one of
    /// them has all of the traffic.
    fn routers_together_stay_within_the_bound(routers: u8, load: Vec<(u8, u8)>) -> bool {
        let routers = usize::from(routers % 9) + 1;
        let mut budgets = vec![RetryBudget::new(SETTINGS); routers];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (step, (router, wanted)) in load.iter().enumerate() {
            let now = step as u64 * 137;
            let budget = &mut budgets[usize::from(*router) % routers];
            budget.record_request("app", at(now));
            requests.push(now);
            for _ in 0..*wanted {
                if budget.take("app", routers as u32, at(now)) {
                    repeats.push(now);
                }
            }
        }
        repeats.iter().all(|end| {
            let within = |time: &&u64| **time <= *end && **time + 10_000 > *end;
            let in_window = requests.iter().filter(within).count() as f64;
            let repeated = repeats.iter().filter(within).count() as f64;
            repeated <= SETTINGS.ratio * in_window + SETTINGS.free
        })
    }
}

/// Sightings that each of so many routers tells in ten seconds if it has enough of them.
fn told(routers: u32) -> usize {
    let mut budget = ReportBudget::default();
    let looks = (0..10_000).step_by(25);
    looks
        .map(|millis| {
            let allowed = budget.allowed(routers, at(millis));
            budget.spend(allowed);
            allowed
        })
        .sum()
}

/// Without a bound a router would get 3,600 sightings a second at the size designed for.
#[test]
fn what_a_router_is_told_is_bounded_however_many_routers_there_are() {
    for routers in [1, 7, 78, 340] {
        let received = told(routers) * routers as usize;
        assert!((18_000..=22_500).contains(&received), "{routers} routers: {received} in 10 s");
    }
}
