//! Servers that crash if they have to reject more than a few requests per second, under more load
//! than they have room for.

mod world;

use world::{Reports, Sizes, World};

/// Rejections per second that a server survives.
const TOLERANCE: u32 = 3;

/// Falls that the users allow in one time of brittleness.
fn allowed_crashes(servers: usize) -> usize {
    2 + servers / 10
}

fn crashes(sizes: Sizes, reports: Reports, seed: u64) -> usize {
    let mut world = World::new(sizes, reports, TOLERANCE, seed);
    world.play(12_000);
    println!("{sizes:?} {reports:?} seed {seed}: utilization {:.2}", world.utilization());
    world.crashes()
}

#[test]
fn brittle_servers_crash_under_rejections() {
    let sizes = Sizes { routers: 7, servers: 12, load: 1.3 };
    for seed in 0..20 {
        let crashes = crashes(sizes, Reports::All, seed);
        assert!(crashes <= allowed_crashes(sizes.servers), "seed {seed}: {crashes} crashes");
    }
}

#[test]
fn brittle_servers_crash_under_rejections_of_many_routers() {
    // Reports of dispatches are dropped in large fleets.
    for (routers, servers, reports) in
        [(48, 20, Reports::All), (240, 60, Reports::Rejections), (985, 60, Reports::Rejections)]
    {
        let sizes = Sizes { routers, servers, load: 1.3 };
        for seed in 0..3 {
            let crashes = crashes(sizes, reports, seed);
            assert!(
                crashes <= allowed_crashes(servers),
                "{routers} routers, seed {seed}: {crashes} crashes"
            );
        }
    }
}

/// Shows that the load of these tests crashes servers if routers don't know that they are brittle.
#[test]
fn servers_crash_if_routers_do_not_know_that_they_are_brittle() {
    let sizes = Sizes { routers: 7, servers: 12, load: 1.3 };
    let crashes = crashes(sizes, Reports::Unaware, 0);
    assert!(crashes > allowed_crashes(sizes.servers), "only {crashes} crashes");
}
