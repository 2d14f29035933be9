//! Backoffs and departures of servers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, ChoiceError, ExclusionReason, Placement};
use juniper_registry::{Instance, InstanceId, InstanceMap, StartTime};
use juniper_types::NodeId;

use support::{SERVICE, at, instance, placement, prompt, request};

const SECOND: Duration = Duration::from_secs(1);

fn id(number: u16) -> InstanceId {
    instance(number, 1).id
}

fn try_choose(placement: &Placement, millis: u64) -> Result<Choice, ChoiceError> {
    placement.choose(&request(&prompt(1, 2), &[]), at(millis), millis)
}

fn view(instances: impl IntoIterator<Item = Instance>) -> InstanceMap {
    instances.into_iter().map(Arc::new).collect()
}

#[test]
fn earliest_end_of_all_backoffs_is_returned() {
    let mut placement = placement(3);
    for (number, seconds) in [(1, 9), (2, 3), (3, 5)] {
        assert!(placement.observe_backoff(&id(number), SECOND * seconds, at(0)));
    }
    assert_eq!(try_choose(&placement, 1_000), Err(ChoiceError::BackingOff(SECOND * 2)));
    assert_eq!(try_choose(&placement, 3_000).expect("the backoff has ended").instance, id(2));
}

#[test]
fn backoff_and_departure_survive_a_view_without_the_server() {
    let mut placement = placement(2);
    placement.observe_backoff(&id(1), SECOND * 3, at(0));
    placement.record_departure(&id(2), at(0));
    placement.set_instances(&InstanceMap::default());
    placement.set_instances(&view([instance(1, 1), instance(2, 1)]));
    assert_eq!(try_choose(&placement, 1_000), Err(ChoiceError::BackingOff(SECOND * 2)));
    assert_eq!(
        placement.excluded_servers(SERVICE, at(1_000)),
        [(id(1), ExclusionReason::BackingOff), (id(2), ExclusionReason::Departing)]
    );
    assert_eq!(try_choose(&placement, 3_000).expect("the backoff has ended").instance, id(1));
}

#[test]
fn notices_do_not_apply_to_a_later_incarnation() {
    let started = |unix_ms| {
        let mut started = instance(1, 1);
        Arc::make_mut(&mut started.report).started = StartTime::from_unix_ms(unix_ms);
        Instance::of(started.report.as_ref().clone())
    };
    let (former, later) = (started(1_000), started(2_000));
    let mut placement = placement(0);
    placement.set_instances(&view([former.clone()]));
    placement.observe_backoff(&former.id, SECOND * 3_600, at(0));
    placement.record_departure(&former.id, at(0));
    assert_eq!(try_choose(&placement, 10), Err(ChoiceError::NoServer));
    placement.set_instances(&view([later.clone()]));
    assert_eq!(try_choose(&placement, 20).expect("a new incarnation").instance, later.id);
    placement.set_instances(&view([former]));
    assert_eq!(try_choose(&placement, 30), Err(ChoiceError::NoServer), "a departure is final");
}

#[test]
fn peer_backoffs_count_for_ten_seconds_at_most() {
    let mut placement = placement(2);
    for router in [5, 6] {
        placement.apply_peer_backoff(&id(1), NodeId(router), SECOND * 3_600, at(0));
    }
    // Different shared segments, so that both servers are homes.
    let chosen = |millis, shared| {
        let prompt = prompt(shared, 2);
        let choice = placement.choose(&request(&prompt, &[]), at(millis), millis);
        choice.expect("a server").instance
    };
    assert!((0..100).all(|step| chosen(step * 99, step) == id(2)));
    assert!((0..100).any(|step| chosen(10_000, step) == id(1)));
}
