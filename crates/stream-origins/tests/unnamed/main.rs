//! Callers that resume streams without naming them, while the servers of one software version replace
//! those of another and all routers, or replicas, are killed at once.

mod world;

use world::{Outcome, Planted, World};

fn run(seeds: std::ops::Range<u64>, planted: Option<Planted>) -> Outcome {
    let mut total = Outcome::default();
    for seed in seeds {
        let outcome = World::new(seed, planted).run();
        if planted.is_none() {
            assert_eq!(outcome.joined, 0, "seed {seed}: {outcome:?}");
            assert_eq!(outcome.refused_needlessly, 0, "seed {seed}: {outcome:?}");
        }
        total.add(&outcome);
    }
    total
}

// Guards against streams joined from two versions after all routers were killed, and against routers that
// refuse streams although a replica that has run for long knows of one version only.
#[test]
fn unnamed_streams_go_on_at_the_version_that_began_them_or_not_at_all() {
    let total = run(0..400, None);
    println!("{total:?}");
    assert!(total.continued > 10_000 && total.at_young_routers > 2_000, "{total:?}");
    assert!(total.refused > 1_000, "{total:?}");
}

#[test]
fn the_checks_notice_each_planted_fault() {
    assert!(run(0..60, Some(Planted::RouterTrustsItself)).joined > 0);
    assert!(run(0..60, Some(Planted::ReplicaTrustsItself)).joined > 0);
    assert!(run(0..60, Some(Planted::NothingAsked)).refused_needlessly > 0);
    let without_files = run(0..60, Some(Planted::NothingWritten));
    assert!(without_files.continued < run(0..60, None).continued, "{without_files:?}");
}
