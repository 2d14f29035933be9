//! Connections that haven't authenticated yet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Time that a handshake has, whatever else arrives. It takes two round trips, and longer while hundreds of
/// processes restart together on slow machines.
const MIN_TIME: Duration = Duration::from_secs(1);

/// Handshakes in progress, up to a maximum. One more takes the place of the oldest once that has had its
/// time, so that silent connections can't keep other processes out.
#[derive(Clone, Debug)]
pub struct Handshakes(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    pending: Mutex<Pending>,
    ended: Notify,
}

#[derive(Debug, Default)]
struct Pending {
    next: u64,
    handshakes: BTreeMap<u64, (Instant, Arc<Notify>)>,
}

impl Handshakes {
    /// Allows `max` handshakes at once; at least one.
    pub fn new(max: usize) -> Self {
        let pending = Mutex::default();
        Handshakes(Arc::new(Shared { max: max.max(1), pending, ended: Notify::new() }))
    }

    /// Begins a handshake, once there is room for it.
    pub async fn begin(&self) -> Handshake {
        loop {
            let mut ended = std::pin::pin!(self.0.ended.notified());
            ended.as_mut().enable();
            let Some(oldest_end) = self.0.lock().oldest_end(self.0.max) else { break };
            if timeout_at(oldest_end, ended).await.is_err() {
                self.0.lock().displace_oldest();
            }
        }
        let displaced = Arc::<Notify>::default();
        let mut pending = self.0.lock();
        let number = pending.next;
        pending.next += 1;
        pending.handshakes.insert(number, (Instant::now(), Arc::clone(&displaced)));
        Handshake { handshakes: self.clone(), number, displaced }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pending {
    /// Time from which the oldest handshake may be displaced; `None` if there is room for another one.
    fn oldest_end(&self, max: usize) -> Option<Instant> {
        let oldest = self.handshakes.values().next().filter(|_| self.handshakes.len() >= max);
        oldest.map(|(started, _)| *started + MIN_TIME)
    }

    fn displace_oldest(&mut self) {
        if let Some((_, (_, displaced))) = self.handshakes.pop_first() {
            displaced.notify_one();
        }
    }
}

/// A handshake in progress, until it is dropped.
#[derive(Debug)]
pub struct Handshake {
    handshakes: Handshakes,
    number: u64,
    displaced: Arc<Notify>,
}

impl Handshake {
    /// Runs the handshake. `None` if another connection has taken its place.
    pub async fn run<T>(self, handshake: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            result = handshake => Some(result),
            () = self.displaced.notified() => None,
        }
    }
}

impl Drop for Handshake {
    fn drop(&mut self) {
        self.handshakes.0.lock().handshakes.remove(&self.number);
        self.handshakes.0.ended.notify_waiters();
    }
}
