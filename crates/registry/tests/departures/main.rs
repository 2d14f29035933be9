//! Deregistrations of servers that restart under their names, over several replicas in virtual time:
//! an acknowledged departure takes effect at all routers, and takes no other incarnation away.

mod outcome;
mod server;
mod world;

use outcome::{Outcome, Planted};
use world::World;

fn run(seeds: std::ops::Range<u64>, planted: Option<Planted>) -> Outcome {
    let mut total = Outcome::default();
    for seed in seeds {
        let outcome = World::new(seed, planted).run();
        if planted.is_none() {
            assert!(outcome.is_clean(), "seed {seed}: {outcome:?}");
        }
        total.add(&outcome);
    }
    total
}

// Guards against a departure that is acknowledged and covers an earlier start only, because the
// replica that is called has not observed the latest one itself.
#[test]
fn acknowledged_departures_cover_the_caller_and_no_later_incarnation() {
    let total = run(0..2_000, None);
    println!("{total:?}");
    assert!(total.departures > 4_000, "{total:?}");
    assert!(total.unknown_to_all > 20 && total.of_gone_callers > 100, "{total:?}");
    assert!(total.returned > 2_000, "{total:?}");
}

#[test]
fn the_checks_notice_each_planted_fault() {
    assert!(run(0..300, Some(Planted::OwnObservationsOnly)).still_used > 0);
    assert!(run(0..300, Some(Planted::NothingAsked)).still_used > 0);
    assert!(run(0..300, Some(Planted::GoneCallersCount)).wrongly_removed > 0);
    assert!(run(0..300, Some(Planted::EverythingUntilNow)).wrongly_removed > 0);
}
