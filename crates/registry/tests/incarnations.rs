//! Restarts of a server under its name: state of earlier incarnations is dropped, and their late
//! messages are ignored.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use juniper_registry::{
    Departure, Directory, HeartbeatOutcome, InstanceId, InstanceName, InstanceReport,
    InstanceState, ObservedInstance, ObservedInstances, StartTime,
};
use juniper_types::{NodeId, Timestamp};
use quickcheck::quickcheck;

const SILENT_AFTER: Duration = Duration::from_secs(5);

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

/// Heartbeat of the incarnation of "a" that started at `started`; zero for unknown.
fn report(started: u64, sequence: u64) -> InstanceReport {
    InstanceReport {
        name: InstanceName::new("a"),
        started: StartTime::from_unix_ms(started),
        software: None,
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: "north".to_owned(),
        slots: 6,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence,
    }
}

fn observed(started: u64, sequence: u64) -> ObservedInstance {
    ObservedInstance { report: report(started, sequence), silent: false, age_ms: 0 }
}

fn id(started: u64) -> InstanceId {
    report(started, 1).id()
}

fn usable(directory: &Directory) -> Option<InstanceId> {
    directory.usable().get(&InstanceName::new("a")).map(|known| known.id.clone())
}

#[test]
fn a_later_start_supersedes_an_earlier_one_whatever_the_sequence_numbers() {
    let mut known = ObservedInstances::new(SILENT_AFTER);
    assert_eq!(known.observe(report(100, 40), at(0)), HeartbeatOutcome::Changed);
    let former = StartTime::from_unix_ms(100);
    assert_eq!(known.observe(report(200, 1), at(1)), HeartbeatOutcome::Restarted { former });
    // The last heartbeat of the earlier incarnation arrives late.
    let last = InstanceReport { state: InstanceState::Draining, ..report(100, 41) };
    assert_eq!(known.observe(last, at(2)), HeartbeatOutcome::Outdated);
    assert_eq!(
        known.changes_after(0, at(2)),
        [ObservedInstance { age_ms: 1_000, ..observed(200, 1) }]
    );
    assert_eq!(known.observe(report(200, 2), at(3)), HeartbeatOutcome::Unchanged);
}

#[test]
fn a_heartbeat_without_a_start_time_is_rejected_if_the_server_has_reported_one() {
    let mut known = ObservedInstances::new(SILENT_AFTER);
    known.observe(report(100, 1), at(0));
    assert_eq!(known.observe(report(0, 99), at(1)), HeartbeatOutcome::NameConflict);
    assert_eq!(known.latest_start(&InstanceName::new("a")), Some(StartTime::from_unix_ms(100)));
    // A server that has never reported a start time is unaffected.
    let mut without_start = ObservedInstances::new(SILENT_AFTER);
    without_start.observe(report(0, 1), at(0));
    assert_eq!(without_start.observe(report(0, 2), at(1)), HeartbeatOutcome::Unchanged);
}

#[test]
fn a_departure_removes_its_incarnation_and_earlier_ones_only() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed(100, 7)], true, at(0));
    directory.record_departure(&Departure::of(&id(100)), at(1));
    assert_eq!(usable(&directory), None);
    directory.apply_observations(NodeId(2), vec![observed(200, 1)], false, at(2));
    assert_eq!(usable(&directory), Some(id(200)));
    // A lagging replica reports the departure again, and a late heartbeat of the earlier
    // incarnation arrives.
    directory.record_departure(&Departure::of(&id(100)), at(3));
    directory.apply_observations(NodeId(1), vec![observed(100, 8)], false, at(3));
    assert_eq!(usable(&directory), Some(id(200)));
}

#[test]
fn observations_of_different_incarnations_are_merged_to_the_latest() {
    let silent = |started| ObservedInstance { silent: true, ..observed(started, 90) };
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![silent(100)], true, at(0));
    directory.apply_observations(NodeId(2), vec![observed(200, 1)], true, at(0));
    let known = directory.get(&InstanceName::new("a")).expect("known server");
    assert_eq!((known.id.clone(), known.silent), (id(200), false));
    // Silence of the earlier incarnation doesn't affect the later one, and vice versa.
    directory.apply_observations(NodeId(2), vec![silent(200)], false, at(1));
    assert!(directory.get(&InstanceName::new("a")).expect("known server").silent);
}

/// Earlier builds send no start times: their observations match the known incarnation, and their
/// departures cover all incarnations.
#[test]
fn messages_of_earlier_builds_keep_their_meaning() {
    let mut directory = Directory::default();
    directory.apply_observations(NodeId(1), vec![observed(200, 1)], true, at(0));
    directory.apply_observations(NodeId(2), vec![observed(0, 50)], true, at(0));
    assert_eq!(usable(&directory), Some(id(200)));
    directory.record_departure(&Departure::of(&id(0)), at(1));
    assert_eq!(usable(&directory), None);
    // A departure with a start time doesn't cover incarnations that started later.
    directory.record_departure(&Departure::of(&id(100)), at(2));
    assert_eq!(usable(&directory), Some(id(200)));
}

/// The latest start and the highest sequence number win, whatever the order of heartbeats and the
/// replicas that receive them.
fn the_latest_heartbeat_wins(order: Vec<(u8, u8, u8)>) -> bool {
    let mut directory = Directory::default();
    let mut replicas: Vec<ObservedInstances> = vec![ObservedInstances::new(SILENT_AFTER); 3];
    for (replica, started, sequence) in &order {
        let index = usize::from(*replica) % replicas.len();
        let report = report(u64::from(*started) + 1, u64::from(*sequence));
        replicas[index].observe(report, at(0));
        let source = NodeId(index as u64);
        directory.apply_observations(source, replicas[index].changes_after(0, at(0)), true, at(0));
    }
    let latest = order.iter().map(|(_, started, sequence)| (*started, *sequence)).max();
    let known = directory.get(&InstanceName::new("a")).map(|known| {
        let started = known.report.started.unix_ms() - 1;
        (started as u8, known.report.sequence as u8)
    });
    // A replica doesn't report an unchanged heartbeat's sequence number.
    match (known, latest) {
        (Some((started, _)), Some((latest, _))) => started == latest,
        (known, latest) => known.is_none() == latest.is_none(),
    }
}

#[test]
fn heartbeats_are_merged_in_any_order() {
    quickcheck(the_latest_heartbeat_wins as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against memory use that grows with all servers that ever registered.
#[test]
fn removed_servers_leave_no_state() {
    let count_after = |rounds: u64| {
        let mut directory = Directory::default();
        for round in 0..rounds {
            let now = at(round * 100);
            for number in 0..20 {
                let mut server = observed(round + 1, 1);
                server.report.name = InstanceName::new(format!("i-{round}-{number}"));
                server.report.address.set_port(number + 1);
                directory.apply_observations(NodeId(1), vec![server.clone()], false, now);
                server.silent = true;
                directory.apply_observations(NodeId(1), vec![server], false, now);
            }
            directory.expire_silent(now);
        }
        directory.instances().count()
    };
    assert_eq!([10, 20, 40].map(count_after), [20; 3]);
}

#[test]
fn departures_of_servers_without_a_trace_expire() {
    let count_after = |thousands: u64| {
        let mut directory = Directory::default();
        for number in 0..thousands * 1_000 {
            let id = InstanceId::new(format!("i-{number}"));
            // 200 departures per second.
            directory.record_departure(&Departure::of(&id), Timestamp::from_millis(number * 5));
        }
        directory.departure_count()
    };
    let kept = [100, 200, 400].map(count_after);
    // At most twice the departures of the 120 s retention.
    assert!(kept.iter().all(|kept| *kept <= 48_000), "{kept:?}");
}
