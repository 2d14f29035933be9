//! Account of the callers' memory, shared between tasks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use juniper_memory_budget::{BodyId, BudgetLimits, Growth, MemoryBudget, Shortage, Usage};
use juniper_types::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Account of the callers' memory. Clones share it.
#[derive(Clone, Debug)]
pub struct CallerMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Notified when memory was given back.
    released: Notify,
    started: Instant,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    /// Notified when the body has to give way.
    evictions: HashMap<BodyId, Arc<Notify>>,
}

impl CallerMemory {
    /// Creates an empty account.
    pub fn new(limits: BudgetLimits) -> Self {
        let state = State { budget: MemoryBudget::new(limits), evictions: HashMap::new() };
        CallerMemory(Arc::new(Shared {
            state: Mutex::new(state),
            released: Notify::new(),
            started: Instant::now(),
        }))
    }

    /// Sizes of the account.
    pub fn limits(&self) -> BudgetLimits {
        *self.lock().budget.limits()
    }

    /// What is on the account.
    pub fn usage(&self) -> Usage {
        self.lock().budget.usage()
    }

    /// Holds this many bytes of an answer; `None` if memory is short.
    pub fn hold_answer(&self, bytes: usize) -> Option<AnswerLease> {
        let is_granted = self.lock().budget.add_answer(bytes);
        is_granted.then(|| AnswerLease { memory: self.clone(), bytes })
    }

    pub(crate) fn begin_body(&self) -> BodyLease {
        let evicted = Arc::<Notify>::default();
        let mut state = self.lock();
        let id = state.budget.begin_body(self.now());
        state.evictions.insert(id, Arc::clone(&evicted));
        drop(state);
        BodyLease { memory: self.clone(), id, evicted }
    }

    pub(crate) fn add_connection(&self, head_bytes: usize) -> Option<usize> {
        self.lock().budget.add_connection(head_bytes)
    }

    pub(crate) fn remove_connection(&self, charged: usize) {
        self.lock().budget.remove_connection(charged);
        self.0.released.notify_waiters();
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.0.started.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes of an answer on the account, which are given back when it is dropped.
#[derive(Debug)]
pub struct AnswerLease {
    memory: CallerMemory,
    bytes: usize,
}

impl AnswerLease {
    /// Holds more bytes. Returns whether there was room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let is_granted = self.memory.lock().budget.add_answer(bytes);
        self.bytes += if is_granted { bytes } else { 0 };
        is_granted
    }
}

impl Drop for AnswerLease {
    fn drop(&mut self) {
        self.memory.lock().budget.remove_answer(self.bytes);
        self.memory.0.released.notify_waiters();
    }
}

/// A body on the account, whose bytes are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyLease {
    memory: CallerMemory,
    id: BodyId,
    evicted: Arc<Notify>,
}

impl BodyLease {
    /// Completes when the body has to give way.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that bytes have arrived.
    pub(crate) fn advance(&self, bytes: usize) {
        let now = self.memory.now();
        self.memory.lock().budget.advance(self.id, bytes, now);
    }

    /// Records that the whole body was read.
    pub(crate) fn complete(&self) {
        self.memory.lock().budget.complete_body(self.id);
    }

    /// Lets the body hold more bytes, once others have given way if memory is short.
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), Shortage> {
        loop {
            let mut released = std::pin::pin!(self.memory.0.released.notified());
            released.as_mut().enable();
            if self.try_grow(bytes)? {
                return Ok(());
            }
            released.await;
        }
    }

    /// Returns whether the bytes are held.
    fn try_grow(&self, bytes: usize) -> Result<bool, Shortage> {
        let now = self.memory.now();
        let mut state = self.memory.lock();
        match state.budget.grow(self.id, bytes, now)? {
            Growth::Granted => Ok(true),
            Growth::Waits { evicted } => {
                let notified = evicted.iter().filter_map(|id| state.evictions.get(id));
                notified.for_each(|evicted| evicted.notify_one());
                Ok(false)
            }
        }
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.remove_body(self.id);
        state.evictions.remove(&self.id);
        drop(state);
        self.memory.0.released.notify_waiters();
    }
}
