//! Unit tests of the schedule of returns.

use std::time::Duration;

use juniper_types::Timestamp;
use juniper_waiting::{PromiseCounts, Return, ReturnSchedule};
use quickcheck::QuickCheck;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Time of a return, in milliseconds; `None` for a final refusal.
fn wait_ms(answer: Return) -> Option<u64> {
    match answer {
        Return::At(wait) => Some(wait.as_millis() as u64),
        Return::Final => None,
    }
}

/// Schedule after 20 s with five urgent and five other requests per second that were admitted, and
/// with an overload of 400 ms in the sixth second.
fn calm() -> ReturnSchedule {
    let mut schedule = ReturnSchedule::default();
    for number in 0..200 {
        let now = at(number * 100);
        match (50..54).contains(&number) {
            true => {
                schedule.next(1, ms(0), now, 0.5);
            }
            false => schedule.record_admission((number % 2) as u8, now),
        }
    }
    schedule
}

/// Guards against promises in a first overload, whose end can't be expected.
#[test]
fn refusals_are_final_while_no_earlier_overload_is_known() {
    let mut schedule = ReturnSchedule::default();
    for number in 0..100 {
        schedule.record_admission(1, at(number * 100));
    }
    assert_eq!(schedule.next(0, ms(15_000), at(10_000), 0.5), Return::Final);
}

/// Guards against a `Retry-After` that callers don't follow: they wait for up to a third of their
/// time.
#[test]
fn a_return_is_within_a_third_of_the_remaining_time() {
    fn holds(time_left: u16, excess: u16, rank: u8, random: u8, refusals: u8) -> bool {
        let (time_left, random) = (ms(u64::from(time_left)), f64::from(random) / 256.0);
        [ReturnSchedule::default(), calm()].into_iter().all(|mut schedule| {
            (0..u64::from(refusals % 16)).all(|number| {
                let now = at(20_000 + number * 100);
                schedule.record_overload(ms(u64::from(excess)), now);
                match schedule.next(rank, time_left, now, random) {
                    Return::At(wait) => wait <= time_left / 3 && wait >= ms(30),
                    Return::Final => true,
                }
            })
        })
    }
    QuickCheck::new().tests(500).quickcheck(holds as fn(u16, u16, u8, u8, u8) -> bool);
}

/// Guards against a retry that is known to come too early or too late.
#[test]
fn a_refusal_is_final_if_the_overload_lasts_longer_than_a_third_of_the_remaining_time() {
    for mut schedule in [ReturnSchedule::default(), calm()] {
        schedule.record_overload(ms(1_001), at(20_000));
        assert_eq!(schedule.next(0, ms(3_000), at(20_000), 0.5), Return::Final);
    }
    assert_eq!(calm().next(0, ms(60), at(20_000), 0.5), Return::Final);
}

/// Guards against restarted routers that promise returns without any knowledge of the load.
#[test]
fn after_a_restart_refusals_are_final_until_a_first_overload_has_passed() {
    let mut schedule = ReturnSchedule::default();
    // An overload of 2 s at the start may have begun earlier, so its duration isn't known.
    for start in [0, 12_000] {
        for number in 0..20 {
            let answer = schedule.next(1, ms(15_000), at(start + number * 100), 0.5);
            assert_eq!(answer, Return::Final, "{start} {number}");
        }
        for number in 20..120 {
            schedule.record_admission(1, at(start + number * 100));
        }
    }
    assert!(matches!(schedule.next(1, ms(15_000), at(24_000), 0.5), Return::At(_)));
}

/// Guards against routers that refuse at the same time and promise the same time.
#[test]
fn routers_with_the_same_knowledge_promise_different_times() {
    let waits = [0.0, 0.25, 0.5, 0.75]
        .map(|random| wait_ms(calm().next(1, ms(15_000), at(20_000), random)).expect("a return"));
    let different: std::collections::BTreeSet<u64> = waits.into_iter().collect();
    assert_eq!(different.len(), waits.len(), "{waits:?}");
}

#[test]
fn returns_are_spread_as_far_as_capacity_is_free() {
    let mut schedule = calm();
    let waits: Vec<u64> =
        (0..20).filter_map(|_| wait_ms(schedule.next(1, ms(15_000), at(20_000), 0.5))).collect();
    assert!((2..20).contains(&waits.len()), "{waits:?}");
    for (index, wait) in waits.iter().enumerate() {
        let close = waits.iter().filter(|other| other.abs_diff(*wait) <= 100).count();
        assert!(close <= 2, "{index}: {waits:?}");
    }
}

/// Guards against urgent callers behind less urgent ones that were refused before.
#[test]
fn an_urgent_caller_returns_before_less_urgent_ones_that_were_refused_earlier() {
    let mut schedule = calm();
    let others: Vec<u64> =
        (0..10).filter_map(|_| wait_ms(schedule.next(1, ms(15_000), at(20_000), 0.5))).collect();
    let urgent = wait_ms(schedule.next(0, ms(15_000), at(20_000), 0.5)).expect("a return");
    assert!(others.iter().all(|other| urgent <= *other), "{urgent} {others:?}");
}

/// Guards against a better place for callers that don't wait: each refusal gets a later time.
#[test]
fn callers_that_return_at_once_get_later_places() {
    let mut schedule = calm();
    let first = wait_ms(schedule.next(1, ms(15_000), at(20_000), 0.5)).expect("a return");
    let mut last = first;
    for number in 1..5 {
        let now = 20_000 + number * 5;
        let Some(wait) = wait_ms(schedule.next(1, ms(15_000), at(now), 0.5)) else { return };
        assert!(now - 20_000 + wait >= last, "{wait} {last}");
        last = now - 20_000 + wait;
    }
}

#[test]
fn the_next_request_of_the_rank_after_its_time_tells_whether_a_promise_held() {
    let mut schedule = calm();
    let mut now = 20_000;
    for is_admitted in [true, false] {
        let wait = wait_ms(schedule.next(0, ms(15_000), at(now), 0.5)).expect("a return");
        now += wait + 1;
        // Another rank doesn't tell anything.
        schedule.record_admission(1, at(now));
        match is_admitted {
            true => schedule.record_admission(0, at(now)),
            false => assert_eq!(schedule.next(0, ms(10), at(now), 0.5), Return::Final),
        }
        // Each promise is counted once.
        schedule.record_admission(0, at(now));
    }
    let counts = schedule.take_counts();
    assert_eq!(counts, PromiseCounts { promised: 2, held: 1, broken: 1 });
    assert_eq!(schedule.take_counts(), PromiseCounts::default());
}
