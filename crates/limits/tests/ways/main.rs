//! Three ways to hold a limit over a fleet, in simulated time with faults: even shares, shares by
//! told demand, and an owner for each tenant. `LIMIT_SEEDS` sets the number of seeds.

mod owned;
mod shares;
mod world;

use owned::OwnedWay;
use shares::{DemandShares, EvenShares};
use world::{Fault, Outcome, World, play};

/// Seeds in CI; 100,000 were played by hand (docs/design/fleet-limits.md).
const SEEDS: u64 = 1_500;

fn seeds() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// What the owner's way may admit in a window above rate and burst, by the design note.
fn stated_bound(world: &World) -> f64 {
    let limit = world.limit;
    let request = world.largest;
    let changes = f64::from(world.owner_changes());
    // Each owner begins with half of the burst and may overdraw by one request.
    let owners = request + changes * (limit.burst * 0.5 + request);
    // Routers that reach no owner admit 0.6 of the limit at most for the time that keys are
    // honoured (4.25 s); chance adds some requests.
    let unowned = match world.fault {
        Fault::None => 0.0,
        _ => 0.6 * (limit.per_second * 4.25 + limit.burst) + 12.0 * request,
    };
    owners + unowned
}

#[test]
fn the_owner_admits_no_more_than_the_limit_and_the_stated_bound() {
    for seed in 0..seeds() {
        let world = World::drawn(seed);
        let outcome = play(&world, &mut OwnedWay::new(&world));
        let most = world.limit.per_second * world::WINDOW_S + world.limit.burst;
        let bound = stated_bound(&world);
        assert!(
            outcome.most_in_window <= most + bound + 1e-6,
            "seed {seed}: {} of {most} + {bound} with {:?}",
            outcome.most_in_window,
            world.fault
        );
    }
}

/// Means over worlds without faults: admitted of what could be, and the worst excess.
fn compare(way: impl Fn(&World) -> Outcome, worlds: &[World]) -> (f64, f64) {
    let outcomes: Vec<Outcome> = worlds.iter().map(way).collect();
    let used = outcomes.iter().map(|outcome| outcome.utilisation).sum::<f64>();
    let excess = outcomes.iter().map(|outcome| outcome.excess).fold(0.0, f64::max);
    (used / outcomes.len() as f64, excess)
}

#[test]
fn under_skew_the_owner_uses_the_limit_where_shares_leave_much_of_it() {
    let worlds: Vec<World> = (0..200).map(World::skewed).collect();
    let even = compare(|world| play(world, &mut EvenShares::new(world)), &worlds);
    let demand = compare(|world| play(world, &mut DemandShares::new(world)), &worlds);
    let owned = compare(|world| play(world, &mut OwnedWay::new(world)), &worlds);
    println!("way            used of what could be   most above the limit, of it");
    for (name, (used, excess)) in [("even", even), ("demand", demand), ("owner", owned)] {
        println!("{name:14} {used:20.3} {excess:22.3}");
    }
    assert!(owned.0 > 0.95, "{owned:?}");
    assert!(even.0 < 0.5, "{even:?}");
    assert!(demand.0 < owned.0, "{demand:?} {owned:?}");
}
