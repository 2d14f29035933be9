//! Crash counts of requests: quarantine after three crashes, clearances, and repeated reports.

use std::time::Duration;

use juniper_quarantine::{
    CompletedRequests, CountOutcome, CrashCounts, CrashReport, Rebroadcast, Report,
    UnrecordedQuarantine,
};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};
use quickcheck::quickcheck;

const NO_DELAY: Duration = Duration::ZERO;

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 16])
}

fn server(number: u8) -> InstanceId {
    InstanceId::new(format!("i-{number}"))
}

fn at(seconds: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_secs(seconds))
}

fn report(request_id: u8, server_id: u8, age_ms: u64) -> CrashReport {
    let (age, in_flight_for) = (Duration::from_millis(age_ms), Duration::from_millis(500));
    let (request, instance) = (request(request_id), server(server_id));
    CrashReport { request, instance, age, in_flight_for, completed_before: false }
}

fn crash(counts: &mut CrashCounts, request_id: u8, server_id: u8, now: Timestamp) -> CountOutcome {
    counts.record_crash(&report(request_id, server_id, 0), now, NO_DELAY)
}

#[test]
fn the_third_crash_quarantines_only_its_request() {
    let mut counts = CrashCounts::default();
    assert_eq!(crash(&mut counts, 1, 1, at(100)), CountOutcome::Suspected(1));
    assert_eq!(crash(&mut counts, 1, 2, at(101)), CountOutcome::Suspected(2));
    assert_eq!(
        crash(&mut counts, 2, 2, at(101)),
        CountOutcome::Suspected(1),
        "in flight there too"
    );
    assert!(!counts.is_quarantined(&request(1)));
    let servers = vec![server(1), server(2), server(3)];
    assert_eq!(crash(&mut counts, 1, 3, at(102)), CountOutcome::Quarantined(servers));
    assert!(counts.is_quarantined(&request(1)) && !counts.is_quarantined(&request(2)));
    assert_eq!(crash(&mut counts, 1, 4, at(103)), CountOutcome::Known, "a copy in flight");
}

#[test]
fn duplicate_reports_of_a_crash_count_once() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    for seconds in 101..110 {
        assert_eq!(crash(&mut counts, 1, 1, at(seconds)), CountOutcome::Known);
    }
    assert!(!counts.is_quarantined(&request(1)));
}

/// A power failure of all servers, with copies of a frequent, harmless request in flight.
#[test]
fn simultaneous_crashes_under_a_completed_request_count_once() {
    let mut counts = CrashCounts::default();
    for server_id in 1..=9 {
        let crash_report = CrashReport {
            completed_before: true,
            ..report(1, server_id, u64::from(server_id) * 10)
        };
        assert_eq!(
            counts.record_crash(&crash_report, at(100), NO_DELAY),
            CountOutcome::Suspected(1)
        );
    }
    // A late report carries the age of the crash.
    let late = CrashReport { completed_before: true, ..report(1, 10, 5_000) };
    assert_eq!(counts.record_crash(&late, at(105), NO_DELAY), CountOutcome::Suspected(1));
    assert_eq!(
        crash(&mut counts, 1, 11, at(106)),
        CountOutcome::Suspected(2),
        "a later crash counts"
    );
}

/// Copies of a request that crashes its servers arrive at several routers at once.
#[test]
fn simultaneous_crashes_under_a_never_completed_request_count_each() {
    let mut counts = CrashCounts::default();
    for server_id in 1..=2 {
        let crash_report = report(1, server_id, u64::from(server_id) * 10);
        assert_eq!(
            counts.record_crash(&crash_report, at(100), NO_DELAY),
            CountOutcome::Suspected(server_id.into())
        );
    }
    let third = counts.record_crash(&report(1, 3, 30), at(100), NO_DELAY);
    assert!(matches!(third, CountOutcome::Quarantined(_)), "{third:?}");
}

#[test]
fn completed_requests_are_recorded_until_overwritten() {
    let mut completed_requests = CompletedRequests::default();
    assert!(!completed_requests.contains(&request(0)), "a free slot matches no request");
    (1..=9).for_each(|number| completed_requests.record(&request(number)));
    assert!((1..=9).all(|number| completed_requests.contains(&request(number))));
    assert!(!completed_requests.contains(&request(10)));
}

/// The router retries a request on the next server as soon as one has crashed under it.
#[test]
fn consecutive_crashes_count_each() {
    let mut counts = CrashCounts::default();
    for server_id in 1..=2_u8 {
        let in_flight_for = Duration::from_millis(4);
        let crash_report =
            CrashReport { in_flight_for, ..report(1, server_id, 100 - 10 * u64::from(server_id)) };
        assert_eq!(
            counts.record_crash(&crash_report, at(100), NO_DELAY),
            CountOutcome::Suspected(server_id.into())
        );
    }
}

#[test]
fn completion_clears_earlier_crashes_even_if_reported_later() {
    let mut local = CrashCounts::default();
    let mut remote = CrashCounts::default();
    crash(&mut local, 1, 1, at(100));
    crash(&mut local, 1, 2, at(101));
    let clearance = local.record_completion(request(1), at(102)).expect("crashes counted");
    remote.apply_clearance(&clearance, at(102));
    for counts in [&mut local, &mut remote] {
        assert_eq!(crash(counts, 1, 1, at(103)), CountOutcome::Known);
        assert_eq!(crash(counts, 1, 2, at(103)), CountOutcome::Known);
        assert_eq!(crash(counts, 1, 3, at(104)), CountOutcome::Suspected(1), "later crashes count");
    }
    assert_eq!(local.record_completion(request(2), at(105)), None, "no crashes counted");
}

/// A copy of the request is in flight when the third crash is counted, and completes.
#[test]
fn completion_ends_the_quarantine() {
    let mut counts = CrashCounts::default();
    (1..=3).for_each(|server_id| {
        drop(crash(&mut counts, 1, server_id, at(100 + u64::from(server_id))))
    });
    assert!(counts.is_quarantined(&request(1)));
    assert!(counts.record_completion(request(1), at(110)).is_some());
    assert!(!counts.is_quarantined(&request(1)));
    assert!(counts.due_records(at(120), |_| false).is_empty());
}

#[test]
fn a_quarantine_is_due_after_a_delay_and_until_it_is_recorded() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    crash(&mut counts, 1, 2, at(101));
    counts.record_crash(&report(1, 3, 0), at(102), Duration::from_secs(2));
    assert!(
        counts.due_records(at(103), |_| false).is_empty(),
        "another router may have it recorded"
    );
    let unrecorded = UnrecordedQuarantine {
        request: request(1),
        servers: vec![server(1), server(2), server(3)],
    };
    assert_eq!(counts.due_records(at(104), |_| false), std::slice::from_ref(&unrecorded));
    assert!(counts.due_records(at(104), |_| false).is_empty(), "retried after an interval");
    assert_eq!(counts.due_records(at(105), |_| false), [unrecorded]);
    assert!(counts.due_records(at(107), |_| true).is_empty(), "already recorded");
}

#[test]
fn released_requests_and_old_suspects_are_removed() {
    let mut counts = CrashCounts::default();
    (1..=3).for_each(|server_id| {
        drop(crash(&mut counts, 1, server_id, at(100 + u64::from(server_id))))
    });
    counts.release(&request(1));
    assert_eq!(crash(&mut counts, 1, 4, at(200)), CountOutcome::Suspected(1));
    counts.remove_expired(at(799));
    assert_eq!(counts.suspect_count(), 1);
    counts.remove_expired(at(800));
    assert!(counts.is_empty());
}

/// Thousands of requests with one crash each don't evict a request with two crashes.
#[test]
fn suspects_are_bounded_and_those_with_the_fewest_crashes_are_evicted() {
    let mut counts = CrashCounts::default();
    crash(&mut counts, 1, 1, at(100));
    crash(&mut counts, 1, 2, at(101));
    for number in 0..10_000_u32 {
        let mut bytes = [9; 16];
        bytes[..4].copy_from_slice(&number.to_be_bytes());
        let crash_report = CrashReport { request: RequestFingerprint(bytes), ..report(0, 3, 0) };
        counts.record_crash(&crash_report, at(102), NO_DELAY);
    }
    assert!((3_584..=4_096).contains(&counts.suspect_count()), "{}", counts.suspect_count());
    assert!(matches!(crash(&mut counts, 1, 3, at(103)), CountOutcome::Quarantined(_)));
}

quickcheck! {
    /// Routers that receive the same reports in any order, some of them twice, agree.
    fn the_order_of_reports_does_not_matter(crashes: Vec<(u8, u8)>, rotation: usize) -> bool {
        let crashes: Vec<(u8, u8)> =
            crashes.into_iter().map(|(request, server)| (request % 3, server % 6)).collect();
        let quarantined = |crashes: &[(u8, u8)]| {
            let mut counts = CrashCounts::default();
            for (request_id, server_id) in crashes {
                // The servers crash a second apart.
                let crashed_ms = 1_000 * u64::from(*server_id);
                counts.record_crash(
                    &report(*request_id, *server_id, 20_000 - crashed_ms),
                    at(100),
                    NO_DELAY,
                );
            }
            (0..3).map(|id| counts.is_quarantined(&request(id))).collect::<Vec<bool>>()
        };
        let mut reordered = crashes.clone();
        if !reordered.is_empty() {
            let middle = rotation % reordered.len();
            reordered.rotate_left(middle);
        }
        reordered.extend(crashes.first().copied());
        quarantined(&crashes) == quarantined(&reordered)
    }
}

#[test]
fn a_report_is_repeated_three_times_with_its_current_age() {
    let mut rebroadcast = Rebroadcast::default();
    rebroadcast.schedule(Report::Crash(report(1, 1, 50)), at(100));
    let mut ages = Vec::new();
    for tenths in 0..80_u64 {
        let now = at(100).after(Duration::from_millis(tenths * 100));
        for repeat in rebroadcast.due(now) {
            let Report::Crash(repeat) = repeat else { panic!("not a crash report") };
            ages.push(repeat.age.as_millis());
        }
    }
    assert_eq!(ages, [450, 1_350, 3_150]);
}
