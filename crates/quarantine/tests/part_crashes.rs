//! Parts of prompts that crash servers: found among their neighbours, and released when a prompt with
//! them completes.

use std::time::Duration;

use juniper_quarantine::{PartChange, PartCompletionReport, PartCrashReport, PartCrashes};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};
use quickcheck::quickcheck;

const BAD: u8 = 1;
const NEIGHBOUR: u8 = 2;
const OTHER: u8 = 3;

fn part(number: u8) -> RequestFingerprint {
    RequestFingerprint([number; 16])
}

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(100_000 + millis))
}

fn report(server: u64, parts: &[u8]) -> PartCrashReport {
    let instance = InstanceId::new(format!("i-{server}"));
    let parts = parts.iter().map(|number| part(*number)).collect();
    PartCrashReport { instance, age: Duration::ZERO, parts, trial: None }
}

/// One crash each 400 ms, of another server, with these parts in flight.
fn crash_all(crashes: &mut PartCrashes, sets: &[&[u8]]) -> Vec<PartChange> {
    let mut changes = Vec::new();
    for (number, parts) in sets.iter().enumerate() {
        let report = report(number as u64, parts);
        let now = at(400 * number as u64);
        changes.extend(crashes.record_crash(&report, now, Duration::ZERO));
    }
    changes
}

fn complete(crashes: &mut PartCrashes, number: u8, now: Timestamp) -> Vec<PartChange> {
    crashes.record_completion(part(number), now).map_or(Vec::new(), |(_, changes)| changes)
}

fn quarantined(crashes: &PartCrashes) -> Vec<u8> {
    (0..10).filter(|number| crashes.is_quarantined(&part(*number))).collect()
}

#[test]
fn prompts_that_share_only_one_part_crash_server_after_server() {
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[&[BAD, 4], &[BAD, 5, 6]]);
    assert_eq!(quarantined(&crashes), []);
    let changes = crashes.record_crash(&report(2, &[BAD, 7]), at(800), Duration::ZERO);
    let servers = (0..3).map(|server| InstanceId::new(format!("i-{server}"))).collect();
    assert_eq!(changes, [PartChange::Quarantined(part(BAD), servers)]);
    assert_eq!(quarantined(&crashes), [BAD]);
}

#[test]
fn a_frequent_sound_part_is_quarantined_beside_the_crashing_one() {
    let mut crashes = PartCrashes::default();
    for number in 0..6 {
        let now = at(400 * number);
        crashes.record_crash(&report(number, &[BAD, NEIGHBOUR]), now, Duration::ZERO);
        complete(&mut crashes, NEIGHBOUR, now.after(Duration::from_millis(300)));
    }
    assert_eq!(quarantined(&crashes), [BAD]);
}

#[test]
fn a_part_that_is_in_most_crashes_is_quarantined_for_the_one_that_is_in_all() {
    let mut crashes = PartCrashes::default();
    let both: &[u8] = &[BAD, NEIGHBOUR];
    crash_all(&mut crashes, &[both, both, &[BAD], both]);
    assert_eq!(quarantined(&crashes), [BAD], "the neighbour has three crashes, all explained");
}

#[test]
fn a_part_that_was_beside_the_crashing_one_each_time_stays_in_quarantine() {
    let both: &[u8] = &[BAD, NEIGHBOUR];
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[both, both, both]);
    assert_eq!(quarantined(&crashes), [BAD, NEIGHBOUR], "nothing tells them apart");
    let mut completed = crashes.clone();
    let changes = complete(&mut completed, NEIGHBOUR, at(1_500));
    assert_eq!(changes, [PartChange::Released(part(NEIGHBOUR))], "its trial completes");
    assert_eq!(quarantined(&completed), [BAD]);
    let mut in_flight = crashes.clone();
    in_flight.record_crash(&report(3, &[BAD]), at(1_000), Duration::ZERO);
    assert_eq!(quarantined(&in_flight), [BAD], "a copy in flight crashes another server");
    let trial = PartCrashReport { trial: Some(part(BAD)), ..report(3, &[BAD]) };
    crashes.record_crash(&trial, at(1_500), Duration::ZERO);
    assert_eq!(quarantined(&crashes), [BAD], "the trial of the other part fails");
    assert!(!crashes.is_trial_due(&part(BAD), at(60_000)));
}

#[test]
fn a_trial_beside_the_crashing_part_condemns_a_sound_one() {
    let both: &[u8] = &[BAD, NEIGHBOUR];
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[both, both, both]);
    let trial = PartCrashReport { trial: Some(part(NEIGHBOUR)), ..report(3, both) };
    crashes.record_crash(&trial, at(1_500), Duration::ZERO);
    let later = at(2_000);
    assert!(crashes.is_trial_due(&part(NEIGHBOUR), later), "the trial showed nothing");
    complete(&mut crashes, NEIGHBOUR, later);
    assert_eq!(quarantined(&crashes), [BAD]);
}

#[test]
fn the_common_neighbour_of_two_crashing_parts_hides_them() {
    let (first, second): (&[u8], &[u8]) = (&[BAD, NEIGHBOUR], &[OTHER, NEIGHBOUR]);
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[first, second, first, second, &[BAD], &[OTHER]]);
    assert_eq!(
        quarantined(&crashes),
        [NEIGHBOUR],
        "it explains the most crashes until it is tried"
    );
    assert!(crashes.is_trial_due(&part(NEIGHBOUR), at(2_500)));
    complete(&mut crashes, NEIGHBOUR, at(2_600));
    assert_eq!(quarantined(&crashes), [BAD, OTHER]);
}

#[test]
fn a_power_failure_quarantines_a_rare_part() {
    let mut crashes = PartCrashes::default();
    for server in 0..300 {
        let lost =
            PartCrashReport { age: Duration::from_millis(server % 140), ..report(server, &[4]) };
        crashes.record_crash(&lost, at(200), Duration::ZERO);
    }
    assert_eq!(quarantined(&crashes), []);
}

#[test]
fn repeated_reports_of_a_released_part_quarantine_it_again() {
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[&[4], &[4], &[4]]);
    crashes.adopt(part(4), at(1_000));
    complete(&mut crashes, 4, at(2_000));
    assert_eq!(quarantined(&crashes), [4], "until the replicas have released it");
    assert_eq!(crashes.due_releases(at(2_000)), [part(4)]);
    crashes.release(&part(4), at(2_100));
    for server in 0..3 {
        let late = PartCrashReport { age: Duration::from_secs(2), ..report(server, &[4]) };
        crashes.record_crash(&late, at(2_500), Duration::ZERO);
    }
    assert_eq!(quarantined(&crashes), []);
}

#[test]
fn a_restarted_router_releases_a_recorded_part() {
    let mut crashes = PartCrashes::default();
    crashes.adopt(part(BAD), at(0));
    crashes.record_crash(&report(9, &[BAD]), at(100), Duration::ZERO);
    assert_eq!(quarantined(&crashes), [BAD]);
    assert!(crashes.due_releases(at(10_000)).is_empty());
    assert!(!crashes.is_trial_due(&part(BAD), at(100_000)));
    assert!(crashes.is_trial_due(&part(BAD), at(600_000)), "the only way back without an operator");
}

#[test]
fn quarantines_are_recorded_at_once_only_after_their_trial() {
    let mut crashes = PartCrashes::default();
    crash_all(&mut crashes, &[&[BAD], &[BAD], &[BAD]]);
    assert!(crashes.due_records(at(1_000)).is_empty());
    let mut untried = crashes.clone();
    assert_eq!(untried.due_records(at(3_000)).len(), 1);
    assert!(untried.due_records(at(3_100)).is_empty(), "asked for a moment ago");
    let trial = PartCrashReport { trial: Some(part(BAD)), ..report(3, &[BAD]) };
    crashes.record_crash(&trial, at(1_200), Duration::ZERO);
    assert_eq!(crashes.due_records(at(1_200))[0].request, part(BAD));
}

quickcheck! {
    /// The order in which reports arrive makes no difference, nor do duplicates.
    fn reports_in_any_order_give_the_same_quarantines(sets: Vec<Vec<u8>>, draws: Vec<u8>) -> bool {
        let sets = &sets[..sets.len().min(12)];
        let reports: Vec<PartCrashReport> = sets
            .iter()
            .enumerate()
            .map(|(server, parts)| {
                let parts: Vec<u8> = parts.iter().map(|number| number % 6).collect();
                let age = Duration::from_millis(8_000 - 400 * server as u64);
                PartCrashReport { age, ..report(server as u64, &parts) }
            })
            .collect();
        let mut ordered = PartCrashes::default();
        for report in &reports {
            ordered.record_crash(report, at(0), Duration::ZERO);
        }
        let mut shuffled = reports.clone();
        for (position, draw) in draws.iter().enumerate().take(shuffled.len()) {
            let other = usize::from(*draw) % shuffled.len();
            shuffled.swap(position, other);
        }
        let mut other = PartCrashes::default();
        for report in shuffled.iter().chain(&shuffled) {
            other.record_crash(report, at(0), Duration::ZERO);
        }
        quarantined(&ordered) == quarantined(&other)
    }

    /// A part whose prompts complete after each crash is never quarantined.
    fn a_part_that_completes_is_never_quarantined(servers: u8, gap_ms: u16) -> bool {
        let mut crashes = PartCrashes::default();
        (0..u64::from(servers)).all(|server| {
            let now = at(server * u64::from(gap_ms));
            crashes.record_crash(&report(server, &[4]), now, Duration::ZERO);
            crashes.apply_completion(
                &PartCompletionReport { part: part(4), age: Duration::ZERO },
                now,
                Duration::ZERO,
            );
            quarantined(&crashes).is_empty()
        })
    }
}

/// Guards against ages of reports that count only from the start of the router that hears them.
#[test]
fn an_earlier_completion_clears_later_crashes_at_a_router_that_started_since() {
    let mut crashes = PartCrashes::default();
    let now = Timestamp::from_millis(50);
    let completion = PartCompletionReport { part: part(BAD), age: Duration::from_secs(60) };
    crashes.apply_completion(&completion, now, Duration::ZERO);
    for (server, age_ms) in [(0, 1_200), (1, 800), (2, 400)] {
        let age = Duration::from_millis(age_ms);
        let report = PartCrashReport { age, ..report(server, &[BAD, 4 + server as u8]) };
        crashes.record_crash(&report, now, Duration::ZERO);
    }
    assert_eq!(quarantined(&crashes), [BAD]);
}
