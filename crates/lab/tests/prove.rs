//! Fault campaigns of all areas with fixed seeds, and detection of planted faults.

use juniper_lab::prove::areas::{AREAS, Area, SeedRun};
use juniper_lab::prove::campaign::{Campaign, run};

const THREADS: usize = 4;

/// Number of seeds run for each area.
const SEEDS: u64 = 24;

/// Maximum number of seeds until a planted fault is found.
const MAX_SEEDS_TO_FIND: u64 = 400;

fn campaign(area: &Area, planted: Option<&'static str>) -> juniper_lab::prove::campaign::Summary {
    let (seeds, stop_at_first) = match planted {
        Some(_) => (MAX_SEEDS_TO_FIND, true),
        None => (SEEDS, false),
    };
    run(area, Campaign { first_seed: 1, seeds, planted, stop_at_first }, THREADS)
}

#[test]
fn the_fixed_seeds_of_every_area_show_no_violation() {
    for area in AREAS {
        let summary = campaign(area, None);
        assert_eq!(summary.runs, SEEDS);
        assert_eq!(summary.failed, [], "{}", area.name);
    }
}

#[test]
fn every_planted_fault_is_found() {
    for area in AREAS {
        assert!(area.planted.len() >= 2, "{} plants too little", area.name);
        for planted in area.planted {
            let summary = campaign(area, Some(planted));
            assert!(!summary.failed.is_empty(), "{}: {planted} was not found", area.name);
        }
    }
}

#[test]
fn a_seed_gives_the_same_trace_again() {
    for area in AREAS {
        let run = |seed| (area.run)(SeedRun { seed, planted: None, traced: true });
        for seed in 1..4 {
            let (first, second) = (run(seed), run(seed));
            assert!(first.trace.len() > 50, "{}: too short a trace", area.name);
            assert_eq!(first, second, "{}", area.name);
        }
    }
}

/// Runs one seed of the area "claims" (regression test).
fn assert_claims_seed_holds(seed: u64) {
    let claims = AREAS.iter().find(|area| area.name == "claims").expect("the area is listed");
    let one_seed = Campaign { first_seed: seed, seeds: 1, planted: None, stop_at_first: false };
    assert_eq!(run(claims, one_seed, 1).failed, []);
}

/// Loss of a voter's disk and, within 16 ms, of the disk of the standby that replaces
/// the voter; the other two voters still hold all accepted entries.
#[test]
fn a_voter_and_its_standby_lost_together_leave_a_quorum() {
    assert_claims_seed_holds(27_352);
}

/// Loss of a voter's disk and of the disk of a standby that is about to replace another
/// voter to spread voters over zones.
#[test]
fn a_standby_that_replaces_another_voter_than_the_lost_one_leaves_a_quorum() {
    assert_claims_seed_holds(22_888);
}

/// Retry of a settlement that was stored but whose answer was lost, after the horizon
/// has passed the key.
#[test]
fn a_settlement_sent_again_after_its_key_expired_is_not_told_that_it_never_held() {
    assert_claims_seed_holds(6_594);
}
