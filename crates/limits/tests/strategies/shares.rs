//! Alternative strategies: each router enforces a share of the limit.

use juniper_limits::{FleetShare, RateLimit, TokenBucket};
use juniper_types::Timestamp;

use crate::world::{Arrival, Strategy, World};

/// Interval between two reports of demand, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

/// Weight of the newest sample in the smoothed demand.
const SMOOTHING_FACTOR: f64 = 0.3;

fn share_of(limit: RateLimit, share: FleetShare) -> RateLimit {
    RateLimit { per_second: share.of_rate(limit.per_second), burst: share.of_rate(limit.burst) }
}

/// Same share for every router.
pub struct EvenShares {
    buckets: Vec<TokenBucket>,
}

impl EvenShares {
    pub fn new(world: &World) -> Self {
        let limit = share_of(world.limit, FleetShare::even(world.routers as u32));
        EvenShares { buckets: vec![TokenBucket::full(limit, Timestamp::ZERO); world.routers] }
    }
}

impl Strategy for EvenShares {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        let limit = share_of(world.limit, FleetShare::even(world.routers as u32));
        let bucket = &mut self.buckets[arrival.router];
        bucket.take_probabilistic(arrival.units, limit, now, arrival.draw).is_ok()
    }
}

/// Shares that follow the reported demand for half of the limit.
pub struct DemandShares {
    buckets: Vec<TokenBucket>,
    demand: Vec<f64>,
    reported: Vec<f64>,
    reported_at: u64,
}

impl DemandShares {
    pub fn new(world: &World) -> Self {
        let limit = share_of(world.limit, FleetShare::even(world.routers as u32));
        DemandShares {
            buckets: vec![TokenBucket::full(limit, Timestamp::ZERO); world.routers],
            demand: vec![0.0; world.routers],
            reported: vec![0.0; world.routers],
            reported_at: 0,
        }
    }

    fn report_demand(&mut self, now: u64) {
        while self.reported_at + REPORT_INTERVAL_MS <= now {
            self.reported_at += REPORT_INTERVAL_MS;
            for (reported, demand) in self.reported.iter_mut().zip(&mut self.demand) {
                *reported += SMOOTHING_FACTOR * (*demand - *reported);
                *demand = 0.0;
            }
        }
    }
}

impl Strategy for DemandShares {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        self.report_demand(arrival.at);
        self.demand[arrival.router] += arrival.units;
        let all: f64 = self.reported.iter().sum();
        let share = FleetShare::by_demand(world.routers as u32, self.reported[arrival.router], all);
        let limit = share_of(world.limit, share);
        let bucket = &mut self.buckets[arrival.router];
        bucket.take_probabilistic(arrival.units, limit, now, arrival.draw).is_ok()
    }
}
