//! Heartbeats: late, lost and from several replicas.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_registry::{
    Directory, HeardInstance, HeardInstances, InstanceId, InstanceReport, InstanceState, Intake,
    ModelHolding,
};
use juniper_types::{NodeId, Timestamp};

const SILENT_AFTER: Duration = Duration::from_secs(5);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

fn report(id: &str, sequence: u64) -> InstanceReport {
    InstanceReport {
        id: InstanceId::new(id),
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: "north".to_owned(),
        slots: 6,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: vec![ModelHolding { model: "m".to_owned(), version: 1 }],
        sequence,
    }
}

fn heard(id: &str, sequence: u64, silent: bool) -> HeardInstance {
    HeardInstance { report: report(id, sequence), silent }
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let mut known = HeardInstances::new(SILENT_AFTER);
    assert_eq!(known.hear(report("a", 3), at(0)), Intake::News);
    let late = InstanceReport { state: InstanceState::Draining, ..report("a", 2) };
    assert_eq!(known.hear(late, at(1)), Intake::Overtaken);
    assert_eq!(known.changes_after(0), [heard("a", 3, false)]);
    assert_eq!(known.hear(report("a", 4), at(1)), Intake::Known);
    let renewed = ModelHolding { model: "m".to_owned(), version: 2 };
    let renewed = InstanceReport { models: vec![renewed], ..report("a", 5) };
    assert_eq!(known.hear(renewed, at(2)), Intake::News);
}

#[test]
fn silence_is_told_once_and_ends_with_the_next_heartbeat() {
    let mut known = HeardInstances::new(SILENT_AFTER);
    known.hear(report("a", 1), at(0));
    assert_eq!(known.expire(at(4)), []);
    let before = known.revision();
    assert_eq!(known.expire(at(5)), [InstanceId::new("a")]);
    assert_eq!(known.expire(at(6)), []);
    assert_eq!(known.changes_after(before), [heard("a", 1, true)]);
    assert_eq!(known.hear(report("a", 2), at(7)), Intake::News);
    assert_eq!(known.changes_after(before), [heard("a", 2, false)]);
}

#[test]
fn a_server_is_silent_only_when_all_replicas_that_know_it_say_so() {
    let mut directory = Directory::default();
    directory.hear(NodeId(1), vec![heard("a", 9, false)], true);
    directory.hear(NodeId(2), vec![heard("a", 15, true)], true);
    assert!(directory.instances().all(|instance| !instance.silent));
    directory.hear(NodeId(1), vec![heard("a", 16, true)], false);
    assert!(directory.instances().all(|instance| instance.silent));
}

#[test]
fn a_server_that_left_is_never_taken_back() {
    let mut directory = Directory::default();
    directory.hear(NodeId(1), vec![heard("a", 1, false)], true);
    directory.set_departed(BTreeSet::from([InstanceId::new("a")]));
    directory.hear(NodeId(2), vec![heard("a", 7, false)], true);
    assert!(directory.instances().all(|instance| instance.leaving));
}

#[test]
fn a_restarted_server_takes_the_place_of_its_earlier_life() {
    let mut directory = Directory::default();
    directory.hear(NodeId(1), vec![heard("old", 40, false)], true);
    directory.hear(NodeId(1), vec![heard("new", 1, false)], false);
    let address = report("new", 1).address;
    assert_eq!(directory.newest_at(address), Some(&InstanceId::new("new")));
}

#[test]
fn what_a_replica_that_left_knew_is_void() {
    let mut directory = Directory::default();
    directory.hear(NodeId(1), vec![heard("a", 1, false)], true);
    directory.hear(NodeId(2), vec![heard("b", 1, false)], true);
    directory.keep_sources(&[NodeId(2)]);
    let ids: Vec<&str> = directory.instances().map(|known| known.report.id.as_str()).collect();
    assert_eq!(ids, ["b"]);
    directory.hear(NodeId(2), Vec::new(), true);
    assert_eq!(directory.instances().count(), 0);
}
