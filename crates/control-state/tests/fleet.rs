//! Replicated state of the fleet of generic services.

use juniper_control_state::departures::MIN_RETAINED_DEPARTURES;
use juniper_control_state::{
    AcceptedCatalog, Answer, CatalogAnswer, Command, ControlState, OrderLease,
};
use juniper_registry::{InstanceId, InstanceName, StartTime};
use juniper_types::NodeId;

fn put(state: &mut ControlState, index: u64, version: u64, text: &str) -> Answer {
    let catalog = AcceptedCatalog { version, body: vec![1], document: text.as_bytes().to_vec() };
    state.apply(index, Command::PutCatalog { catalog })
}

fn document(state: &ControlState) -> Option<String> {
    let catalog = state.fleet().catalog()?;
    String::from_utf8(catalog.document.clone()).ok()
}

/// Records a departure in the form of earlier builds, without start time and clock.
fn depart(state: &mut ControlState, index: u64, id: &str) {
    depart_at(state, index, (id, 0), 0);
}

/// Records at `at` the departure of the incarnation that started at `started`.
fn depart_at(state: &mut ControlState, index: u64, (id, started): (&str, u64), at: u64) {
    let (instance, through) = (InstanceName::new(id), StartTime::from_unix_ms(started));
    let command = Command::RecordDeparture { instance, through, at };
    assert_eq!(state.apply(index, command), Answer::Departed);
}

fn incarnation(id: &str, started: u64) -> InstanceId {
    InstanceId::started_at(InstanceName::new(id), StartTime::from_unix_ms(started))
}

#[test]
fn only_a_higher_catalog_version_replaces_the_current_one() {
    let mut state = ControlState::default();
    assert_eq!(put(&mut state, 1, 4, "four"), Answer::Catalog(CatalogAnswer::Accepted));
    let unchanged = |current| Answer::Catalog(CatalogAnswer::Unchanged { current });
    assert_eq!(put(&mut state, 2, 3, "three"), unchanged(4));
    assert_eq!(put(&mut state, 3, 4, "other content"), unchanged(4));
    assert_eq!(document(&state).as_deref(), Some("four"));
    assert_eq!(state.fleet().revision(), 1);
    assert_eq!(put(&mut state, 4, 9, "nine"), Answer::Catalog(CatalogAnswer::Accepted));
    assert_eq!(document(&state).as_deref(), Some("nine"));
}

#[test]
fn target_weights_only_increase() {
    let mut state = ControlState::default();
    let set = |state: &mut ControlState, index, version| {
        state.apply(index, Command::SetTargetWeights { model: "m".into(), version })
    };
    assert_eq!(set(&mut state, 1, 3), Answer::Weights(3));
    assert_eq!(set(&mut state, 2, 2), Answer::Weights(3));
    assert_eq!(state.fleet().weights().get("m"), Some(&3));
    assert_eq!(state.fleet().revision(), 1);
}

#[test]
fn departures_are_recorded_once_and_listed_from_any_position() {
    let mut state = ControlState::default();
    depart(&mut state, 1, "a");
    depart(&mut state, 2, "b");
    depart(&mut state, 3, "a");
    let fleet = state.fleet();
    assert_eq!((fleet.departures().total(), fleet.revision()), (2, 2));
    let departures = fleet.departures();
    let after = |known| {
        departures.after(known).map(|departure| departure.name.as_str()).collect::<Vec<_>>()
    };
    assert_eq!(after(0), ["a", "b"]);
    assert_eq!(after(1), ["b"]);
    assert_eq!(after(7), [""; 0]);
}

#[test]
fn the_oldest_departures_are_evicted() {
    let mut state = ControlState::default();
    for number in 0..=MIN_RETAINED_DEPARTURES as u64 {
        depart(&mut state, number + 1, &format!("i-{number}"));
    }
    let fleet = state.fleet();
    assert!(!fleet.has_departed(&InstanceId::new("i-0")));
    assert!(fleet.has_departed(&InstanceId::new("i-1")));
    assert_eq!(fleet.departures().retained(), MIN_RETAINED_DEPARTURES);
    assert_eq!(fleet.departures().after(MIN_RETAINED_DEPARTURES as u64).count(), 1);
}

#[test]
fn each_order_lease_has_a_higher_token() {
    let mut state = ControlState::default();
    let mut take =
        |index, node| match state.apply(index, Command::TakeOrderLease { node: NodeId(node) }) {
            Answer::OrderLease(lease) => lease,
            other => panic!("{other:?}"),
        };
    let lease = |holder, token, previous: Option<u64>| OrderLease {
        holder: NodeId(holder),
        token,
        previous: previous.map(NodeId),
    };
    assert_eq!(take(1, 7), lease(7, 1, None));
    assert_eq!(take(2, 8), lease(8, 2, Some(7)));
    assert_eq!(take(3, 8), lease(8, 3, Some(7)));
}

#[test]
fn the_fleet_state_round_trips_through_a_snapshot() {
    let mut state = ControlState::default();
    put(&mut state, 1, 4, "four");
    depart(&mut state, 2, "a");
    state.apply(3, Command::SetTargetWeights { model: "m".into(), version: 2 });
    state.apply(4, Command::TakeOrderLease { node: NodeId(1) });
    let read = ControlState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(read, state);
}

#[test]
fn a_departure_covers_only_incarnations_up_to_its_start_time() {
    let mut state = ControlState::default();
    depart_at(&mut state, 1, ("a", 100), 10);
    assert!(state.fleet().has_departed(&incarnation("a", 100)));
    assert!(
        !state.fleet().has_departed(&incarnation("a", 200)),
        "a later incarnation counts as departed"
    );
    // A late departure of an earlier incarnation changes nothing.
    depart_at(&mut state, 2, ("a", 50), 11);
    assert_eq!((state.fleet().revision(), state.fleet().departures().total()), (1, 1));
    // The departure of the later incarnation is recorded for subscribers.
    depart_at(&mut state, 3, ("a", 200), 12);
    assert!(state.fleet().has_departed(&incarnation("a", 200)));
    let through: Vec<u64> =
        state.fleet().departures().after(1).map(|departure| departure.through.unix_ms()).collect();
    assert_eq!(through, [200]);
    let read = ControlState::from_snapshot(&state.to_snapshot()).expect("a snapshot");
    assert_eq!(read, state);
}

/// A limit on the number alone would evict servers that still serve during the replacement of
/// a large fleet.
#[test]
fn the_retention_time_of_departures_is_independent_of_their_rate() {
    let retained_seconds = |per_second: u64| {
        let mut state = ControlState::default();
        for number in 0..per_second * 400 {
            let name = format!("i-{number}");
            depart_at(&mut state, number + 1, (&name, 1), 1 + number / per_second);
        }
        let last = per_second * 400 - 1;
        let is_retained = |ago: u64| {
            let number = last - ago * per_second;
            state.fleet().has_departed(&incarnation(&format!("i-{number}"), 1))
        };
        assert!(is_retained(0) && is_retained(100), "{per_second} departures per second");
        state.fleet().departures().retained() as u64 / per_second
    };
    let seconds = [10, 20, 40].map(retained_seconds);
    assert!(seconds.iter().all(|retained| (145..=160).contains(retained)), "{seconds:?}");
}
