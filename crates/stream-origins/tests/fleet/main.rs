//! Callers of a simulated fleet never receive events of two software versions in one stream, over all
//! routers that they try, and most resumed streams go on.

mod faults;
mod outcome;
mod records;
mod world;

use outcome::Outcome;
use world::{Mend, World, WorldSettings};

/// Resumes below which their share says nothing.
const MIN_RESUMES: usize = 12;

/// Sums up runs, of which each has to keep both rules.
fn check(seeds: std::ops::Range<u64>, settings: WorldSettings) {
    let (routers, mut total) = (settings.routers, Outcome::default());
    for seed in seeds {
        let outcome = World::new(seed, settings).run();
        assert_eq!(outcome.mixed, 0, "seed {seed} at {routers} routers: {outcome:?}");
        let (begin, go_on) = (outcome.share_begun(), outcome.share_continued());
        let is_few = outcome.resumed_in_touch < MIN_RESUMES;
        assert!(is_few || go_on >= begin / 2.0, "seed {seed} at {routers} routers: {outcome:?}");
        total.add(&outcome);
    }
    println!("{routers} routers, restarts {}: {total:?}", settings.restarts);
    assert!(total.resumed_in_touch >= MIN_RESUMES, "{total:?}");
}

fn fleet(routers: usize, replicas: usize) -> WorldSettings {
    WorldSettings { routers, replicas, ..WorldSettings::default() }
}

#[test]
fn streams_of_seven_routers_hold_one_version() {
    check(0..300, fleet(7, 3));
}

#[test]
fn streams_of_forty_eight_routers_hold_one_version() {
    check(1_000..1_040, fleet(48, 5));
}

#[test]
fn streams_of_nine_hundred_eighty_five_routers_hold_one_version() {
    check(2_000..2_004, fleet(985, 25));
}

#[test]
fn streams_hold_one_version_beside_routers_of_an_earlier_build() {
    for seed in 3_000..3_100 {
        let settings = WorldSettings { earlier_builds: 0.4, ..WorldSettings::default() };
        let outcome = World::new(seed, settings).run();
        assert_eq!(outcome.mixed, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn streams_of_servers_that_restart_under_their_names_hold_two_versions() {
    for (seeds, settings) in
        [(4_000..4_300, fleet(7, 3)), (5_000..5_040, fleet(48, 5)), (6_000..6_004, fleet(985, 25))]
    {
        check(seeds, WorldSettings { restarts: true, ..settings });
    }
}

#[test]
fn the_checks_notice_each_mend_that_is_missing() {
    let without = |missing| {
        let restarts = missing == Mend::Proof;
        let settings =
            WorldSettings { missing: Some(missing), restarts, ..WorldSettings::default() };
        let mut total = Outcome::default();
        (0..10).for_each(|seed| total.add(&World::new(seed, settings).run()));
        total
    };
    assert!(without(Mend::OwnResume).mixed > 0);
    assert!(without(Mend::CallersResume).mixed > 0);
    assert!(without(Mend::Proof).mixed > 0);
    let unpublished = without(Mend::Publication);
    assert!(unpublished.share_continued() < unpublished.share_begun() / 2.0, "{unpublished:?}");
}
