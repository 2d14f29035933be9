//! A server states what it takes from all routers together. What it gets is counted in each window
//! of four seconds, in simulated time, with many routers and faults. `LIMIT_SEEDS` sets the number
//! of seeds.

mod fleet;
mod ways;

use fleet::{
    Fault, Fleet, LENGTH_MS, NEED_FROM_MS, Need, Outcome, Way, in_window, play, worst_window,
};
use ways::{AloneWay, OwnedWay};

/// Seeds in CI.
const SEEDS: u64 = 1_500;

fn seeds() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn the_server_gets_no_more_than_its_rule_allows_whatever_fails() {
    let mut worst = 0.0f64;
    for seed in 0..seeds() {
        let fleet = Fleet::drawn(seed);
        let outcome = play(&fleet, &mut OwnedWay::new(&fleet));
        // While nothing that routers tell each other arrives, the users' rule counts those that
        // heard the server themselves. Else all are counted.
        let counted = match fleet.fault {
            Fault::NewsLost | Fault::AllDark | Fault::CutRouters(_) => &outcome.of_told,
            _ => &outcome.arrivals,
        };
        let Some((begin, got, allowed)) = worst_window(&fleet, counted) else { continue };
        worst = worst.max(got as f64 / allowed);
        assert!(
            got as f64 <= allowed,
            "seed {seed}: {got} of {allowed:.1} from {begin} ms on; {} routers, rate {}, {:?}, \
             {:?} from {} to {}",
            fleet.routers,
            fleet.rate,
            fleet.need,
            fleet.fault,
            fleet.from,
            fleet.until
        );
    }
    println!("worst window: {worst:.2} of what is allowed");
}

/// Part of what the server takes that it got while it stated the limit, and the most in a window
/// relative to what it takes.
fn used_and_most(fleet: &Fleet, outcome: &Outcome) -> (f64, f64) {
    let counted = outcome.arrivals.iter().filter(|at| **at >= NEED_FROM_MS + 3_000);
    let counted: Vec<u64> = counted.copied().collect();
    let seconds = (LENGTH_MS - NEED_FROM_MS - 3_000) as f64 / 1_000.0;
    let possible = fleet.demand.min(fleet.rate) * seconds;
    let most = counted.iter().map(|begin| in_window(&counted, *begin)).max().unwrap_or(0);
    (counted.len() as f64 / possible, most as f64 / (fleet.rate * 4.0))
}

fn compare<W: Way>(routers: usize, skew: f64, way: impl Fn(&Fleet) -> W) -> (f64, f64) {
    let plays = 40;
    let mut sums = (0.0, 0.0f64);
    for seed in 0..plays {
        let fleet = Fleet::calm(seed, routers, 2.7, 4.0, skew);
        let outcome = play(&fleet, &mut way(&fleet));
        let (used, most) = used_and_most(&fleet, &outcome);
        sums = (sums.0 + used / plays as f64, sums.1.max(most));
    }
    sums
}

#[test]
fn one_account_for_all_uses_the_limit_where_shares_leave_much_of_it() {
    println!("routers skew   way      used of the limit   most in a window, of the limit");
    for (routers, skew) in [(3, 1.0), (24, 1.0), (24, 8.0), (985, 1.0), (985, 8.0)] {
        let whole = compare(routers, skew, AloneWay::whole);
        let even = compare(routers, skew, AloneWay::even);
        let owned = compare(routers, skew, OwnedWay::new);
        for (name, (used, most)) in [("alone", whole), ("even", even), ("owner", owned)] {
            println!("{routers:7} {skew:4} {name:>9} {used:15.2} {most:22.2}");
        }
        // The users' rule: one and a half times, and five requests of 10.8.
        assert!(owned.1 <= 1.5 + 5.0 / 10.8, "{routers} {owned:?}");
        assert!(owned.0 >= 0.7, "{routers} {owned:?}");
    }
}

/// Charges and tellings a second.
fn messages(routers: usize, demand_each: f64) -> (f64, f64) {
    let rate = 2.7;
    let mut fleet = Fleet::calm(7, routers, rate, 1.0, 1.0);
    fleet.demand = demand_each * routers as f64;
    fleet.need = Need::Wavers(0.3);
    let mut way = OwnedWay::new(&fleet);
    let outcome = play(&fleet, &mut way);
    let seconds = (LENGTH_MS - NEED_FROM_MS) as f64 / 1_000.0;
    (way.charges as f64 / seconds, outcome.tellings as f64 / seconds)
}

#[test]
fn messages_grow_less_than_routers_do() {
    println!("routers   charges a second   tellings a second");
    let mut former: Option<(f64, f64)> = None;
    for routers in [10, 20, 40, 985] {
        let (charges, tellings) = messages(routers, 1.0);
        println!("{routers:7} {charges:18.1} {tellings:19.2}");
        // A limit that changes with each answer is told at most once for each answer.
        assert!(tellings <= 2.7 * 1.5, "{routers} routers: {tellings}");
        if let Some(former) = former.filter(|_| routers <= 40) {
            assert!(charges < former.0 * 1.9, "{routers} routers: {charges} after {former:?}");
        }
        former = Some((charges, tellings));
    }
}
