//! Probes of reference servers, which tell an unreachable server from a partition of this router.

mod support;

use juniper_placement::{Outcome, Placement};
use juniper_registry::InstanceId;

use support::{at, choose, placement, prompt};

/// Time of the first failure.
const FAILED_AT_MS: u64 = 100;

/// Sends a request to any of the servers and breaks its connection. Returns the server.
fn break_connection(placement: &mut Placement) -> InstanceId {
    let choice = choose(placement, &prompt(1, 1), FAILED_AT_MS);
    let ticket = placement.begin_request(&choice, true, at(FAILED_AT_MS));
    placement.end_request(ticket, Outcome::Interrupted, at(FAILED_AT_MS));
    choice.instance
}

fn references(placement: &mut Placement, random: u64, millis: u64) -> Vec<InstanceId> {
    let probes = placement.take_reference_probes(at(millis), random);
    probes.into_iter().map(|(instance, _)| instance).collect()
}

/// Guards against a crash that isn't proven because the reference has crashed as well.
#[test]
fn a_server_whose_connection_broke_is_used_as_reference() {
    for random in 0..12 {
        let mut placement = placement(3);
        let broken = break_connection(&mut placement);
        let failed = choose(&mut placement, &prompt(1, 1), FAILED_AT_MS).instance;
        assert_ne!(failed, broken, "a server whose connection broke is avoided");
        placement.record_connect_failure(&failed, true, at(FAILED_AT_MS));
        let references = references(&mut placement, random, FAILED_AT_MS);
        assert_eq!(references.len(), 1);
        assert!(references[0] != broken && references[0] != failed, "{references:?}");
    }
}

/// Guards against crashes in quick succession of which only the first is proven.
#[test]
fn a_failure_soon_after_another_gets_no_reference() {
    let mut placement = placement(4);
    for round in 0..2 {
        let now_ms = FAILED_AT_MS + 20 * round;
        let failed = choose(&mut placement, &prompt(1, 1), now_ms).instance;
        placement.record_connect_failure(&failed, true, at(now_ms));
        let references = references(&mut placement, 0, now_ms);
        assert_eq!(references.len(), 1, "round {round}");
        placement.record_connected(&references[0], at(now_ms), at(now_ms + 1));
        assert_eq!(placement.take_reportable_failures().len(), 1, "round {round}");
    }
}

/// Without an answer from the first reference, further ones are probed at intervals.
#[test]
fn references_are_probed_without_a_pause_while_none_is_reached() {
    let mut placement = placement(4);
    let failed = choose(&mut placement, &prompt(1, 1), FAILED_AT_MS).instance;
    placement.record_connect_failure(&failed, true, at(FAILED_AT_MS));
    let mut count = 0;
    for millis in FAILED_AT_MS..FAILED_AT_MS + 1_000 {
        for reference in references(&mut placement, millis, millis) {
            placement.record_connect_failure(&reference, true, at(millis));
            count += 1;
        }
    }
    assert_eq!(count, 4, "one each 250 ms");
}
