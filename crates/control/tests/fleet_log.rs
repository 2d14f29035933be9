//! Server updates for routers subscribed to a few replicas: changes, encoded once.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use juniper_control::fleet_publisher::FleetLog;
use juniper_control::renewal_log::SharedFrame;
use juniper_protocol::{Message, Push};
use juniper_registry::{
    Instance, InstanceMap, InstanceName, InstanceReport, InstanceState, StartTime,
};

fn server(number: usize, slots: u32) -> Arc<Instance> {
    Arc::new(Instance::of(InstanceReport {
        name: InstanceName::new(format!("i-{number:06}")),
        started: StartTime::from_unix_ms(1_784_840_000_000),
        software: None,
        service: "llm".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, (number >> 8) as u8, number as u8), 80),
        zone: "north".to_owned(),
        slots,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    }))
}

fn servers(count: usize) -> InstanceMap {
    (0..count).map(|number| server(number, 4)).collect()
}

/// Names of the observed servers, whether these are all, and names of the removed ones.
fn decode(frame: &SharedFrame) -> (Vec<String>, bool, Vec<String>) {
    match minicbor::decode(frame).expect("a message") {
        Message::Push(Push::Instances { observed, is_complete, removed }) => {
            let observed = observed.iter().map(|known| known.report.name.to_string()).collect();
            (observed, is_complete, removed.iter().map(ToString::to_string).collect())
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn new_subscriber_gets_the_complete_state_then_changes() {
    let mut log = FleetLog::default();
    let mut known = servers(3);
    log.publish(&known);
    let (sent, frames) = log.frames_after(None);
    let (observed, is_complete, _) = decode(&frames[0]);
    assert_eq!((observed.len(), is_complete, frames.len()), (3, true, 1));
    known.insert(server(1, 9));
    known.remove(&InstanceName::new("i-000002"));
    log.publish(&known);
    let (sent, frames) = log.frames_after(Some(sent));
    let changes: Vec<_> = frames.iter().map(decode).collect();
    assert_eq!(changes, [(vec!["i-000001".to_owned()], false, vec!["i-000002".to_owned()])]);
    assert!(log.frames_after(Some(sent)).1.is_empty());
}

#[test]
fn subscriber_far_behind_gets_the_complete_state() {
    let mut log = FleetLog::default();
    let mut known = servers(5);
    let first = log.publish(&known);
    for slots in 10..200 {
        known.insert(server(0, slots));
        log.publish(&known);
    }
    let (_, frames) = log.frames_after(Some(first));
    let (observed, is_complete, _) = decode(&frames[0]);
    assert_eq!((observed.len(), is_complete, frames.len()), (5, true, 1));
}

/// The size of a change must not depend on the size of the fleet.
#[test]
fn update_size_is_proportional_to_the_change() {
    let sizes = [1_000, 2_000, 4_000].map(|count| {
        let mut log = FleetLog::default();
        let mut known = servers(count);
        let sent = log.publish(&known);
        let (_, complete) = log.frames_after(None);
        let (_, again) = log.frames_after(None);
        assert!(Arc::ptr_eq(&complete[0], &again[0]), "encoded twice");
        known.insert(server(7, 5));
        log.publish(&known);
        let (_, change) = log.frames_after(Some(sent));
        (complete[0].len() / count, change.iter().map(|frame| frame.len()).sum::<usize>())
    });
    assert!(sizes.iter().all(|(each, change)| *each <= 80 && *change <= 100), "{sizes:?}");
}
