//! What other routers say of servers that they can't reach.

mod support;

use juniper_placement::{Choice, Placement, Reason, Reporter};
use juniper_registry::InstanceId;

use support::{at, choose, placement, prompt, request};

const NEAR: &str = "north";

fn hear(placement: &mut Placement, node: u64, zone: &str, server: &InstanceId, reached: bool) {
    placement.apply_peer_reachability(Reporter { node, zone }, server, reached, at(0));
}

/// Two servers, the home of a prompt first.
fn home_of_two() -> (Placement, Choice) {
    let mut placement = placement(2);
    let home = choose(&mut placement, &prompt(1, 1), 0);
    (placement, home)
}

fn goes_home(placement: &mut Placement, home: &Choice, millis: u64) -> bool {
    choose(placement, &prompt(1, 1), millis).instance == home.instance
}

#[test]
fn a_server_that_two_routers_of_the_own_zone_can_not_reach_gets_no_request() {
    let (mut placement, home) = home_of_two();
    hear(&mut placement, 1, NEAR, &home.instance, false);
    hear(&mut placement, 1, NEAR, &home.instance, false);
    assert!(goes_home(&mut placement, &home, 10), "one router may be cut off itself");
    hear(&mut placement, 2, NEAR, &home.instance, false);
    assert!(!goes_home(&mut placement, &home, 10));
}

/// Routers of a zone that is cut off see no server of the others.
#[test]
fn routers_of_one_other_zone_alone_are_not_believed() {
    let (mut placement, home) = home_of_two();
    (1..=6).for_each(|node| hear(&mut placement, node, "south", &home.instance, false));
    assert!(goes_home(&mut placement, &home, 10));
    hear(&mut placement, 7, NEAR, &home.instance, false);
    assert!(!goes_home(&mut placement, &home, 10), "there is always room for another zone");
}

#[test]
fn routers_of_two_zones_are_believed() {
    let (mut placement, home) = home_of_two();
    hear(&mut placement, 1, "south", &home.instance, false);
    hear(&mut placement, 2, "east", &home.instance, false);
    assert!(!goes_home(&mut placement, &home, 10));
}

#[test]
fn a_server_that_a_router_reaches_again_is_used_at_once() {
    let (mut placement, home) = home_of_two();
    hear(&mut placement, 1, NEAR, &home.instance, false);
    hear(&mut placement, 2, NEAR, &home.instance, false);
    hear(&mut placement, 1, NEAR, &home.instance, true);
    assert!(goes_home(&mut placement, &home, 10));
}

/// Whoever has found out may end before the server is back.
#[test]
fn reports_that_nobody_repeats_are_forgotten() {
    let (mut placement, home) = home_of_two();
    hear(&mut placement, 1, NEAR, &home.instance, false);
    hear(&mut placement, 2, NEAR, &home.instance, false);
    assert!(!goes_home(&mut placement, &home, 4_400), "probes come each 2 s");
    assert!(goes_home(&mut placement, &home, 4_600));
}

#[test]
fn where_others_reach_no_server_this_router_tries() {
    let (mut placement, home) = home_of_two();
    for server in ["i-1", "i-2"].map(InstanceId::new) {
        hear(&mut placement, 1, NEAR, &server, false);
        hear(&mut placement, 2, NEAR, &server, false);
    }
    let prompt = prompt(1, 1);
    let choice = placement.choose(&request(&prompt, &[]), at(10), 0).expect("a server");
    assert_eq!((choice.instance, choice.reason), (home.instance, Reason::Home));
}
