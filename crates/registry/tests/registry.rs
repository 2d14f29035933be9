//! Heartbeats that are late, lost or observed by several replicas.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::{
    Departure, Directory, HeartbeatOutcome, InstanceId, InstanceName, InstanceReport,
    InstanceState, LoadedModel, ObservedInstance, ObservedInstances, StartTime,
};
use juniper_types::{NodeId, Timestamp};

const SILENT_AFTER: Duration = Duration::from_secs(5);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

fn report(id: &str, sequence: u64) -> InstanceReport {
    InstanceReport {
        name: InstanceName::new(id),
        started: StartTime::UNKNOWN,
        software: None,
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: "north".to_owned(),
        slots: 6,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: vec![LoadedModel { model: "m".to_owned(), version: 1 }],
        sequence,
    }
}

/// Departure of a server with an unknown start time.
fn departure(id: &str) -> Departure {
    Departure::of(&InstanceId::new(id))
}

fn observed(id: &str, sequence: u64, silent: bool) -> ObservedInstance {
    ObservedInstance { report: report(id, sequence), silent, age_ms: 0 }
}

/// Clears the ages, which a separate test checks.
fn without_age(observed: Vec<ObservedInstance>) -> Vec<ObservedInstance> {
    observed.into_iter().map(|instance| ObservedInstance { age_ms: 0, ..instance }).collect()
}

#[test]
fn an_outdated_heartbeat_changes_nothing() {
    let mut known = ObservedInstances::new(SILENT_AFTER);
    assert_eq!(known.observe(report("a", 3), at(0)), HeartbeatOutcome::Changed);
    let late = InstanceReport { state: InstanceState::Draining, ..report("a", 2) };
    assert_eq!(known.observe(late, at(1)), HeartbeatOutcome::Outdated);
    assert_eq!(without_age(known.changes_after(0, at(7))), [observed("a", 3, false)]);
    assert_eq!(known.observe(report("a", 4), at(1)), HeartbeatOutcome::Unchanged);
    let renewed = LoadedModel { model: "m".to_owned(), version: 2 };
    let renewed = InstanceReport { models: vec![renewed], ..report("a", 5) };
    assert_eq!(known.observe(renewed, at(2)), HeartbeatOutcome::Changed);
}

#[test]
fn silence_is_reported_once_and_ends_with_the_next_heartbeat() {
    let mut known = ObservedInstances::new(SILENT_AFTER);
    known.observe(report("a", 1), at(0));
    assert_eq!(known.mark_silent(at(4)), []);
    let before = known.revision();
    assert_eq!(known.mark_silent(at(5)), [InstanceId::new("a")]);
    assert_eq!(known.mark_silent(at(6)), []);
    assert_eq!(without_age(known.changes_after(before, at(7))), [observed("a", 1, true)]);
    assert_eq!(known.observe(report("a", 2), at(7)), HeartbeatOutcome::Changed);
    assert_eq!(without_age(known.changes_after(before, at(7))), [observed("a", 2, false)]);
}

#[test]
fn a_server_is_silent_only_if_all_replicas_that_know_it_report_so() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed("a", 9, false)], true, at(0));
    directory.apply_observations(NodeId(2), vec![observed("a", 15, true)], true, at(0));
    assert!(directory.instances().all(|instance| !instance.silent));
    directory.apply_observations(NodeId(1), vec![observed("a", 16, true)], false, at(0));
    assert!(directory.instances().all(|instance| instance.silent));
}

#[test]
fn a_departed_server_is_never_added_again() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed("a", 1, false)], true, at(0));
    directory.record_departure(&departure("a"), at(0));
    directory.apply_observations(NodeId(2), vec![observed("a", 7, false)], true, at(0));
    assert!(directory.instances().all(|instance| instance.departing));
}

#[test]
fn a_server_replaces_the_earlier_one_at_its_address() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed("old", 40, false)], true, at(0));
    directory.apply_observations(NodeId(1), vec![observed("new", 1, false)], false, at(0));
    let address = report("new", 1).address;
    assert_eq!(directory.current_at(address), Some(&InstanceName::new("new")));
}

#[test]
fn observations_of_a_removed_replica_are_dropped() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed("a", 1, false)], true, at(0));
    directory.apply_observations(NodeId(2), vec![observed("b", 1, false)], true, at(0));
    directory.retain_sources(&[NodeId(2)]);
    let ids: Vec<&str> = directory.instances().map(|known| known.id.as_str()).collect();
    assert_eq!(ids, ["b"]);
    directory.apply_observations(NodeId(2), Vec::new(), true, at(0));
    assert_eq!(directory.instances().count(), 0);
}

#[test]
fn the_age_of_an_incarnation_follows_from_its_first_heartbeat_and_sequence_number() {
    let mut known = ObservedInstances::new(SILENT_AFTER);
    known.observe(report("young", 1), at(10));
    known.observe(report("old", 21), at(12));
    let ages: Vec<u64> =
        known.changes_after(0, at(13)).iter().map(|server| server.age_ms).collect();
    // "old" sorts first: 20 earlier heartbeats of a second each, and a second since.
    assert_eq!(ages, [21_000, 3_000]);
    // Later heartbeats don't lower the age.
    known.observe(report("young", 2), at(15));
    assert_eq!(known.changes_after(0, at(15))[1].age_ms, 5_000);
}

/// A partition delays a heartbeat until its sender has crashed and another server has registered at
/// the address with another replica.
#[test]
fn a_late_heartbeat_of_a_crashed_server_does_not_replace_its_successor() {
    let address = report("new", 1).address;
    let aged = |id, sequence, age_ms| ObservedInstance { age_ms, ..observed(id, sequence, false) };
    let orders: [&[(u64, ObservedInstance)]; 2] = [
        &[(1, aged("new", 2, 2_000)), (2, aged("old", 21, 20_000))],
        &[(2, aged("old", 21, 20_000)), (1, aged("new", 2, 2_000))],
    ];
    for order in orders {
        let mut directory = Directory::default();
        for (node, instance) in order {
            directory.apply_observations(NodeId(*node), vec![instance.clone()], true, at(30));
        }
        assert_eq!(directory.current_at(address), Some(&InstanceName::new("new")));
    }
}

/// A silent server gives up its address even if its incarnation looks younger than it is.
#[test]
fn a_silent_server_does_not_keep_its_address() {
    let address = report("new", 1).address;
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed("live", 5, false)], true, at(1));
    directory.apply_observations(NodeId(2), vec![observed("stale", 1, false)], true, at(2));
    assert_eq!(directory.current_at(address), Some(&InstanceName::new("stale")));
    directory.apply_observations(NodeId(2), vec![observed("stale", 1, true)], false, at(8));
    assert_eq!(directory.current_at(address), Some(&InstanceName::new("live")));
}

/// Guards against copying all of thousands of servers when a few change.
#[test]
fn unchanged_servers_are_shared_between_views() {
    let elsewhere = |id: &str, sequence: u64, port: u16| {
        let mut server = observed(id, sequence, false);
        server.report.address.set_port(port);
        server
    };
    let mut directory = Directory::default();
    let all = vec![elsewhere("a", 1, 1), elsewhere("b", 1, 2), elsewhere("c", 1, 3)];
    directory.apply_observations(NodeId(1), all.clone(), true, at(0));
    let before = directory.usable().clone();
    // Another replica pushes the same servers, and one server changes.
    directory.apply_observations(NodeId(2), all, true, at(1));
    let mut changed = elsewhere("b", 2, 2);
    changed.report.slots += 1;
    directory.apply_observations(NodeId(1), vec![changed], false, at(2));
    let after = directory.usable();
    let is_shared = |name: &str| {
        let instance = |of: &juniper_registry::InstanceMap| {
            Arc::clone(of.get(&InstanceName::new(name)).expect("known server"))
        };
        Arc::ptr_eq(&instance(&before), &instance(after))
    };
    assert_eq!(["a", "b", "c"].map(is_shared), [true, false, true]);
    let changes = after.changes_from(&before);
    let changed: Vec<&str> = changes.changed.iter().map(|known| known.id.as_str()).collect();
    assert_eq!((changed, changes.removed.len()), (vec!["b"], 0));
    // A departed server isn't usable any more.
    directory.record_departure(&departure("a"), at(3));
    assert_eq!(directory.usable().len(), 2);
}
