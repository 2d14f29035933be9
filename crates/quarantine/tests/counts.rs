//! Three ends of servers under a request put it in quarantine, however the reports come.

use std::time::Duration;

use juniper_quarantine::{
    Counted, CrashCounts, CrashReport, EndedWell, Report, Retelling, Unrecorded,
};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};
use quickcheck::quickcheck;

const AT_ONCE: Duration = Duration::ZERO;

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 16])
}

fn server(number: u8) -> InstanceId {
    InstanceId::new(format!("i-{number}"))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

fn report(asked: u8, ended: u8, age_ms: u64) -> CrashReport {
    let (age, under_way) = (Duration::from_millis(age_ms), Duration::from_millis(500));
    let (request, instance) = (request(asked), server(ended));
    CrashReport { request, instance, age, under_way, ended_well: false }
}

fn crash(counts: &mut CrashCounts, asked: u8, ended: u8, now: Timestamp) -> Counted {
    counts.crashed(&report(asked, ended, 0), now, AT_ONCE)
}

#[test]
fn the_third_end_puts_a_request_in_quarantine_and_no_other() {
    let mut counts = CrashCounts::default();
    assert_eq!(crash(&mut counts, 1, 1, at(100)), Counted::Suspected(1));
    assert_eq!(crash(&mut counts, 1, 2, at(101)), Counted::Suspected(2));
    assert_eq!(crash(&mut counts, 2, 2, at(101)), Counted::Suspected(1), "it ran there too");
    assert!(!counts.is_quarantined(&request(1)));
    let servers = vec![server(1), server(2), server(3)];
    assert_eq!(crash(&mut counts, 1, 3, at(102)), Counted::Quarantined(servers));
    assert!(counts.is_quarantined(&request(1)) && !counts.is_quarantined(&request(2)));
    assert_eq!(crash(&mut counts, 1, 4, at(103)), Counted::Known, "one that was under way");
}

#[test]
fn an_end_that_several_routers_report_or_one_tells_again_counts_once() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    for seconds in 101..110 {
        assert_eq!(crash(&mut counts, 1, 1, at(seconds)), Counted::Known);
    }
    assert!(!counts.is_quarantined(&request(1)));
}

/// All servers lose power at once. Copies of a frequent and innocent request were under way on
/// many of them.
#[test]
fn servers_that_end_at_the_same_moment_count_once() {
    let mut counts = CrashCounts::default();
    for ended in 1..=9 {
        let told = CrashReport { ended_well: true, ..report(1, ended, u64::from(ended) * 10) };
        assert_eq!(counts.crashed(&told, at(100), AT_ONCE), Counted::Suspected(1));
    }
    // A report that comes late tells how long ago it was.
    let late = CrashReport { ended_well: true, ..report(1, 10, 5_000) };
    assert_eq!(counts.crashed(&late, at(105), AT_ONCE), Counted::Suspected(1));
    assert_eq!(crash(&mut counts, 1, 11, at(106)), Counted::Suspected(2), "a later end counts");
}

/// Copies of a request that ends its servers come at several routers at the same moment.
#[test]
fn servers_that_end_together_count_each_if_the_request_never_ended_well() {
    let mut counts = CrashCounts::default();
    for ended in 1..=2 {
        let told = report(1, ended, u64::from(ended) * 10);
        assert_eq!(counts.crashed(&told, at(100), AT_ONCE), Counted::Suspected(ended.into()));
    }
    let third = counts.crashed(&report(1, 3, 30), at(100), AT_ONCE);
    assert!(matches!(third, Counted::Quarantined(_)), "{third:?}");
}

#[test]
fn requests_that_ended_well_are_remembered_until_others_take_their_place() {
    let mut ended_well = EndedWell::default();
    assert!(!ended_well.has(&request(0)), "a free place is no request");
    (1..=9).for_each(|number| ended_well.note(&request(number)));
    assert!((1..=9).all(|number| ended_well.has(&request(number))));
    assert!(!ended_well.has(&request(10)));
}

/// The router sends a request to the next server as soon as one has ended under it.
#[test]
fn servers_that_end_one_after_the_other_count_each() {
    let mut counts = CrashCounts::default();
    for ended in 1..=2_u8 {
        let under_way = Duration::from_millis(4);
        let told = CrashReport { under_way, ..report(1, ended, 100 - 10 * u64::from(ended)) };
        assert_eq!(counts.crashed(&told, at(100), AT_ONCE), Counted::Suspected(ended.into()));
    }
}

#[test]
fn a_whole_answer_clears_the_ends_before_it_also_those_that_are_reported_later() {
    let mut here = CrashCounts::default();
    let mut elsewhere = CrashCounts::default();
    crash(&mut here, 1, 1, at(100));
    crash(&mut here, 1, 2, at(101));
    let clearance = here.answered(request(1), at(102)).expect("ends counted");
    elsewhere.cleared(&clearance, at(102));
    for counts in [&mut here, &mut elsewhere] {
        assert_eq!(crash(counts, 1, 1, at(103)), Counted::Known);
        assert_eq!(crash(counts, 1, 2, at(103)), Counted::Known);
        assert_eq!(crash(counts, 1, 3, at(104)), Counted::Suspected(1), "later ends count");
    }
    assert_eq!(here.answered(request(2), at(105)), None, "nothing counted against it");
}

/// A copy of an innocent request was under way when the third end was counted, and ends well.
#[test]
fn a_whole_answer_ends_the_quarantine_too() {
    let mut counts = CrashCounts::default();
    (1..=3).for_each(|ended| drop(crash(&mut counts, 1, ended, at(100 + u64::from(ended)))));
    assert!(counts.is_quarantined(&request(1)));
    assert!(counts.answered(request(1), at(110)).is_some());
    assert!(!counts.is_quarantined(&request(1)));
    assert!(counts.due_records(at(120), |_| false).is_empty());
}

#[test]
fn a_quarantine_is_recorded_by_who_saw_an_end_first_and_asked_for_until_it_is() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    crash(&mut counts, 1, 2, at(101));
    counts.crashed(&report(1, 3, 0), at(102), Duration::from_secs(2));
    assert!(counts.due_records(at(103), |_| false).is_empty(), "others may do it");
    let unrecorded =
        Unrecorded { request: request(1), servers: vec![server(1), server(2), server(3)] };
    assert_eq!(counts.due_records(at(104), |_| false), std::slice::from_ref(&unrecorded));
    assert!(counts.due_records(at(104), |_| false).is_empty(), "a pause first");
    assert_eq!(counts.due_records(at(105), |_| false), [unrecorded]);
    assert!(counts.due_records(at(107), |_| true).is_empty(), "it is recorded");
}

#[test]
fn a_released_request_starts_anew_and_an_old_suspect_is_forgotten() {
    let mut counts = CrashCounts::default();
    (1..=3).for_each(|ended| drop(crash(&mut counts, 1, ended, at(100 + u64::from(ended)))));
    counts.released(&request(1));
    assert_eq!(crash(&mut counts, 1, 4, at(200)), Counted::Suspected(1));
    counts.forget_old(at(799));
    assert_eq!(counts.suspects(), 1);
    counts.forget_old(at(800));
    assert!(counts.is_empty());
}

/// Thousands of other requests, each under one end, push no request out under which two servers
/// have ended.
#[test]
fn suspects_are_bounded_and_the_least_suspicious_go_first() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    crash(&mut counts, 1, 2, at(101));
    for number in 0..10_000_u32 {
        let mut bytes = [9; 16];
        bytes[..4].copy_from_slice(&number.to_be_bytes());
        let told = CrashReport { request: RequestFingerprint(bytes), ..report(0, 3, 0) };
        counts.crashed(&told, at(102), AT_ONCE);
    }
    assert!((3_584..=4_096).contains(&counts.suspects()), "{}", counts.suspects());
    assert!(matches!(crash(&mut counts, 1, 3, at(103)), Counted::Quarantined(_)));
}

quickcheck! {
    /// Routers that hear the same ends in any order, some of them twice, agree in the end.
    fn the_order_of_reports_does_not_matter(ends: Vec<(u8, u8)>, turn: usize) -> bool {
        let ends: Vec<(u8, u8)> = ends.into_iter().map(|(who, what)| (who % 3, what % 6)).collect();
        let told = |ends: &[(u8, u8)]| {
            let mut counts = CrashCounts::default();
            for (asked, ended) in ends {
                // Each server ends at a time of its own, a second apart.
                let at_end = 1_000 * u64::from(*ended);
                counts.crashed(&report(*asked, *ended, 20_000 - at_end), at(100), AT_ONCE);
            }
            (0..3).map(|asked| counts.is_quarantined(&request(asked))).collect::<Vec<bool>>()
        };
        let mut other = ends.clone();
        if !other.is_empty() {
            let middle = turn % other.len();
            other.rotate_left(middle);
        }
        other.extend(ends.first().copied());
        told(&ends) == told(&other)
    }
}

#[test]
fn a_report_is_told_again_with_its_age_and_then_no_more() {
    let mut retelling = Retelling::default();
    retelling.told(Report::Crash(report(1, 1, 50)), at(100));
    let mut ages = Vec::new();
    for tenths in 0..80_u64 {
        let now = at(100).after(Duration::from_millis(tenths * 100));
        for again in retelling.due(now) {
            let Report::Crash(again) = again else { panic!("it was a crash") };
            ages.push(again.age.as_millis());
        }
    }
    assert_eq!(ages, [450, 1_350, 3_150]);
}
