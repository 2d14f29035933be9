//! All routers together keep the retry budget of a service, in any window.

mod checker;
mod fleet;
mod series;

use std::time::Duration;

use juniper_placement::RetrySettings;

use crate::fleet::{Counting, Fault, Fleet, Scenario};

const WINDOW: Duration = Duration::from_secs(10);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn scenario(routers: usize, rate: f64, free: f64) -> Scenario {
    Scenario {
        settings: RetrySettings { ratio: 0.2, free, window: WINDOW },
        routers,
        absent: Vec::new(),
        rate,
        failing_from: seconds(15.0),
        length: seconds(40.0),
        counting: Counting::Exact,
        faults: Vec::new(),
    }
}

/// Asserts that the scenario keeps the budget with each of the seeds.
fn assert_kept(scenario: &Scenario, seeds: u64) {
    for seed in 0..seeds {
        let worst = Fleet::play(scenario.clone(), seed);
        assert!(worst.usage() <= 1.0, "seed {seed}: {worst:?}");
    }
}

/// Kills of every other router, alternating, `gap` apart.
fn alternating_kills(routers: usize, from: f64, gap: f64, count: usize) -> Vec<(Duration, Fault)> {
    let half = move |round: usize| (0..routers).filter(move |router| router % 2 == round % 2);
    let kills = |round: usize| {
        let at = seconds(from + gap * round as f64);
        half(round).map(move |router| (at, Fault::KillRouter(router, seconds(0.5))))
    };
    (0..count).flat_map(kills).collect()
}

#[test]
fn routers_without_faults_use_most_of_the_budget() {
    for (routers, rate, free) in [(1, 60.0, 54.0), (7, 60.0, 54.0), (48, 560.0, 180.0)] {
        let calm = scenario(routers, rate, free);
        assert_kept(&calm, 4);
        let worst = Fleet::play(calm, 0);
        assert!(worst.usage() > 0.5, "{routers} routers: {worst:?}");
    }
}

/// Guards against routers that grant their whole share again after each restart.
#[test]
fn restarted_routers_exceed_the_retry_budget() {
    for (routers, rate, free) in [(7, 60.0, 54.0), (48, 560.0, 180.0), (985, 3_600.0, 1_040.0)] {
        let faults = alternating_kills(routers, 16.0, 2.0, 10);
        assert_kept(&Scenario { faults, ..scenario(routers, rate, free) }, 4);
    }
}

/// Guards against one share for the same window at the routers that callers leave and at those
/// that they move to.
#[test]
fn callers_that_move_between_routers_exceed_the_retry_budget() {
    for (routers, rate, free) in [(7, 60.0, 20.0), (48, 560.0, 60.0)] {
        let half = |side: usize| (0..routers).filter(|router| router % 2 == side).collect();
        let moves = (0..6).map(|round| {
            let at = seconds(15.5 + 4.0 * f64::from(round));
            (at, Fault::MoveCallers(half(round as usize % 2)))
        });
        let start = (seconds(0.0), Fault::MoveCallers(half(1)));
        let faults = std::iter::once(start).chain(moves).collect();
        assert_kept(&Scenario { faults, ..scenario(routers, rate, free) }, 4);
    }
}

/// Guards against survivors that take over the free retries of dead routers at once.
#[test]
fn survivors_of_dead_routers_exceed_the_retry_budget() {
    for (routers, free) in [(7, 54.0), (40, 180.0)] {
        let dead = (0..routers).filter(|router| router % 3 > 0);
        let kill = |router| (seconds(18.0), Fault::KillRouter(router, seconds(60.0)));
        let faults = dead.map(kill).collect();
        let counting = Counting::Reported;
        assert_kept(&Scenario { faults, counting, ..scenario(routers, 6.0, free) }, 4);
    }
}

/// Guards against routers on both sides of a partition that divide the free retries by the number
/// on their own side.
#[test]
fn partitioned_routers_exceed_the_retry_budget() {
    let (routers, free) = (8, 56.0);
    let cut = Fault::Cut { routers: vec![0, 1, 2, 3], replicas: vec![0], length: seconds(30.0) };
    let faults = vec![(seconds(5.0), cut)];
    let counting = Counting::Reported;
    assert_kept(&Scenario { faults, counting, ..scenario(routers, 6.0, free) }, 4);
}

/// Guards against routers that reach different replicas, each of which counts only some of them.
#[test]
fn routers_with_different_replicas_exceed_the_retry_budget() {
    let (routers, free) = (9, 56.0);
    let block = |router: usize| {
        let replicas = vec![(router + 1) % 3, (router + 2) % 3];
        (seconds(1.0), Fault::Block { routers: vec![router], replicas, length: seconds(60.0) })
    };
    let faults = (0..routers).map(block).collect();
    let counting = Counting::Reported;
    assert_kept(&Scenario { faults, counting, ..scenario(routers, 6.0, free) }, 4);
}

/// Guards against free retries divided by the few routers that restarted replicas know at first.
#[test]
fn restarted_replicas_exceed_the_retry_budget() {
    for (routers, rate, free) in [(7, 20.0, 54.0), (120, 200.0, 400.0), (985, 3_600.0, 1_040.0)] {
        let mut faults = Vec::new();
        for round in 0..8 {
            let at = seconds(15.0 + 3.0 * f64::from(round));
            let kill = |replica| (at, Fault::KillReplica(replica, seconds(0.5)));
            faults.extend((0..3).map(kill));
        }
        let counting = Counting::Reported;
        assert_kept(&Scenario { faults, counting, ..scenario(routers, rate, free) }, 4);
    }
}

/// Guards against routers of a growing fleet that divide the free retries by its earlier size.
#[test]
fn growing_fleet_exceeds_the_retry_budget() {
    let routers = 70;
    let absent: Vec<usize> = (7..routers).collect();
    let join = |router: &usize| (seconds(18.0), Fault::KillRouter(*router, Duration::ZERO));
    let faults = absent.iter().map(join).collect();
    let counting = Counting::Reported;
    assert_kept(&Scenario { faults, absent, counting, ..scenario(routers, 30.0, 180.0) }, 4);
}

/// Guards against requests that earn retries when a router that stood still serves them, although
/// callers sent them in an earlier window.
#[test]
fn requests_that_waited_for_frozen_routers_exceed_the_retry_budget() {
    let fleets = [(7, 60.0, 0.0), (8, 62.0, 56.0), (48, 560.0, 180.0), (985, 3_600.0, 1_040.0)];
    for ((routers, rate, free), length) in fleets.into_iter().zip([4.0, 8.0].repeat(2)) {
        for transmitted_again in [false, true] {
            let length = seconds(length);
            let freeze =
                |router| Fault::FreezeRouterWithCallers { router, length, transmitted_again };
            let faults = (0..routers).map(|router| (seconds(20.0), freeze(router))).collect();
            let failing_from = seconds(20.0);
            assert_kept(&Scenario { faults, failing_from, ..scenario(routers, rate, free) }, 4);
        }
    }
}

/// Time without an acknowledgement after which a router closes a connection to a server.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Guards against retries that arrive in a later window than the one in which they were granted.
#[test]
fn retries_held_back_on_their_way_exceed_the_retry_budget() {
    for (routers, rate, free) in [(7, 600.0, 0.0), (8, 620.0, 56.0), (48, 5_600.0, 18.0)] {
        for at in [15.0, 15.5, 15.9].map(seconds) {
            let faults = vec![(at, Fault::HoldRetries(UNACKNOWLEDGED_TIMEOUT))];
            let held = Scenario { faults, failing_from: at, ..scenario(routers, rate, free) };
            assert_kept(&held, 4);
        }
    }
}

/// Default number of random series that are played; `RETRY_BUDGET_SERIES` sets another one.
const DEFAULT_SERIES: u64 = 150;

fn number_of_series() -> u64 {
    let text = std::env::var("RETRY_BUDGET_SERIES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SERIES)
}

/// Guards against combinations of the faults above.
#[test]
fn series_of_faults_exceed_the_retry_budget() {
    for seed in 0..number_of_series() {
        let worst = Fleet::play(series::scenario(seed), seed);
        assert!(worst.usage() <= 1.0, "seed {seed}: {worst:?}");
    }
}
