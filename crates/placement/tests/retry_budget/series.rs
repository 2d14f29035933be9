//! Random series of faults, which overlap.

use std::time::Duration;

use juniper_placement::RetrySettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{Counting, Fault, Scenario};

const MAX_FAULTS: usize = 24;

/// Retries free of requests in each window, per router.
const FREE_PER_ROUTER: f64 = 7.0;

struct Draws(ChaCha8Rng);

impl Draws {
    fn duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.0.random_range(from_ms..to_ms))
    }

    /// A random part of `0..count`.
    fn part(&mut self, count: usize) -> Vec<usize> {
        let share = self.0.random_range(0.2..0.8);
        (0..count).filter(|_| self.0.random::<f64>() < share).collect()
    }

    fn faults(&mut self, routers: usize, joining: &[usize]) -> Vec<Fault> {
        let part = self.part(routers);
        match self.0.random_range(0..9) {
            0 => {
                let down = self.duration(100, 3_000);
                part.into_iter().map(|router| Fault::KillRouter(router, down)).collect()
            }
            1 => {
                let down = self.duration(100, 3_000);
                let replicas = self.part(3);
                replicas.into_iter().map(|replica| Fault::KillReplica(replica, down)).collect()
            }
            2 => {
                let length = self.duration(500, 6_000);
                part.into_iter().map(|router| Fault::FreezeRouter(router, length)).collect()
            }
            7 => {
                let length = self.duration(500, 9_000);
                let transmitted_again = self.0.random();
                let freeze =
                    |router| Fault::FreezeRouterWithCallers { router, length, transmitted_again };
                part.into_iter().map(freeze).collect()
            }
            8 => vec![Fault::HoldRetries(self.duration(100, 1_500))],
            3 => {
                let (replicas, length) = (self.part(3), self.duration(1_000, 15_000));
                vec![Fault::Cut { routers: part, replicas, length }]
            }
            4 => {
                let (replicas, length) = (self.part(3), self.duration(1_000, 15_000));
                vec![Fault::Block { routers: part, replicas, length }]
            }
            5 if !part.is_empty() => vec![Fault::MoveCallers(part)],
            _ => {
                let start = |router: &usize| Fault::KillRouter(*router, Duration::ZERO);
                joining.iter().map(start).collect()
            }
        }
    }
}

/// The random scenario of a seed.
pub fn scenario(seed: u64) -> Scenario {
    let mut draws = Draws(ChaCha8Rng::seed_from_u64(seed));
    let routers = [7, 24, 60][draws.0.random_range(0..3)];
    let absent: Vec<usize> = (0..routers).filter(|router| router % 4 == 3).collect();
    let length = Duration::from_secs(45);
    let mut faults = Vec::new();
    for _ in 0..draws.0.random_range(1..=MAX_FAULTS) {
        let at = draws.duration(5_000, 40_000);
        let started = draws.faults(routers, &absent);
        faults.extend(started.into_iter().map(|fault| (at, fault)));
    }
    Scenario {
        settings: RetrySettings {
            ratio: 0.2,
            free: FREE_PER_ROUTER * routers as f64,
            window: Duration::from_secs(10),
        },
        routers,
        absent,
        rate: routers as f64 * draws.0.random_range(0.5..10.0),
        failing_from: draws.duration(2_000, 20_000),
        length,
        counting: Counting::Reported,
        faults,
    }
}
