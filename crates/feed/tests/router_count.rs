//! Number of routers derived from the reports of replicas.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_feed::{RouterCount, RouterCounter};
use juniper_types::NodeId;

const INTERVAL_MS: u64 = 500;

fn boot(millis: u64) -> BootInstant {
    BootInstant::BOOT + Duration::from_millis(millis)
}

fn members(count: u64) -> BTreeSet<NodeId> {
    (1..=count).map(NodeId).collect()
}

/// Lets the replicas report these numbers from `from_ms` until `until_ms`; zero for no report.
fn report(
    counter: &mut RouterCounter,
    numbers: &[u32],
    from_ms: u64,
    until_ms: u64,
) -> Option<RouterCount> {
    let mut latest = None;
    for millis in (from_ms..=until_ms).step_by(INTERVAL_MS as usize) {
        let now = boot(millis);
        for (replica, number) in (1..).map(NodeId).zip(numbers) {
            if *number > 0 {
                counter.record(replica, *number, now);
            }
        }
        latest = counter.count(&members(numbers.len() as u64), now);
    }
    latest
}

fn count(estimate: u32, sharing: Option<u32>) -> Option<RouterCount> {
    Some(RouterCount { estimate, sharing })
}

#[test]
fn nothing_is_shared_before_the_reports_have_settled() {
    let mut counter = RouterCounter::default();
    assert_eq!(counter.count(&members(3), boot(0)), None);
    assert_eq!(report(&mut counter, &[1, 2, 3], 0, 1_500), count(3, None));
    assert_eq!(report(&mut counter, &[7, 6, 7], 2_000, 2_500), count(7, Some(7)));
}

#[test]
fn lower_number_is_used_after_the_retention_time() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    assert_eq!(report(&mut counter, &[3, 3, 3], 3_500, 8_000), count(7, Some(7)));
    assert_eq!(report(&mut counter, &[3, 3, 3], 8_500, 9_000), count(3, Some(3)));
}

#[test]
fn number_of_a_majority_is_a_sum() {
    let mut counter = RouterCounter::default();
    assert_eq!(report(&mut counter, &[4, 3, 0], 0, 3_000), count(4, Some(7)));
}

/// Guards against a share that a router uses while the others don't count it any more.
#[test]
fn minority_uses_no_share() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    assert_eq!(report(&mut counter, &[3, 0, 0], 3_500, 5_500), count(7, Some(7)));
    assert_eq!(report(&mut counter, &[3, 0, 0], 6_000, 6_500), count(7, None));
}

#[test]
fn unconfirmed_replica_is_not_counted() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    for millis in (3_500..7_000).step_by(500) {
        let confirmed_at = boot(3_000);
        (1..4).for_each(|replica| counter.record(NodeId(replica), 2, confirmed_at));
        counter.count(&members(3), boot(millis));
    }
    assert_eq!(counter.count(&members(3), boot(7_000)), count(7, None));
}

#[test]
fn reports_settle_again_after_a_gap() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    let later = boot(20_000);
    assert_eq!(counter.count(&members(3), later), count(7, None));
    assert_eq!(report(&mut counter, &[1, 1, 1], 20_500, 21_500), count(7, None));
    assert_eq!(report(&mut counter, &[6, 7, 7], 22_000, 23_000), count(7, Some(7)));
}

/// Guards against routers that together open more connections than a server accepts, because replicas
/// that restarted know few of them at first.
#[test]
fn low_first_reports_after_a_gap_lower_the_estimate() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    assert_eq!(report(&mut counter, &[1, 2, 1], 20_000, 21_500), count(7, None));
    assert_eq!(report(&mut counter, &[3, 3, 3], 22_000, 28_000), count(3, Some(3)));
}

/// Guards against routers that stood still while replicas restarted, and divide the free retries by the
/// few routers that these know at first.
#[test]
fn routers_that_stood_still_share_by_a_low_first_number() {
    let mut counter = RouterCounter::default();
    report(&mut counter, &[7, 7, 7], 0, 3_000);
    // No call in between, in which the lack of reports would be noticed.
    assert_eq!(report(&mut counter, &[1, 1, 1], 9_000, 10_500), count(7, None));
    assert_eq!(report(&mut counter, &[7, 7, 7], 11_000, 11_500), count(7, Some(7)));
}

#[test]
fn members_of_a_large_group_report_numbers_for_the_whole_fleet() {
    let mut counter = RouterCounter::default();
    let mut numbers = [0; 25];
    numbers[3] = 980;
    numbers[9] = 990;
    assert_eq!(report(&mut counter, &numbers, 0, 3_000), count(990, Some(990)));
}

/// Guards against a router that starts beside replicas without a quorum and takes their numbers, from
/// before its start, for current.
#[test]
fn reports_confirmed_before_the_start_of_the_router_give_it_a_share() {
    let mut counter = RouterCounter::default();
    let boot_of_machine = boot(0);
    for millis in (0..6_000).step_by(500) {
        let confirmed_at = boot_of_machine.before(Duration::from_secs(8));
        (1..4).for_each(|replica| counter.record(NodeId(replica), 2, confirmed_at));
        assert_eq!(counter.count(&members(3), boot(millis)), None);
    }
}
