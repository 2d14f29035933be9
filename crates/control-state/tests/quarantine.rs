//! Quarantined requests: recorded once, bounded in number, and sent to subscribers incrementally.

use std::collections::BTreeSet;

use juniper_control_state::quarantine::MAX_QUARANTINED;
use juniper_control_state::{Answer, Command, ControlState, QuarantinedRequest, to_bytes};
use juniper_registry::InstanceName;
use juniper_types::RequestFingerprint;
use quickcheck::quickcheck;

fn fingerprint(number: u32) -> RequestFingerprint {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    RequestFingerprint(bytes)
}

fn quarantine(number: u32) -> Command {
    let servers = vec![InstanceName::new("a"), InstanceName::new("b"), InstanceName::new("c")];
    Command::Quarantine {
        request: QuarantinedRequest { request: fingerprint(number), servers, since: 7 },
    }
}

fn release(number: u32) -> Command {
    Command::Release { request: fingerprint(number) }
}

fn quarantined(state: &ControlState) -> BTreeSet<RequestFingerprint> {
    state.fleet().quarantine().requests().map(|known| known.request).collect()
}

#[test]
fn repeated_quarantines_and_unknown_releases_change_nothing() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(3, quarantine(1)), Answer::Recorded);
    assert_eq!(state.fleet().revision(), 3);
    state.apply(4, quarantine(1));
    state.apply(5, release(2));
    assert_eq!((state.fleet().revision(), state.fleet().quarantine().change_count()), (3, 1));
    state.apply(6, release(1));
    assert_eq!(state.fleet().revision(), 6);
    assert!(quarantined(&state).is_empty());
}

#[test]
fn the_oldest_request_is_released_beyond_the_limit() {
    let mut state = ControlState::default();
    let count = u32::try_from(MAX_QUARANTINED).expect("small") + 1;
    for number in 0..count {
        state.apply(u64::from(number) + 1, quarantine(number));
    }
    assert_eq!(quarantined(&state).len(), MAX_QUARANTINED);
    assert!(
        !quarantined(&state).contains(&fingerprint(0))
            && quarantined(&state).contains(&fingerprint(1))
    );
}

#[test]
fn the_quarantine_round_trips_through_a_snapshot() {
    let mut state = ControlState::default();
    state.apply(1, quarantine(1));
    state.apply(2, quarantine(2));
    let read = ControlState::from_snapshot(&state.to_snapshot()).expect("the snapshot is valid");
    assert_eq!(read.fleet().quarantine(), state.fleet().quarantine());
    assert_eq!(quarantined(&read), quarantined(&state));
}

#[test]
fn quarantine_commands_round_trip() {
    for command in [quarantine(5), release(5)] {
        let decoded: Command =
            minicbor::decode(&to_bytes(&command)).expect("the encoded command is valid");
        assert_eq!(decoded, command);
    }
}

quickcheck! {
    /// A subscriber that is updated at arbitrary times has the same quarantine as the replica.
    fn incremental_updates_yield_the_replicas_quarantine(steps: Vec<(bool, u8, bool)>) -> bool {
        let mut state = ControlState::default();
        let mut known = None;
        let mut subscriber = BTreeSet::new();
        for (index, (adds, number, is_updated)) in steps.into_iter().enumerate() {
            let number = u32::from(number % 8);
            let command = if adds { quarantine(number) } else { release(number) };
            state.apply(index as u64 + 1, command);
            if !is_updated {
                continue;
            }
            let quarantine = state.fleet().quarantine();
            let change = quarantine.change_after(known);
            if change.is_whole {
                subscriber.clear();
            }
            subscriber.extend(change.added);
            change.released.iter().for_each(|request| { subscriber.remove(request); });
            known = Some(quarantine.change_count());
            if subscriber != quarantined(&state) {
                return false;
            }
        }
        true
    }
}
