//! What one router knows of a server's limit: when it changes, when it is over, what others are told.

use std::time::Duration;

use juniper_limits::{Allowance, Decider, RateLimit, RequestRate, ServerLimit, ToldLimit, Verdict};
use juniper_types::Timestamp;

const UNIX_MS: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::of(per_second).expect("in range")
}

fn heard_at(millis: u64) -> ServerLimit {
    ServerLimit::heard_first(rate(1.6), at(millis), UNIX_MS + millis)
}

fn told(sequence: u64, per_second: f64, is_over: bool) -> ToldLimit {
    ToldLimit { sequence, rate: rate(per_second), is_over }
}

#[test]
fn what_is_first_heard_is_told_at_once_and_again_after_two_seconds() {
    let mut limit = heard_at(1_000);
    assert_eq!(limit.news(at(1_000)), Some(told(UNIX_MS + 1_000, 1.6, false)));
    assert!(!limit.heard(rate(1.6), at(1_400), UNIX_MS));
    assert_eq!(limit.news(at(1_400)), None);
    limit.heard(rate(1.6), at(3_000), UNIX_MS);
    assert!(limit.news(at(3_000)).is_some());
}

#[test]
fn what_another_router_has_just_told_is_not_told_again() {
    let mut limit = ServerLimit::told_first(told(7, 1.6, false), at(1_000));
    limit.heard(rate(1.6), at(1_010), UNIX_MS);
    assert_eq!(limit.news(at(1_010)), None);
}

#[test]
fn a_limit_that_changes_with_each_answer_is_told_four_times_a_second_at_most() {
    let mut limit = heard_at(0);
    let mut tellings = 0;
    for answer in 0..1_000_u64 {
        let now = at(answer * 10);
        limit.heard(rate(1.0 + (answer % 2) as f64), now, UNIX_MS + answer * 10);
        tellings += usize::from(limit.news(now).is_some());
    }
    assert!((30..=41).contains(&tellings), "{tellings}");
}

#[test]
fn an_answer_older_than_the_limit_does_not_end_it() {
    let mut limit = heard_at(1_000);
    assert!(!limit.heard_none(at(990), at(1_050), UNIX_MS + 1_050));
    assert!(limit.heard_none(at(1_010), at(1_060), UNIX_MS + 1_060));
}

#[test]
fn word_that_it_is_over_does_not_outweigh_what_was_just_heard() {
    let mut limit = heard_at(1_000);
    limit.news(at(1_000));
    let over = told(UNIX_MS + 1_005, 1.6, true);
    assert!(!limit.told(over, at(1_030), UNIX_MS + 1_030));
    let corrected = limit.news(at(1_300)).expect("the others are told that it stands");
    assert!(corrected.sequence > over.sequence && !corrected.is_over);
    assert!(limit.told(told(corrected.sequence + 50, 1.6, true), at(1_400), UNIX_MS));
}

#[test]
fn an_earlier_word_changes_nothing() {
    let mut limit = ServerLimit::told_first(told(50, 1.6, false), at(0));
    assert!(!limit.told(told(49, 9.0, false), at(10), UNIX_MS));
    assert!(!limit.told(told(48, 9.0, true), at(20), UNIX_MS));
    assert_eq!(limit.rate(), rate(1.6));
}

#[test]
fn a_limit_that_is_over_doubles_step_by_step_and_is_forgotten() {
    let mut limit = heard_at(0);
    limit.heard_none(at(10), at(1_000), UNIX_MS + 1_000);
    let per_second = |millis| limit.allowance(at(millis)).map(|it| it.limit.per_second);
    assert_eq!(per_second(1_000), Some(1.6));
    assert_eq!(per_second(1_500), Some(3.2));
    assert_eq!(per_second(3_999), Some(51.2));
    assert_eq!(per_second(4_000), None);
}

/// A limit that nobody hears for long stays: the routers that hear it may be others, and the
/// account would take over the rate of one that believes that it is over.
#[test]
fn a_limit_that_is_not_heard_for_long_stays_as_it_was() {
    let limit = heard_at(0);
    let expected = Allowance { limit: RateLimit { per_second: 1.6, burst: 1.0 }, version: UNIX_MS };
    assert_eq!(limit.allowance(at(3_600_000)), Some(expected));
}

#[test]
fn each_change_has_a_version_above_all_doublings_before_it() {
    let mut limit = heard_at(0);
    limit.heard_none(at(10), at(20), UNIX_MS);
    let last = limit.allowance(at(3_000)).expect("still doubling").version;
    // The time of day has stepped back; the order holds all the same.
    limit.heard(rate(1.6), at(3_010), 0);
    let next = limit.allowance(at(3_010)).expect("stated").version;
    assert!(next > last, "{next} after {last}");
}

#[test]
fn a_refusal_keeps_requests_away_until_there_is_room_and_a_higher_rate_shortens_that() {
    let mut limit = heard_at(0);
    let refused = Verdict::Refused { pause: Duration::from_millis(900), fleet_per_second: 1.6 };
    limit.decided(&refused, Decider::Owner, at(100));
    assert_eq!(limit.pause(at(100)), Some(Duration::from_millis(900)));
    assert_eq!(limit.pause(at(1_000)), None);
    limit.decided(&refused, Decider::Owner, at(2_000));
    limit.heard(rate(4.8), at(2_000), UNIX_MS);
    assert_eq!(limit.pause(at(2_000)), Some(Duration::from_millis(300)));
}

#[test]
fn a_router_that_decides_alone_asks_the_owner_again_soon() {
    let mut limit = heard_at(0);
    let refused = Verdict::Refused { pause: Duration::from_secs(60), fleet_per_second: 0.0 };
    limit.decided(&refused, Decider::Router, at(0));
    assert_eq!(limit.pause(at(0)), Some(Duration::from_secs(1)));
}

#[test]
fn the_part_in_use_is_what_the_owner_told_and_fades() {
    let mut limit = heard_at(0);
    assert!(limit.used_part(at(0)) > 0.99, "it states a limit since it got too much");
    let admitted = Verdict::Admitted { fleet_per_second: 0.8 };
    limit.decided(&admitted, Decider::Owner, at(0));
    assert!((limit.used_part(at(0)) - 0.5).abs() < 0.01);
    assert!(limit.used_part(at(10_000)) < 0.05);
}
