//! Prompts with a crashing part at all routers of a simulated fleet, beside sound ones: few of them
//! reach servers after the fifth crash, and the sound ones are served.

mod faults;
mod outcome;
mod reports;
mod world;

use outcome::Outcome;
use world::{World, WorldSettings};

/// Prompts with a crashing part that may reach servers after the fifth crash was known.
const MAX_LATER_SENDS: usize = 3;

/// Prompts below which the share of those that begin says nothing.
const MIN_PROMPTS: usize = 20;

fn check(seeds: std::ops::Range<u64>, settings: WorldSettings) {
    let mut total = Outcome::default();
    for seed in seeds {
        let outcome = World::new(seed, settings).run();
        let routers = settings.routers;
        assert!(
            outcome.later_sends <= MAX_LATER_SENDS,
            "BUDGET: seed {seed} at {routers} routers: {outcome:?}"
        );
        for (what, kind) in [("first part", outcome.shared), ("neighbour", outcome.neighbour)] {
            let is_judged = kind.sent >= MIN_PROMPTS;
            assert!(
                !is_judged || 2 * kind.begun >= kind.sent,
                "LOST: {what}: seed {seed} at {routers} routers: {outcome:?}"
            );
        }
        total.add(&outcome);
    }
    println!("{settings:?}: {total}");
    assert!(total.crashes > 0 && total.shared.sent > MIN_PROMPTS);
}

fn fleet(routers: usize, servers: usize, prompts_per_second: u64) -> WorldSettings {
    WorldSettings { routers, servers, prompts_per_second, ..WorldSettings::default() }
}

#[test]
fn seven_routers_go_on_sending_a_crashing_part() {
    check(0..300, fleet(7, 12, 60));
}

#[test]
fn forty_eight_routers_go_on_sending_a_crashing_part() {
    check(1_000..1_030, fleet(48, 60, 300));
}

#[test]
fn nine_hundred_eighty_five_routers_go_on_sending_a_crashing_part() {
    check(2_000..2_003, fleet(985, 1_500, 1_500));
}

#[test]
fn two_crashing_parts_are_sent_on() {
    check(3_000..3_100, WorldSettings { crashing_parts: 2, ..fleet(7, 12, 60) });
}

#[test]
fn a_crashing_part_is_sent_on_among_faults() {
    check(4_000..4_300, WorldSettings { faults: true, ..fleet(7, 12, 60) });
}

#[test]
fn a_neighbour_stays_refused_while_its_trials_are_interrupted() {
    check(24_235..24_236, WorldSettings { faults: true, ..fleet(7, 12, 60) });
}

#[test]
fn a_fleet_without_a_crashing_part_refuses_prompts() {
    let settings = WorldSettings { crashing_parts: 0, server_faults: true, ..fleet(7, 12, 60) };
    for seed in 5_000..5_100 {
        let outcome = World::new(seed, settings).run();
        let refused = outcome.shared.refused + outcome.neighbour.refused;
        assert!(100 * refused <= outcome.shared.sent, "seed {seed}: {outcome:?}");
    }
}
