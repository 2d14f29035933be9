//! The ways that were weighed and not taken: each router has a share of the limit by itself.

use juniper_limits::{FleetShare, RateLimit, TokenBucket};
use juniper_types::Timestamp;

use crate::world::{Arrival, Way, World};

/// Time between two tellings of demand, in milliseconds.
const TELL_MS: u64 = 250;

/// Weight of the newest demand.
const GAIN: f64 = 0.3;

fn part(limit: RateLimit, share: FleetShare) -> RateLimit {
    RateLimit { per_second: share.of_rate(limit.per_second), burst: share.of_rate(limit.burst) }
}

/// Every router has the same share.
pub struct EvenShares {
    buckets: Vec<TokenBucket>,
}

impl EvenShares {
    pub fn new(world: &World) -> Self {
        let limit = part(world.limit, FleetShare::even(world.routers as u32));
        EvenShares { buckets: vec![TokenBucket::full(limit, Timestamp::ZERO); world.routers] }
    }
}

impl Way for EvenShares {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        let limit = part(world.limit, FleetShare::even(world.routers as u32));
        let bucket = &mut self.buckets[arrival.router];
        bucket.take_by_chance(arrival.units, limit, now, arrival.draw).is_ok()
    }
}

/// Routers tell their demand each quarter of a second; half of the limit follows it.
pub struct DemandShares {
    buckets: Vec<TokenBucket>,
    asked: Vec<f64>,
    told: Vec<f64>,
    told_at: u64,
}

impl DemandShares {
    pub fn new(world: &World) -> Self {
        let limit = part(world.limit, FleetShare::even(world.routers as u32));
        DemandShares {
            buckets: vec![TokenBucket::full(limit, Timestamp::ZERO); world.routers],
            asked: vec![0.0; world.routers],
            told: vec![0.0; world.routers],
            told_at: 0,
        }
    }

    fn tell(&mut self, now: u64) {
        while self.told_at + TELL_MS <= now {
            self.told_at += TELL_MS;
            for (told, asked) in self.told.iter_mut().zip(&mut self.asked) {
                *told += GAIN * (*asked - *told);
                *asked = 0.0;
            }
        }
    }
}

impl Way for DemandShares {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        self.tell(arrival.at);
        self.asked[arrival.router] += arrival.units;
        let all: f64 = self.told.iter().sum();
        let share = FleetShare::by_demand(world.routers as u32, self.told[arrival.router], all);
        let limit = part(world.limit, share);
        let bucket = &mut self.buckets[arrival.router];
        bucket.take_by_chance(arrival.units, limit, now, arrival.draw).is_ok()
    }
}
