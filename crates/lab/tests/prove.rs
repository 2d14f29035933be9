//! Checks a fixed set of seeds of every area, and that planted faults are detected.

use juniper_lab::prove::areas::{AREAS, Area, SeedRun};
use juniper_lab::prove::campaign::{Campaign, run};

const THREADS: usize = 4;

/// Number of seeds per area; longer campaigns run by the command line.
const SEEDS: u64 = 24;

/// Maximum number of seeds until a planted fault is detected.
const MAX_SEEDS_TO_FIND: u64 = 400;

fn campaign(area: &Area, planted: Option<&'static str>) -> juniper_lab::prove::campaign::Summary {
    let (seeds, stop_at_first) = match planted {
        Some(_) => (MAX_SEEDS_TO_FIND, true),
        None => (SEEDS, false),
    };
    run(area, Campaign { first_seed: 1, seeds, planted, stop_at_first }, THREADS)
}

#[test]
fn fixed_seeds_of_every_area_have_no_violation() {
    for area in AREAS {
        let summary = campaign(area, None);
        assert_eq!(summary.runs, SEEDS);
        assert_eq!(summary.failed, [], "{}", area.name);
    }
}

#[test]
fn every_planted_fault_is_detected() {
    for area in AREAS {
        assert!(area.planted.len() >= 2, "{} has too few planted faults", area.name);
        for planted in area.planted {
            let summary = campaign(area, Some(planted));
            assert!(
                !summary.failed.is_empty(),
                "{}: planted fault {planted} was not detected",
                area.name
            );
        }
    }
}

#[test]
fn a_seed_reproduces_its_trace() {
    for area in AREAS {
        let run = |seed| (area.run)(SeedRun { seed, planted: None, traced: true });
        for seed in 1..4 {
            let (first, second) = (run(seed), run(seed));
            assert!(first.trace.len() > 50, "{}: the trace is too short", area.name);
            assert_eq!(first, second, "{}", area.name);
        }
    }
}

/// Asserts that a seed of the area "claims" has no violation.
fn assert_claims_seed_holds(seed: u64) {
    let claims = AREAS.iter().find(|area| area.name == "claims").expect("the area is listed");
    let one_seed = Campaign { first_seed: seed, seeds: 1, planted: None, stop_at_first: false };
    assert_eq!(run(claims, one_seed, 1).failed, []);
}

/// A voter and, within 16 ms, the standby that replaces the voter lose their disks.
/// The other two voters hold all committed entries.
#[test]
fn a_voter_and_its_standby_lost_together_leave_a_quorum() {
    assert_claims_seed_holds(27_352);
}

/// A voter loses its disk, and so does a standby that is about to replace another
/// voter to spread the voters over zones.
#[test]
fn a_voter_and_the_standby_of_another_voter_lost_together_leave_a_quorum() {
    assert_claims_seed_holds(22_888);
}

/// A settlement is applied but the answer is lost. The settlement is resent after the
/// horizon has passed the key.
#[test]
fn a_settlement_resent_after_key_expiry_is_not_answered_as_not_held() {
    assert_claims_seed_holds(6_594);
}
