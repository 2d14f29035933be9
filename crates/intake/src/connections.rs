//! Admission of connections.
//!
//! A connection that finds no room takes the place of one that is idle: first of those that have not
//! sent a request yet, the oldest first, then of those that have been idle for longest. So a crowd of
//! silent connections displaces itself and not the callers that send requests. If no connection is idle,
//! the new one is closed before anything was read.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::memory::CallerMemory;

/// Longest wait for a connection that was told to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections of callers.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    memory: CallerMemory,
    idle: Mutex<IdleConnections>,
    closed: Notify,
}

/// Idle connections in the order in which they became idle.
#[derive(Debug, Default)]
struct IdleConnections {
    next: u64,
    /// Those that have not sent a request yet go first.
    order: BTreeMap<IdleRank, Arc<Notify>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IdleRank {
    has_served: bool,
    number: u64,
}

impl Connections {
    /// Creates the connections of an account.
    pub fn new(memory: CallerMemory) -> Self {
        let (idle, closed) = (Mutex::default(), Notify::new());
        Connections(Arc::new(Shared { memory, idle, closed }))
    }

    /// The account.
    pub fn memory(&self) -> &CallerMemory {
        &self.0.memory
    }

    /// Admits a connection whose requests have heads of at most `head_bytes`, in the place of an idle one
    /// if there is no room. `None` if no connection is idle.
    pub async fn admit(&self, head_bytes: usize) -> Option<ConnectionLease> {
        loop {
            let mut closed = std::pin::pin!(self.0.closed.notified());
            closed.as_mut().enable();
            if let Some(charged) = self.0.memory.add_connection(head_bytes) {
                return Some(ConnectionLease::new(self.clone(), charged));
            }
            let (_, evicted) = self.0.lock().order.pop_first()?;
            evicted.notify_one();
            // A connection that has just received a request stays, and the next one is told.
            let _ = timeout(CLOSE_TIMEOUT, closed).await;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_idle(&self, has_served: bool, evicted: &Arc<Notify>) -> IdleRank {
        let mut idle = self.lock();
        let rank = IdleRank { has_served, number: idle.next };
        idle.next += 1;
        idle.order.insert(rank, Arc::clone(evicted));
        rank
    }
}

/// Place of a connection, given back when it is dropped.
#[derive(Debug)]
pub struct ConnectionLease {
    connections: Connections,
    charged: usize,
    evicted: Arc<Notify>,
    /// Rank among the idle connections; `None` while a request is in progress.
    rank: Arc<Mutex<Option<IdleRank>>>,
}

impl ConnectionLease {
    fn new(connections: Connections, charged: usize) -> Self {
        let evicted = Arc::<Notify>::default();
        let rank = connections.0.add_idle(false, &evicted);
        ConnectionLease { connections, charged, evicted, rank: Arc::new(Mutex::new(Some(rank))) }
    }

    /// Completes when the connection has to close because it is idle.
    pub async fn evicted(&self) {
        loop {
            self.evicted.notified().await;
            if lock(&self.rank).is_some() {
                return;
            }
        }
    }

    /// Begins a request. The connection isn't idle until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        if let Some(rank) = lock(&self.rank).take() {
            self.connections.0.lock().order.remove(&rank);
        }
        RequestGuard {
            connections: self.connections.clone(),
            evicted: Arc::clone(&self.evicted),
            rank: Arc::clone(&self.rank),
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if let Some(rank) = lock(&self.rank).take() {
            self.connections.0.lock().order.remove(&rank);
        }
        self.connections.0.memory.remove_connection(self.charged);
        self.connections.0.closed.notify_waiters();
    }
}

/// A request in progress.
#[derive(Debug)]
pub struct RequestGuard {
    connections: Connections,
    evicted: Arc<Notify>,
    rank: Arc<Mutex<Option<IdleRank>>>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // The connection has been dropped already if it holds no other reference.
        if Arc::strong_count(&self.rank) > 1 {
            *lock(&self.rank) = Some(self.connections.0.add_idle(true, &self.evicted));
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
