//! Simulation, with many routers and faults, of a server that advertises a limit. Checks the
//! requests that it receives in each window of four seconds. `LIMIT_SEEDS` sets the number of
//! seeds.

mod fleet;
mod strategies;

use fleet::{
    ADVERTISED_FROM_MS, Advertisement, DURATION_MS, Fault, Fleet, Outcome, Strategy, in_window,
    simulate, worst_window,
};
use strategies::{LocalStrategy, OwnerStrategy};

/// Number of seeds unless `LIMIT_SEEDS` is set.
const SEEDS: u64 = 1_500;

fn seeds() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn the_server_receives_no_more_than_allowed_under_any_fault() {
    let mut worst_ratio = 0.0f64;
    for seed in 0..seeds() {
        let fleet = Fleet::random(seed);
        let outcome = simulate(&fleet, &mut OwnerStrategy::new(&fleet));
        // While no reports between routers arrive, the requirement covers only the requests of
        // routers that observed the limit themselves.
        let counted = match fleet.fault {
            Fault::ReportsLost | Fault::AllReplicasDown | Fault::PartitionedRouters(_) => {
                &outcome.of_aware_routers
            }
            _ => &outcome.arrivals,
        };
        let Some((begin, received, allowed)) = worst_window(&fleet, counted) else { continue };
        worst_ratio = worst_ratio.max(received as f64 / allowed);
        assert!(
            received as f64 <= allowed,
            "seed {seed}: {received} of {allowed:.1} from {begin} ms on; {} routers, rate {}, {:?}, \
             {:?} from {} to {}",
            fleet.routers,
            fleet.rate,
            fleet.advertisement,
            fleet.fault,
            fleet.from,
            fleet.until
        );
    }
    println!("worst window: {worst_ratio:.2} of the allowed requests");
}

/// Requests that the server received while it advertised the limit, relative to those it could
/// receive, and the peak in a window, relative to the limit.
fn utilization_and_peak(fleet: &Fleet, outcome: &Outcome) -> (f64, f64) {
    let counted = outcome.arrivals.iter().filter(|at| **at >= ADVERTISED_FROM_MS + 3_000);
    let counted: Vec<u64> = counted.copied().collect();
    let seconds = (DURATION_MS - ADVERTISED_FROM_MS - 3_000) as f64 / 1_000.0;
    let expected = fleet.demand.min(fleet.rate) * seconds;
    let peak = counted.iter().map(|begin| in_window(&counted, *begin)).max().unwrap_or(0);
    (counted.len() as f64 / expected, peak as f64 / (fleet.rate * 4.0))
}

fn compare<W: Strategy>(routers: usize, skew: f64, strategy: impl Fn(&Fleet) -> W) -> (f64, f64) {
    let runs = 40;
    let mut sums = (0.0, 0.0f64);
    for seed in 0..runs {
        let fleet = Fleet::fault_free(seed, routers, 2.7, 4.0, skew);
        let outcome = simulate(&fleet, &mut strategy(&fleet));
        let (utilization, peak) = utilization_and_peak(&fleet, &outcome);
        sums = (sums.0 + utilization / runs as f64, sums.1.max(peak));
    }
    sums
}

#[test]
fn one_shared_account_utilizes_the_limit_under_skew() {
    println!("routers skew  strategy    utilization   peak window, of the limit");
    for (routers, skew) in [(3, 1.0), (24, 1.0), (24, 8.0), (985, 1.0), (985, 8.0)] {
        let whole = compare(routers, skew, LocalStrategy::whole);
        let even = compare(routers, skew, LocalStrategy::even);
        let owned = compare(routers, skew, OwnerStrategy::new);
        for (name, (utilization, peak)) in [("whole", whole), ("even", even), ("owner", owned)] {
            println!("{routers:7} {skew:4} {name:>9} {utilization:14.2} {peak:27.2}");
        }
        // Allowed in a window of 10.8 requests: 1.5 times the limit plus five requests.
        assert!(owned.1 <= 1.5 + 5.0 / 10.8, "{routers} {owned:?}");
        assert!(owned.0 >= 0.7, "{routers} {owned:?}");
    }
}

/// Charges and reports per second.
fn message_rates(routers: usize, demand_per_router: f64) -> (f64, f64) {
    let rate = 2.7;
    let mut fleet = Fleet::fault_free(7, routers, rate, 1.0, 1.0);
    fleet.demand = demand_per_router * routers as f64;
    fleet.advertisement = Advertisement::Fluctuates(0.3);
    let mut strategy = OwnerStrategy::new(&fleet);
    let outcome = simulate(&fleet, &mut strategy);
    let seconds = (DURATION_MS - ADVERTISED_FROM_MS) as f64 / 1_000.0;
    (strategy.charges as f64 / seconds, outcome.reports as f64 / seconds)
}

#[test]
fn message_rates_grow_more_slowly_than_the_number_of_routers() {
    println!("routers   charges/s           reports/s");
    let mut previous: Option<(f64, f64)> = None;
    for routers in [10, 20, 40, 985] {
        let (charges, reports) = message_rates(routers, 1.0);
        println!("{routers:7} {charges:11.1} {reports:19.2}");
        // A limit that changes with each answer is reported at most once per answer.
        assert!(reports <= 2.7 * 1.5, "{routers} routers: {reports}");
        if let Some(previous) = previous.filter(|_| routers <= 40) {
            assert!(charges < previous.0 * 1.9, "{routers} routers: {charges} after {previous:?}");
        }
        previous = Some((charges, reports));
    }
}
