//! Unit tests of the timeouts of owners.

use std::time::Duration;

use juniper_limits::{OwnerQuery, OwnerTimeout};
use juniper_types::Timestamp;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Time, in milliseconds, from which on the router no longer counts as just started.
const RUNNING: u64 = 20_000;

/// Timeouts of an owner whose answers take `round_trip`.
fn known_owner(round_trip: Duration) -> OwnerTimeout {
    let mut timeouts = OwnerTimeout::default();
    for number in 0..20 {
        timeouts.query("one", true, at(RUNNING + number));
        timeouts.record_answer("one", round_trip, at(RUNNING + number));
    }
    timeouts
}

#[test]
fn an_owner_nearby_is_given_15_ms_and_one_in_a_far_zone_three_round_trips() {
    for (round_trip, expected) in [(2, 15), (6, 18), (24, 72), (80, 100)] {
        let wait = known_owner(ms(round_trip)).query("one", true, at(RUNNING + 100));
        let OwnerQuery::Ask(wait) = wait else { panic!("{round_trip}: {wait:?}") };
        assert!(wait.abs_diff(ms(expected)) < ms(1), "{round_trip}: {wait:?}");
    }
}

/// Guards against a timeout that is always too short for an owner in a far zone: its late answers
/// are the only ones that tell the round trip.
#[test]
fn late_answers_raise_the_timeout_until_the_owner_is_waited_for() {
    let mut timeouts = OwnerTimeout::default();
    let mut now = RUNNING;
    for attempt in 0..10 {
        let query = timeouts.query("one", true, at(now));
        let OwnerQuery::Ask(wait) = query else { panic!("{query:?}") };
        if wait > ms(40) {
            return;
        }
        assert!(attempt < 9, "{wait:?}");
        timeouts.record_timeout("one", at(now), at(now).after(wait));
        timeouts.record_answer("one", ms(40), at(now + 40));
        now += 100;
    }
}

/// Guards against the refusals that took 300 ms while the owner was frozen.
#[test]
fn a_silent_owner_is_asked_by_single_requests_at_growing_intervals() {
    let mut timeouts = known_owner(ms(2));
    let mut asked = Vec::new();
    let mut pending: Option<(u64, Duration)> = None;
    // A request arrives each millisecond; all that are asked in the first 15 ms time out.
    for now in RUNNING + 100..RUNNING + 6_100 {
        if let Some((asked_at, wait)) =
            pending.filter(|(at, wait)| *at + 15 <= now && !wait.is_zero())
        {
            timeouts.record_timeout("one", at(asked_at), at(asked_at).after(wait));
            pending = None;
        }
        if let OwnerQuery::Ask(wait) = timeouts.query("one", true, at(now)) {
            asked.push(now - RUNNING - 100);
            pending = pending.or(Some((now, wait)));
        }
    }
    let later: Vec<u64> = asked.iter().copied().filter(|asked| *asked >= 15).collect();
    assert!(later.len() <= 11, "{later:?}");
    assert!(later.windows(2).all(|pair| pair[1] - pair[0] >= 50), "{later:?}");
    timeouts.record_answer("one", ms(2), at(RUNNING + 6_200));
    assert_eq!(timeouts.query("one", true, at(RUNNING + 6_201)), OwnerQuery::Ask(ms(15)));
}

/// Guards against one frozen moment that counts as often as requests were waiting in it.
#[test]
fn requests_that_time_out_together_lengthen_the_backoff_once() {
    let mut timeouts = known_owner(ms(2));
    let asked = RUNNING + 100;
    for number in 0..10 {
        timeouts.record_timeout("one", at(asked + number), at(asked + number + 15));
    }
    assert_eq!(timeouts.query("one", true, at(asked + 64)), OwnerQuery::DecideLocally);
    assert!(matches!(timeouts.query("one", true, at(asked + 65)), OwnerQuery::Ask(_)));
}

/// Guards against an owner that was frozen once and then is waited for too long.
#[test]
fn one_late_answer_raises_the_timeout_by_little() {
    let mut timeouts = known_owner(ms(2));
    timeouts.record_answer("one", ms(450), at(RUNNING + 500));
    let OwnerQuery::Ask(wait) = timeouts.query("one", true, at(RUNNING + 501)) else {
        panic!("silent")
    };
    assert!(wait < ms(25), "{wait:?}");
}

/// Guards against long waits of a whole tenant after a start, and against those of tenants that
/// send rarely.
#[test]
fn only_the_first_request_of_a_tenant_after_a_start_waits_for_500_ms() {
    let mut timeouts = OwnerTimeout::default();
    assert_eq!(timeouts.query("one", true, at(100)), OwnerQuery::Ask(ms(500)));
    assert_eq!(timeouts.query("one", true, at(100)), OwnerQuery::Ask(ms(15)));
    assert_eq!(timeouts.query("two", true, at(101)), OwnerQuery::Ask(ms(500)));
    assert_eq!(timeouts.query("a server", false, at(102)), OwnerQuery::Ask(ms(15)));
    assert_eq!(timeouts.query("three", true, at(RUNNING)), OwnerQuery::Ask(ms(15)));
}

#[test]
fn the_owner_of_an_unknown_account_is_given_the_time_of_the_slowest_known_one() {
    let mut timeouts = known_owner(ms(24));
    let OwnerQuery::Ask(wait) = timeouts.query("two", true, at(RUNNING + 100)) else {
        panic!("silent")
    };
    assert!(wait.abs_diff(ms(72)) < ms(1), "{wait:?}");
}
