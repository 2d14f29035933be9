//! Routers that are partitioned from servers, in a simulated fleet: the others must go on using all
//! servers that they reach.

mod world;

use world::{Cut, Sizes, World};

/// Fleets of a deployment with three zones, and of larger ones.
const FLEETS: [Sizes; 3] = [
    Sizes { routers: 7, servers: 12 },
    Sizes { routers: 48, servers: 60 },
    Sizes { routers: 985, servers: 300 },
];

/// Time from the cut until the checks hold, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Plays a cut in all fleets and returns the smallest share of the servers that a sound router had
/// as candidates.
fn lowest_candidate_share(cut_off: impl Fn(usize, Sizes) -> bool, kind: Cut) -> f64 {
    let shares = FLEETS.iter().map(|sizes| {
        let mut world = World::new(*sizes, |router| cut_off(router, *sizes), kind, 7);
        world.play(CONTACT_MS + 3_000);
        world.lowest_candidate_share(CONTACT_MS)
    });
    shares.fold(1.0, f64::min)
}

#[test]
fn reports_of_two_cut_off_routers_exclude_healthy_servers() {
    // Routers 0 and 1 are in different zones.
    for kind in [Cut::Silent, Cut::Refused] {
        let share = lowest_candidate_share(|router, _| router < 2, kind);
        assert_eq!(share, 1.0, "{kind:?}");
    }
}

#[test]
fn reports_of_half_of_the_routers_exclude_healthy_servers() {
    for kind in [Cut::Silent, Cut::Refused] {
        let share = lowest_candidate_share(|router, sizes| router < sizes.routers / 2, kind);
        assert_eq!(share, 1.0, "{kind:?}");
    }
}

#[test]
fn reports_of_all_routers_but_one_exclude_healthy_servers() {
    let share = lowest_candidate_share(|router, _| router > 0, Cut::Silent);
    assert_eq!(share, 1.0);
}

#[test]
fn reports_of_a_cut_off_zone_exclude_healthy_servers() {
    let share = lowest_candidate_share(|router, _| router % 3 == 0, Cut::Silent);
    assert_eq!(share, 1.0);
}

/// Servers that are really gone are still avoided because of others' reports.
#[test]
fn reports_of_crashed_servers_are_believed() {
    for sizes in FLEETS {
        let mut world = World::new(sizes, |_| false, Cut::Silent, 7);
        world.crash_servers(sizes.servers / 3);
        world.play(CONTACT_MS + 3_000);
        let failed = world.failed_share(CONTACT_MS);
        assert!(failed < 0.02, "{sizes:?}: {failed} of the attempts went to crashed servers");
    }
}
