//! Reports of other routers that a server is unreachable.

mod support;

use std::time::Duration;

use juniper_placement::{Choice, Placement, Reason, Reporter};
use juniper_registry::InstanceId;

use support::{at, choose, placement, prompt, request, send};

const NEAR: &str = "north";

/// Delay of the probe that verifies reports.
const VERIFY_AFTER: Duration = Duration::from_millis(100);

fn report(placement: &mut Placement, node: u64, zone: &str, server: &InstanceId, reached: bool) {
    let reporter = Reporter { node, zone };
    placement.apply_peer_reachability(reporter, server, reached, VERIFY_AFTER, at(0));
}

/// A placement with two servers, and the choice of a prompt's home.
fn two_servers_and_home() -> (Placement, Choice) {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    (placement, home)
}

fn is_sent_home(placement: &mut Placement, home: &Choice, millis: u64) -> bool {
    choose(placement, &prompt(1, 1), millis).instance == home.instance
}

#[test]
fn server_unreachable_from_two_routers_of_the_own_zone_gets_no_requests() {
    let (mut placement, home) = two_servers_and_home();
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 1, NEAR, &home.instance, false);
    assert!(is_sent_home(&mut placement, &home, 10), "a single router may be partitioned");
    report(&mut placement, 2, NEAR, &home.instance, false);
    assert!(!is_sent_home(&mut placement, &home, 10));
}

/// Guards against a partitioned zone: its routers reach no server in other zones.
#[test]
fn reports_from_a_single_other_zone_are_not_trusted() {
    let (mut placement, home) = two_servers_and_home();
    (1..=6).for_each(|node| report(&mut placement, node, "south", &home.instance, false));
    assert!(is_sent_home(&mut placement, &home, 10));
    report(&mut placement, 7, NEAR, &home.instance, false);
    assert!(
        !is_sent_home(&mut placement, &home, 10),
        "a report from another zone is still accepted"
    );
}

#[test]
fn reports_from_two_zones_are_trusted() {
    let (mut placement, home) = two_servers_and_home();
    report(&mut placement, 1, "south", &home.instance, false);
    report(&mut placement, 2, "east", &home.instance, false);
    assert!(!is_sent_home(&mut placement, &home, 10));
}

#[test]
fn server_that_a_router_reaches_again_is_used_at_once() {
    let (mut placement, home) = two_servers_and_home();
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 2, NEAR, &home.instance, false);
    report(&mut placement, 1, NEAR, &home.instance, true);
    assert!(is_sent_home(&mut placement, &home, 10));
}

/// The router that repeats a report may stop before the server is back.
#[test]
fn reports_expire_unless_repeated() {
    let (mut placement, home) = two_servers_and_home();
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 2, NEAR, &home.instance, false);
    assert!(!is_sent_home(&mut placement, &home, 4_400), "probes are sent every 2 s");
    assert!(is_sent_home(&mut placement, &home, 4_600));
}

#[test]
fn router_tries_servers_itself_if_all_are_reported_unreachable() {
    let (mut placement, home) = two_servers_and_home();
    for server in ["i-1", "i-2"].map(InstanceId::new) {
        report(&mut placement, 1, NEAR, &server, false);
        report(&mut placement, 2, NEAR, &server, false);
    }
    let prompt = prompt(1, 1);
    let choice = placement.choose(&request(&prompt, &[]), at(10), 0).expect("a server");
    assert_eq!((choice.instance, choice.reason), (home.instance, Reason::Home));
}

/// Guards against reports of routers that are themselves cut off from all servers.
#[test]
fn reports_of_cut_off_routers_exclude_a_server_that_has_just_answered() {
    let mut placement = placement(2);
    let home = send(&mut placement, &prompt(1, 1), 0);
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 2, NEAR, &home.instance, false);
    assert!(is_sent_home(&mut placement, &home, 300), "it answered 100 ms ago");
}

/// Guards against reports of routers that are cut off from some servers only.
#[test]
fn reports_exclude_a_server_that_a_probe_reaches() {
    let (mut placement, home) = two_servers_and_home();
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 2, NEAR, &home.instance, false);
    assert_eq!(placement.take_due_verifications(at(99)), []);
    assert_eq!(placement.take_due_verifications(at(100)), [(home.instance.clone(), home.address)]);
    assert_eq!(placement.take_due_verifications(at(101)), [], "one probe for all reports");
    placement.record_connected(&home.instance, at(100), at(101));
    report(&mut placement, 1, NEAR, &home.instance, false);
    report(&mut placement, 2, NEAR, &home.instance, false);
    assert!(is_sent_home(&mut placement, &home, 5_000), "their paths are at fault");
    report(&mut placement, 3, NEAR, &home.instance, false);
    report(&mut placement, 4, NEAR, &home.instance, false);
    assert!(!is_sent_home(&mut placement, &home, 1_200), "others' are not");
}

/// Guards against routers that go on reporting a server which they can't reach, but others can.
#[test]
fn reports_that_were_contradicted_are_trusted_again_at_once() {
    let (mut placement, home) = two_servers_and_home();
    let report_at = |placement: &mut Placement, node, reached, seconds: u64| {
        let reporter = Reporter { node, zone: NEAR };
        let now = at(seconds * 1_000);
        placement.apply_peer_reachability(reporter, &home.instance, reached, VERIFY_AFTER, now);
    };
    [1, 2].into_iter().for_each(|node| report_at(&mut placement, node, false, 0));
    assert!(!is_sent_home(&mut placement, &home, 10));
    report_at(&mut placement, 3, true, 1);
    [1, 2].into_iter().for_each(|node| report_at(&mut placement, node, false, 2));
    assert!(is_sent_home(&mut placement, &home, 2_010), "the same routers report again");
    [1, 2].into_iter().for_each(|node| report_at(&mut placement, node, false, 12));
    assert!(!is_sent_home(&mut placement, &home, 12_010), "the contradiction is forgotten");
}
