//! A fleet of routers and replicas, the requests of one tenant, and one fault.

use juniper_limits::RateLimit;
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Window in which what is admitted is added up, in seconds.
pub const WINDOW_S: f64 = 8.0;

/// Length of a play, in milliseconds.
const LENGTH_MS: u64 = 24_000;

/// Time without any replica after which a router honours no keys, in milliseconds.
pub const KEYS_HONOURED_MS: u64 = 4_250;

/// Time until a replica without power is noticed, in milliseconds.
pub const NOTICED_MS: u64 = 2_100;

/// Time for which a replica that is cut off still takes itself for current.
pub const CONFIRMED_MS: u64 = 2_500;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A replica loses power, and comes back without what it knew.
    Dark {
        replica: usize,
        from: u64,
        until: u64,
    },
    /// All replicas lose power.
    AllDark {
        from: u64,
        until: u64,
    },
    /// A replica reaches the routers below a number only, and no quorum.
    CutReplica {
        replica: usize,
        below: usize,
        from: u64,
        until: u64,
    },
    /// The routers below a number reach no replica.
    CutRouters {
        below: usize,
        from: u64,
        until: u64,
    },
}

/// One request of the tenant.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: u64,
    pub router: usize,
    pub units: f64,
    pub draw: f64,
}

pub struct World {
    pub routers: usize,
    pub replicas: usize,
    pub limit: RateLimit,
    pub largest: f64,
    pub fault: Fault,
    pub arrivals: Vec<Arrival>,
}

impl World {
    /// A world with a fault; the tenant asks for half to five times its limit.
    pub fn drawn(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = random.random_range(4..40);
        let replicas = random.random_range(3..7);
        let from = random.random_range(2_000..14_000);
        let until = from + random.random_range(300..9_000);
        let replica = random.random_range(0..replicas);
        let fault = match random.random_range(0..5) {
            0 => Fault::None,
            1 => Fault::Dark { replica, from, until },
            2 => Fault::AllDark { from, until },
            3 => {
                let below = random.random_range(0..routers);
                Fault::CutReplica { replica, below, from, until }
            }
            _ => Fault::CutRouters { below: random.random_range(0..=routers), from, until },
        };
        let times = random.random_range(0.5..5.0);
        Self::with(random, routers, replicas, fault, times, 1.0)
    }

    /// A world without a fault in which one of many routers has nearly all of the tenant's
    /// requests, which ask for twice its limit.
    pub fn skewed(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self::with(random, 40, 6, Fault::None, 2.0, 12.0)
    }

    /// Requests that ask for `times` the limit; a higher `skew` gives more of them to few routers.
    fn with(
        mut random: ChaCha8Rng,
        routers: usize,
        replicas: usize,
        fault: Fault,
        times: f64,
        skew: f64,
    ) -> Self {
        let mean_units = 1_000.0;
        let limit = RateLimit { per_second: 20_000.0, burst: random.random_range(0.2..1.5) * 2e4 };
        let count = (times * limit.per_second * LENGTH_MS as f64 / 1_000.0 / mean_units) as usize;
        let mut arrivals: Vec<Arrival> = (0..count)
            .map(|_| Arrival {
                at: random.random_range(0..LENGTH_MS),
                router: (random.random::<f64>().powf(skew) * routers as f64) as usize,
                units: mean_units * random.random_range(0.1..1.9),
                draw: random.random(),
            })
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let largest = arrivals.iter().map(|arrival| arrival.units).fold(0.0, f64::max);
        World { routers, replicas, limit, largest, fault, arrivals }
    }

    /// Whether the replica has power.
    pub fn has_power(&self, replica: usize, now: u64) -> bool {
        match self.fault {
            Fault::Dark { replica: dark, from, until } => {
                replica != dark || !(from..until).contains(&now)
            }
            Fault::AllDark { from, until } => !(from..until).contains(&now),
            _ => true,
        }
    }

    /// Whether the router's requests reach the replica.
    pub fn reaches(&self, router: usize, replica: usize, now: u64) -> bool {
        let is_cut = match self.fault {
            Fault::CutReplica { replica: cut, below, from, until } => {
                replica == cut && router >= below && (from..until).contains(&now)
            }
            Fault::CutRouters { below, from, until } => {
                router < below && (from..until).contains(&now)
            }
            _ => false,
        };
        !is_cut && self.has_power(replica, now)
    }

    /// Whether the router holds the replica for connected: a silent one is noticed late.
    pub fn seems_connected(&self, router: usize, replica: usize, now: u64) -> bool {
        let noticed = now.saturating_sub(NOTICED_MS);
        self.reaches(router, replica, now)
            || (noticed..now).step_by(50).any(|past| self.reaches(router, replica, past))
    }

    /// Whether a quorum confirmed the replica lately.
    pub fn is_confirmed(&self, replica: usize, now: u64) -> bool {
        match self.fault {
            Fault::CutReplica { replica: cut, from, until, .. } if replica == cut => {
                !(from + CONFIRMED_MS..until).contains(&now)
            }
            _ => true,
        }
    }

    /// Times that the owner of a tenant may change in the fault: away and back.
    pub fn owner_changes(&self) -> u32 {
        match self.fault {
            Fault::None => 0,
            _ => 2,
        }
    }
}

/// A way to hold the limit.
pub trait Way {
    /// Whether the request is admitted.
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool;
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Most that was admitted in a window.
    pub most_in_window: f64,
    /// Admitted, of what an exact limit would have admitted.
    pub utilisation: f64,
    /// Most in a window above rate and burst, relative to these.
    pub excess: f64,
}

/// Has the way decide on all requests.
pub fn play(world: &World, way: &mut impl Way) -> Outcome {
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for arrival in &world.arrivals {
        if way.admits(world, arrival, Timestamp::from_millis(arrival.at)) {
            admitted.push((arrival.at, arrival.units));
        }
    }
    let most_in_window = most_in_window(&admitted);
    let allowed = world.limit.per_second * WINDOW_S + world.limit.burst;
    let sum: f64 = admitted.iter().map(|(_, units)| units).sum();
    let asked: f64 = world.arrivals.iter().map(|arrival| arrival.units).sum();
    let possible = world.limit.per_second * LENGTH_MS as f64 / 1_000.0 + world.limit.burst;
    Outcome {
        most_in_window,
        utilisation: sum / asked.min(possible),
        excess: (most_in_window / allowed - 1.0).max(0.0),
    }
}

fn most_in_window(admitted: &[(u64, f64)]) -> f64 {
    let window_ms = (WINDOW_S * 1_000.0) as u64;
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0f64);
    for (at, units) in admitted {
        sum += units;
        while admitted[first].0 + window_ms <= *at {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}
