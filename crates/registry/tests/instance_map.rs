//! Maps of servers: copies share unchanged servers, and changes are found between them.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use juniper_registry::{
    Instance, InstanceMap, InstanceName, InstanceReport, InstanceState, StartTime,
};
use quickcheck::quickcheck;

fn name(number: u16) -> InstanceName {
    InstanceName::new(format!("i-{number}"))
}

fn server(number: u16, slots: u32) -> Arc<Instance> {
    Arc::new(Instance::of(InstanceReport {
        name: name(number),
        started: StartTime::UNKNOWN,
        software: None,
        service: "llm".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number),
        zone: "north".to_owned(),
        slots,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    }))
}

/// Applying the changes to a copy of the earlier map yields the later one.
fn changes_turn_the_earlier_map_into_the_later_one(
    before: Vec<(u8, u8)>,
    edits: Vec<(u8, Option<u8>)>,
) -> bool {
    let of = |(number, slots): &(u8, u8)| server(u16::from(*number), u32::from(*slots));
    let earlier: InstanceMap = before.iter().map(of).collect();
    let mut later = earlier.clone();
    let mut model: BTreeMap<u8, u8> = before.into_iter().collect();
    for (number, slots) in edits {
        match slots {
            Some(slots) => {
                later.insert(of(&(number, slots)));
                model.insert(number, slots);
            }
            None => {
                later.remove(&name(u16::from(number)));
                model.remove(&number);
            }
        }
    }
    let changes = later.changes_from(&earlier);
    let mut patched = earlier;
    changes.removed.iter().for_each(|name| patched.remove(name));
    changes.changed.into_iter().for_each(|instance| patched.insert(instance));
    let matches_model = |map: &InstanceMap| {
        let slots = |number: &u8| map.get(&name(u16::from(*number))).map(|it| it.report.slots);
        let known = model.iter().all(|(number, known)| slots(number) == Some(u32::from(*known)));
        known && map.len() == model.len() && map.iter().count() == model.len()
    };
    matches_model(&later)
        && matches_model(&patched)
        && patched.changes_from(&later).removed.is_empty()
}

#[test]
fn changes_are_complete() {
    let property = changes_turn_the_earlier_map_into_the_later_one;
    quickcheck(property as fn(Vec<(u8, u8)>, Vec<(u8, Option<u8>)>) -> bool);
}

#[test]
fn one_change_among_thousands_is_reported_as_one() {
    for count in [1_000, 2_000, 4_000] {
        let earlier: InstanceMap = (0..count).map(|number| server(number, 4)).collect();
        let mut later = earlier.clone();
        later.insert(server(17, 5));
        later.remove(&name(18));
        let changes = later.changes_from(&earlier);
        assert_eq!((changes.changed.len(), changes.removed.len()), (1, 1));
        let shared = earlier.iter().filter(|known| {
            later.get(known.id.name()).is_some_and(|other| Arc::ptr_eq(known, other))
        });
        assert_eq!(shared.count(), usize::from(count) - 2);
    }
}
