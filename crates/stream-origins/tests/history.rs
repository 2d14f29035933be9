//! A service has a sole version only if no other one was there within the window.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::{
    Instance, InstanceMap, InstanceName, InstanceReport, InstanceState, SoftwareVersion, StartTime,
};
use juniper_stream_origins::{SoftwareHistory, sole_version};
use juniper_types::Timestamp;
use quickcheck::quickcheck;

const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

/// Version with this number; none for 0.
fn software(version: u8) -> Option<SoftwareVersion> {
    SoftwareVersion::new(&"v".repeat(usize::from(version)))
}

fn server(number: u8, version: u8) -> Arc<Instance> {
    Arc::new(Instance::of(InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
        software: software(version),
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, u16::from(number) + 1),
        zone: "north".to_owned(),
        slots: 8,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    }))
}

fn servers(versions: &BTreeMap<u8, u8>) -> InstanceMap {
    versions.iter().map(|(number, version)| server(*number, *version)).collect()
}

/// The only version that has served within the window, as far as one observer knows.
fn sole(history: &SoftwareHistory, service: &str, now: Timestamp) -> Option<SoftwareVersion> {
    sole_version(&[history.served(service, now)], WINDOW)
}

#[test]
fn a_version_that_has_just_gone_counts_for_the_window() {
    let mut history = SoftwareHistory::default();
    history.mark_founded();
    history.update(&servers(&BTreeMap::from([(1, 1), (2, 2)])), at(0));
    history.update(&servers(&BTreeMap::from([(1, 1)])), at(20));
    assert_eq!(sole(&history, "app", at(29)), None);
    assert_eq!(sole(&history, "app", at(30)), software(1));
    assert_eq!(sole(&history, "other", at(30)), None);
}

// Guards against a router that has just started and takes the version that serves now for the only one
// that can have begun a stream.
#[test]
fn a_version_that_left_before_the_start_of_the_observer_leaves_a_doubt() {
    let list = servers(&BTreeMap::from([(1, 2)]));
    let mut history = SoftwareHistory::default();
    history.resume(at(20));
    history.update(&list, at(20));
    assert_eq!(sole(&history, "app", at(20)), None);
    // Servers may have reported late to the observer, too.
    assert_eq!(sole(&history, "app", at(32)), None);
    assert_eq!(sole(&history, "app", at(33)), software(2));
    // One that has run for longer tells of the version that has gone.
    let mut earlier = SoftwareHistory::default();
    earlier.mark_founded();
    earlier.update(&servers(&BTreeMap::from([(1, 1)])), at(0));
    let statements = |now| [history.served("app", now), earlier.served("app", now)];
    assert_eq!(sole_version(&statements(at(20)), WINDOW), None);
    earlier.update(&list, at(18));
    let statements = |now| [history.served("app", now), earlier.served("app", now)];
    assert_eq!(sole_version(&statements(at(27)), WINDOW), None);
    assert_eq!(sole_version(&statements(at(28)), WINDOW), software(2));
}

// Guards against an observer that was out of touch and takes the versions before and after for all.
#[test]
fn an_interruption_leaves_a_doubt() {
    let mut history = SoftwareHistory::default();
    history.mark_founded();
    history.update(&servers(&BTreeMap::from([(1, 1)])), at(0));
    assert_eq!(sole(&history, "app", at(20)), software(1));
    history.interrupt();
    assert_eq!(sole(&history, "app", at(20)), None);
    history.resume(at(20));
    assert_eq!(sole(&history, "app", at(32)), None);
    assert_eq!(sole(&history, "app", at(33)), software(1));
}

#[test]
fn a_server_of_unknown_version_leaves_a_doubt() {
    let mut history = SoftwareHistory::default();
    history.mark_founded();
    assert_eq!(sole(&history, "app", at(4)), None);
    history.update(&servers(&BTreeMap::from([(1, 1)])), at(5));
    assert_eq!(sole(&history, "app", at(5)), software(1));
    history.update(&servers(&BTreeMap::from([(1, 1), (2, 0)])), at(16));
    assert_eq!(sole(&history, "app", at(40)), None);
    history.update(&servers(&BTreeMap::from([(2, 0)])), at(41));
    assert_eq!(sole(&history, "app", at(90)), None);
}

quickcheck! {
    /// Compares with a plain list of all servers at all times; the observer starts at any step.
    fn the_sole_version_is_that_of_all_servers_within_the_window(
        steps: Vec<(u8, u8, u8)>,
        missed: u8
    ) -> bool {
        let mut history = SoftwareHistory::default();
        let missed = usize::from(missed) % (steps.len() + 1);
        if missed == 0 {
            history.mark_founded();
        }
        let mut current: BTreeMap<u8, u8> = BTreeMap::new();
        // Versions that were there from one time to another.
        let mut spans: Vec<(u64, u64, Vec<u8>)> = Vec::new();
        let mut now = 0;
        steps.iter().enumerate().all(|(step, (number, version, pause))| {
            let lasting: Vec<u8> = current.values().copied().collect();
            let next = now + u64::from(pause % 15);
            spans.push((now, next, lasting));
            now = next;
            match version % 4 {
                3 => current.remove(&(number % 4)),
                version => current.insert(number % 4, version),
            };
            if step >= missed {
                history.resume(at(now));
                history.update(&servers(&current), at(now));
            }
            let mut recent: Vec<u8> = current.values().copied().collect();
            let in_window = spans.iter().filter(|(_, until, _)| now - until < WINDOW.as_secs());
            recent.extend(in_window.flat_map(|(_, _, versions)| versions));
            recent.sort_unstable();
            recent.dedup();
            match sole(&history, "app", at(now)) {
                Some(found) => recent.len() == 1 && software(recent[0]) == Some(found),
                None => true,
            }
        })
    }
}
