//! Kills, freezes, planned stops and restarts of routers beside cuts.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::{Fleet, ROUTERS};
use crate::support::router::RouterProcess;

/// Pause between two faults, time for which a router is down or frozen, and time that a planned stop
/// is given before the router is killed, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_500;
const DOWN_MS: std::ops::Range<u64> = 50..1_500;
const STOP_MS: u64 = 1_500;

/// A fault of one router.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub router: usize,
    pub from: Instant,
    pub until: Instant,
}

/// Place of a router in the fleet, empty while it is down.
pub struct RouterSlot {
    process: Mutex<Option<Arc<RouterProcess>>>,
}

impl RouterSlot {
    pub fn new(process: RouterProcess) -> Self {
        RouterSlot { process: Mutex::new(Some(Arc::new(process))) }
    }

    /// The router, unless it is down.
    pub fn process(&self) -> Option<Arc<RouterProcess>> {
        self.process.lock().expect("not poisoned").clone()
    }

    fn set(&self, process: Option<RouterProcess>) {
        *self.process.lock().expect("not poisoned") = process.map(Arc::new);
    }
}

impl Fleet {
    /// Disturbs one router after the other, until `end`.
    pub async fn inject_faults(&self, seed: u64, end: Instant) -> Vec<Disturbance> {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut disturbances = Vec::new();
        while Instant::now() < end {
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            let router = random.random_range(0..ROUTERS);
            let time = Duration::from_millis(random.random_range(DOWN_MS));
            let slot = &self.routers[router];
            let from = Instant::now();
            match random.random_range(0..3) {
                0 => self.restart(router, time).await,
                1 => {
                    if let Some(process) = slot.process() {
                        process.stop();
                    }
                    sleep(Duration::from_millis(STOP_MS)).await;
                    self.restart(router, time).await;
                }
                _ => {
                    if let Some(process) = slot.process() {
                        process.freeze(time);
                    }
                    sleep(time).await;
                }
            }
            disturbances.push(Disturbance { router, from, until: Instant::now() });
        }
        disturbances
    }

    /// Kills the router and starts another one in its place after `down_time`.
    async fn restart(&self, router: usize, down_time: Duration) {
        self.routers[router].set(None);
        sleep(down_time).await;
        let process = self.start_router(router).await;
        self.routers[router].set(Some(process));
    }
}
