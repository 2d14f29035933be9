//! Servers that a request can be expected to reach, so that its dispatch is reported at once.

mod support;

use juniper_placement::{Outcome, Placement};
use juniper_registry::InstanceId;

use support::{at, instance, placement};

const CONNECTED_AT_MS: u64 = 100;
const FAILED_AT_MS: u64 = 200;

fn id_of(number: u16) -> InstanceId {
    instance(number, 1).id
}

/// A placement with two servers, of which the first was connected.
fn connected() -> Placement {
    let mut placement = placement(2);
    placement.record_connected(&id_of(1), at(CONNECTED_AT_MS), at(CONNECTED_AT_MS));
    placement
}

/// Guards against late dispatch reports, by which routers choose the same servers.
#[test]
fn paths_are_not_proven_after_a_connection_to_the_service() {
    assert!(connected().is_path_proven(&id_of(1)));
    assert!(connected().is_path_proven(&id_of(2)));
}

#[test]
fn paths_are_proven_before_any_connection() {
    assert!(!placement(2).is_path_proven(&id_of(1)));
}

/// Guards against dispatch reports of a router that is partitioned from all servers.
#[test]
fn paths_are_proven_after_a_failure_that_a_partition_may_explain() {
    let mut placement = connected();
    placement.record_connect_failure(&id_of(2), false, at(FAILED_AT_MS));
    assert!(!placement.is_path_proven(&id_of(1)));
    assert!(!placement.is_path_proven(&id_of(2)));
    placement.record_connected(&id_of(1), at(FAILED_AT_MS), at(FAILED_AT_MS + 1));
    assert!(placement.is_path_proven(&id_of(1)), "the failure is the server's");
    assert!(!placement.is_path_proven(&id_of(2)));
}

#[test]
fn the_path_of_a_broken_connection_is_proven() {
    let mut placement = connected();
    let prompt = support::prompt(1, 1);
    let choice = support::choose(&mut placement, &prompt, FAILED_AT_MS);
    let ticket = placement.begin_request(&choice, true, at(FAILED_AT_MS));
    placement.end_request(ticket, Outcome::Interrupted, at(FAILED_AT_MS));
    assert!(!placement.is_path_proven(&choice.instance));
}

/// Guards against tunnels, and refusals to open them, after the crash of a single server.
#[test]
fn a_router_counts_as_cut_off_after_one_server_failed() {
    let mut placement = placement(3);
    for number in 1..=3 {
        placement.record_connected(&id_of(number), at(CONNECTED_AT_MS), at(CONNECTED_AT_MS));
    }
    placement.record_connect_failure(&id_of(1), false, at(FAILED_AT_MS));
    placement.record_connect_failure(&id_of(1), false, at(FAILED_AT_MS + 1));
    assert!(!placement.is_cut_off(&id_of(2)));
    placement.record_connect_failure(&id_of(2), false, at(FAILED_AT_MS + 2));
    assert!(placement.is_cut_off(&id_of(3)));
}
