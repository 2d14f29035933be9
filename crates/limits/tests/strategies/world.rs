//! Simulated fleet of routers and replicas with the requests of one tenant and one fault.

use juniper_limits::{RateLimit, rank_owners};
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Window over which admitted units are summed, in seconds.
pub const WINDOW_S: f64 = 8.0;

/// Simulated time, in milliseconds.
const DURATION_MS: u64 = 24_000;

/// Time without any replica after which a router stops honouring API keys, in milliseconds.
pub const KEY_CACHE_TTL_MS: u64 = 4_250;

/// Time until a router detects that a replica is down, in milliseconds.
pub const DETECTION_MS: u64 = 2_100;

/// Time for which a partitioned replica still considers itself confirmed, in milliseconds.
pub const CONFIRMATION_TTL_MS: u64 = 2_500;

/// Injected fault, with its time span in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A replica crashes and restarts without its state.
    ReplicaDown {
        replica: usize,
        from: u64,
        until: u64,
    },
    /// All replicas crash.
    AllReplicasDown {
        from: u64,
        until: u64,
    },
    /// A replica reaches only the routers below an index, and no quorum.
    PartitionedReplica {
        replica: usize,
        below: usize,
        from: u64,
        until: u64,
    },
    /// The routers below an index reach no replica.
    PartitionedRouters {
        below: usize,
        from: u64,
        until: u64,
    },
    /// A replica doesn't answer, and handles what it received when it goes on with its state.
    FrozenReplica {
        replica: usize,
        from: u64,
        until: u64,
    },
    /// A replica answers later by this many milliseconds.
    SlowReplica {
        replica: usize,
        delay: u64,
        from: u64,
        until: u64,
    },
    /// A replica doesn't answer for 40 ms out of every 200 ms.
    StallingReplica {
        replica: usize,
        from: u64,
        until: u64,
    },
}

/// A request of the tenant.
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
    pub largest_request: f64,
    pub fault: Fault,
    pub arrivals: Vec<Arrival>,
}

impl World {
    /// Creates a world with a random fault and a demand of 0.5 to 5 times the limit.
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = rng.random_range(4..40);
        let replicas = rng.random_range(3..7);
        let from = rng.random_range(2_000..14_000);
        let until = from + rng.random_range(300..9_000);
        let replica = rng.random_range(0..replicas);
        let fault = match rng.random_range(0..5) {
            0 => Fault::None,
            1 => Fault::ReplicaDown { replica, from, until },
            2 => Fault::AllReplicasDown { from, until },
            3 => {
                let below = rng.random_range(0..routers);
                Fault::PartitionedReplica { replica, below, from, until }
            }
            _ => Fault::PartitionedRouters { below: rng.random_range(0..=routers), from, until },
        };
        let demand_ratio = rng.random_range(0.5..5.0);
        Self::with(rng, routers, replicas, fault, demand_ratio, 1.0)
    }

    /// Creates a world whose owner is frozen, slow or stalls while the demand is 1.2 to 5 times the
    /// limit.
    pub fn silent_owner(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = rng.random_range(4..80);
        let replicas = rng.random_range(3..9);
        let replica = rank_owners((0..replicas as u64).map(NodeId), "tenant")[0].0 as usize;
        let from = rng.random_range(2_000..14_000);
        let until = from + rng.random_range(300..9_000);
        let fault = match rng.random_range(0..3) {
            0 => Fault::FrozenReplica { replica, from, until },
            1 => Fault::SlowReplica { replica, delay: rng.random_range(5..300), from, until },
            _ => Fault::StallingReplica { replica, from, until },
        };
        let demand_ratio = rng.random_range(1.2..5.0);
        Self::with(rng, routers, replicas, fault, demand_ratio, 1.0)
    }

    /// Creates a world without a fault in which one of many routers receives nearly all requests,
    /// with a demand of twice the limit.
    pub fn skewed(seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self::with(rng, 40, 6, Fault::None, 2.0, 12.0)
    }

    /// Creates a world without a fault whose 40 routers receive equally many requests, with a demand
    /// of twice the limit.
    pub fn without_fault(seed: u64) -> Self {
        Self::with(ChaCha8Rng::seed_from_u64(seed), 40, 6, Fault::None, 2.0, 1.0)
    }

    /// Creates a world with a demand of `demand_ratio` times the limit. A higher `skew`
    /// concentrates the requests on fewer routers.
    fn with(
        mut rng: ChaCha8Rng,
        routers: usize,
        replicas: usize,
        fault: Fault,
        demand_ratio: f64,
        skew: f64,
    ) -> Self {
        let mean_units = 1_000.0;
        let limit = RateLimit { per_second: 20_000.0, burst: rng.random_range(0.2..1.5) * 2e4 };
        let count =
            (demand_ratio * limit.per_second * DURATION_MS as f64 / 1_000.0 / mean_units) as usize;
        let mut arrivals: Vec<Arrival> = (0..count)
            .map(|_| Arrival {
                at: rng.random_range(0..DURATION_MS),
                router: (rng.random::<f64>().powf(skew) * routers as f64) as usize,
                units: mean_units * rng.random_range(0.1..1.9),
                draw: rng.random(),
            })
            .collect();
        arrivals.sort_by_key(|arrival| arrival.at);
        let largest_request = arrivals.iter().map(|arrival| arrival.units).fold(0.0, f64::max);
        World { routers, replicas, limit, largest_request, fault, arrivals }
    }

    /// Whether the replica is running.
    pub fn is_up(&self, replica: usize, now: u64) -> bool {
        match self.fault {
            Fault::ReplicaDown { replica: down, from, until } => {
                replica != down || !(from..until).contains(&now)
            }
            Fault::AllReplicasDown { from, until } => !(from..until).contains(&now),
            _ => true,
        }
    }

    /// Time at which the replica answers a request that reaches it at `now`, without the round
    /// trip.
    pub fn answers_at(&self, replica: usize, now: u64) -> u64 {
        match self.fault {
            Fault::FrozenReplica { replica: frozen, from, until }
                if frozen == replica && (from..until).contains(&now) =>
            {
                until
            }
            Fault::SlowReplica { replica: slow, delay, from, until }
                if slow == replica && (from..until).contains(&now) =>
            {
                now + delay
            }
            Fault::StallingReplica { replica: stalling, from, until }
                if stalling == replica && (from..until).contains(&now) =>
            {
                let (start, length) = ((now - from) / 200 * 200 + from, 40);
                now.max(start + length)
            }
            _ => now,
        }
    }

    /// Whether the router's requests reach the replica.
    pub fn reaches(&self, router: usize, replica: usize, now: u64) -> bool {
        let is_partitioned = match self.fault {
            Fault::PartitionedReplica { replica: partitioned, below, from, until } => {
                replica == partitioned && router >= below && (from..until).contains(&now)
            }
            Fault::PartitionedRouters { below, from, until } => {
                router < below && (from..until).contains(&now)
            }
            _ => false,
        };
        !is_partitioned && self.is_up(replica, now)
    }

    /// Whether the router considers the replica connected. A failure is detected with a delay.
    pub fn seems_connected(&self, router: usize, replica: usize, now: u64) -> bool {
        if let Fault::FrozenReplica { replica: frozen, from, until } = self.fault
            && frozen == replica
        {
            return !(from + DETECTION_MS..until).contains(&now);
        }
        let earliest = now.saturating_sub(DETECTION_MS);
        self.reaches(router, replica, now)
            || (earliest..now).step_by(50).any(|past| self.reaches(router, replica, past))
    }

    /// Whether a quorum has recently confirmed the replica.
    pub fn is_confirmed(&self, replica: usize, now: u64) -> bool {
        match self.fault {
            Fault::PartitionedReplica { replica: partitioned, from, until, .. }
                if replica == partitioned =>
            {
                !(from + CONFIRMATION_TTL_MS..until).contains(&now)
            }
            _ => true,
        }
    }

    /// Maximum number of owner changes caused by the fault: to another replica and back.
    pub fn owner_changes(&self) -> u32 {
        match self.fault {
            Fault::None => 0,
            _ => 2,
        }
    }
}

/// Strategy to enforce the limit.
pub trait Strategy {
    /// Whether the request is admitted.
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool;
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Maximum of the units admitted in a window.
    pub most_in_window: f64,
    /// Admitted units relative to those that an exact limit would have admitted.
    pub utilization: f64,
    /// Maximum excess in a window, relative to rate and burst.
    pub excess: f64,
}

/// Runs the strategy on all requests.
pub fn simulate(world: &World, strategy: &mut impl Strategy) -> Outcome {
    let mut admitted: Vec<(u64, f64)> = Vec::new();
    for arrival in &world.arrivals {
        if strategy.admits(world, arrival, Timestamp::from_millis(arrival.at)) {
            admitted.push((arrival.at, arrival.units));
        }
    }
    let most_in_window = most_in_window(&admitted);
    let allowed = world.limit.per_second * WINDOW_S + world.limit.burst;
    let sum: f64 = admitted.iter().map(|(_, units)| units).sum();
    let demand: f64 = world.arrivals.iter().map(|arrival| arrival.units).sum();
    let possible = world.limit.per_second * DURATION_MS as f64 / 1_000.0 + world.limit.burst;
    Outcome {
        most_in_window,
        utilization: sum / demand.min(possible),
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
