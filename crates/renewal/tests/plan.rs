//! Schedule of orders: deadline, spacing, choice of the next server, and failing weights.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_feed::WantedWeights;
use juniper_registry::InstanceId;
use juniper_renewal::{PlanSettings, RenewalPlan, RenewalServer};
use juniper_types::Timestamp;

const SETTINGS: PlanSettings =
    PlanSettings { deadline: Duration::from_secs(6), retry_after: Duration::from_secs(4) };

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn servers(versions: &[u64]) -> Vec<RenewalServer> {
    let server = |(number, version): (usize, &u64)| RenewalServer {
        instance: InstanceId::new(format!("i-{number:03}")),
        model: "m".to_owned(),
        version: *version,
    };
    versions.iter().enumerate().map(server).collect()
}

fn wanted(requested: &[(u64, u64)]) -> BTreeMap<String, WantedWeights> {
    let mut weights = WantedWeights::default();
    for (version, millis) in requested {
        weights.record_version(*version, at(*millis));
    }
    BTreeMap::from([("m".to_owned(), weights)])
}

/// Evaluates the plan every 100 ms; each order takes `load_ms`. Returns the time in milliseconds
/// until all servers had the weights, and the maximum number of concurrent orders.
fn roll_out(count: usize, load_ms: u64) -> (u64, usize) {
    roll_out_from(0, count, load_ms)
}

/// Like [`roll_out`], but without orders before `start_ms`.
fn roll_out_from(start_ms: u64, count: usize, load_ms: u64) -> (u64, usize) {
    let mut servers = servers(&vec![1; count]);
    let wanted = wanted(&[(2, 0)]);
    let mut plan = RenewalPlan::new(SETTINGS);
    let mut loading: Vec<(u64, InstanceId)> = Vec::new();
    let mut max_concurrent = 0;
    for millis in (start_ms..20_000).step_by(100) {
        for (done, instance) in &loading {
            if *done <= millis {
                servers.iter_mut().filter(|s| s.instance == *instance).for_each(|s| s.version = 2);
            }
        }
        loading.retain(|(done, _)| *done > millis);
        if servers.iter().all(|server| server.version == 2) {
            return (millis, max_concurrent);
        }
        while let Some((server, version)) = plan.next(&servers, &wanted, at(millis)) {
            assert_eq!(version, 2);
            plan.record_order(&server, version, at(millis));
            loading.push((millis + load_ms, server.instance));
            max_concurrent = max_concurrent.max(loading.len());
        }
    }
    panic!("some servers don't have the weights");
}

/// Requires more than one order per evaluation of the plan.
#[test]
fn all_of_ninety_servers_are_updated_in_time() {
    let (done, _) = roll_out(90, 1_200);
    assert!(done < 8_000, "{done}");
}

#[test]
fn orders_are_spread_over_the_available_time() {
    let (done, max_concurrent) = roll_out(12, 1_200);
    assert!((4_000..8_000).contains(&done), "{done}");
    assert!(max_concurrent <= 4, "{max_concurrent}");
}

/// After a long partition of the order dispatcher, all servers are overdue at once.
#[test]
fn concurrent_orders_are_bounded_when_all_servers_are_overdue() {
    let (done, max_concurrent) = roll_out_from(9_000, 240, 1_200);
    assert!(max_concurrent <= 82, "{max_concurrent}");
    assert!(done < 9_000 + 5_000, "{done}");
}

#[test]
fn the_most_overdue_server_is_ordered_first_to_load_the_newest_version() {
    let servers = servers(&[2, 1, 3]);
    let wanted = wanted(&[(2, 0), (3, 1_000), (4, 2_000)]);
    let mut plan = RenewalPlan::new(SETTINGS);
    let (server, version) = plan.next(&servers, &wanted, at(2_500)).expect("an order is due");
    assert_eq!((server.instance.as_str(), version), ("i-001", 4));
}

#[test]
fn an_order_is_retried_only_after_a_delay() {
    let servers = servers(&[1]);
    let wanted = wanted(&[(2, 0)]);
    let mut plan = RenewalPlan::new(SETTINGS);
    let id = servers[0].instance.clone();
    plan.record_order(&servers[0], 2, at(0));
    assert_eq!(plan.next(&servers, &wanted, at(3_000)), None);
    assert!(plan.next(&servers, &wanted, at(4_500)).is_some());
    plan.postpone(&id, ("m", 2), Duration::from_millis(300), at(4_500));
    assert_eq!(plan.next(&servers, &wanted, at(4_700)), None);
    assert!(plan.next(&servers, &wanted, at(4_900)).is_some());
}

#[test]
fn nothing_is_ordered_when_all_servers_have_the_weights() {
    let mut plan = RenewalPlan::new(SETTINGS);
    assert_eq!(plan.next(&servers(&[2, 3]), &wanted(&[(2, 0)]), at(9_000)), None);
    assert_eq!(plan.next(&servers(&[1]), &BTreeMap::new(), at(9_000)), None);
}

/// Rollout in which loads crash servers unless `loads_successfully` returns true for their number.
/// A crashed server is back 3 s later, as a new incarnation with version 1. Returns the number of
/// crashes, and the time in milliseconds until all servers had version 2, if they ever did.
fn crashes_in_rollout(
    count: usize,
    seconds: u64,
    loads_successfully: impl Fn(usize) -> bool,
) -> (usize, Option<u64>) {
    let mut servers = servers(&vec![1; count]);
    let wanted = wanted(&[(2, 0)]);
    let mut plan = RenewalPlan::new(SETTINGS);
    let mut loading: Vec<(u64, InstanceId)> = Vec::new();
    let mut returning: Vec<u64> = Vec::new();
    let mut loads = 0;
    let mut crashes = 0;
    for millis in (0..seconds * 1_000).step_by(100) {
        let (done, remaining) = loading.into_iter().partition(|(done, _)| *done <= millis);
        loading = remaining;
        for (_, instance) in done {
            loads += 1;
            let index = servers.iter().position(|server| server.instance == instance);
            let index = index.expect("a known server");
            if loads_successfully(loads) {
                servers[index].version = 2;
                continue;
            }
            crashes += 1;
            servers.remove(index);
            returning.push(millis + 3_000);
        }
        for at in returning.extract_if(.., |at| *at <= millis) {
            let instance = InstanceId::new(format!("again-{at}-{crashes}-{}", servers.len()));
            servers.push(RenewalServer { instance, model: "m".to_owned(), version: 1 });
        }
        if servers.len() == count && servers.iter().all(|server| server.version == 2) {
            return (crashes, Some(millis));
        }
        while let Some((server, version)) = plan.next(&servers, &wanted, at(millis)) {
            plan.record_order(&server, version, at(millis));
            loading.push((millis + 600, server.instance));
        }
    }
    (crashes, None)
}

#[test]
fn weights_that_crash_every_server_are_tried_on_one_server_at_a_time() {
    let (crashes, done) = crashes_in_rollout(90, 20, |_| false);
    // Three crashes, up to ten more orders in flight by then, and then one crash per 3.6 s.
    assert!(crashes <= 3 + 10 + 6, "{crashes} servers crashed in 20 s");
    assert_eq!(done, None);
}

#[test]
fn unrelated_crashes_do_not_delay_a_rollout() {
    // The first three loads crash their servers; the others succeed.
    let (crashes, done) = crashes_in_rollout(30, 20, |load| load > 3);
    assert_eq!(crashes, 3);
    let done = done.expect("all servers have the weights");
    assert!(done <= 8_000, "deadline plus restarted servers: {done}");
}
