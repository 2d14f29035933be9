//! Driver that runs the engine model in real time.
//!
//! A lock guards the model and is held only for one step. One task sleeps until
//! the model's next event, advances it and forwards the outputs to the request
//! handlers. A request whose handler has dropped its receiver is cancelled.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use juniper_types::{RequestId, Timestamp};
use tokio::sync::{Notify, mpsc};

use super::weights::WeightFetcher;
use crate::engine::{DropReason, Engine, EngineRequest, Output, Refusal, WeightLoad};
use crate::http::clock::Clock;

/// Progress of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Update {
    /// The request entered the batch.
    Started {
        /// Number of prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// Output tokens were generated.
    Tokens {
        /// Index of the first of these tokens.
        index: u32,
        /// Number of tokens.
        count: u32,
    },
    /// The last token was generated.
    Finished,
    /// The request ended before its last token.
    Dropped(DropReason),
}

struct State {
    engine: Engine,
    subscribers: HashMap<RequestId, mpsc::UnboundedSender<Update>>,
}

/// Engine model driven by a real-time clock.
pub(super) struct EngineDriver {
    state: Mutex<State>,
    wake: Notify,
    clock: Clock,
    weights: WeightFetcher,
}

impl EngineDriver {
    /// Starts a task that drives `engine` by `clock`.
    pub(super) fn start(engine: Engine, clock: Clock, weights: WeightFetcher) -> Arc<Self> {
        let state = Mutex::new(State { engine, subscribers: HashMap::new() });
        let driver = Arc::new(EngineDriver { state, wake: Notify::new(), clock, weights });
        tokio::spawn(run_driver(Arc::clone(&driver)));
        driver
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Clock of the emulator.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Calls `operation` with the model and the current time.
    pub(super) fn with_engine<R>(&self, operation: impl FnOnce(&mut Engine, Timestamp) -> R) -> R {
        let now = self.clock.now();
        let result = operation(&mut self.lock().engine, now);
        self.wake.notify_one();
        result
    }

    /// Submits a request and returns the receiver of its updates.
    ///
    /// # Errors
    /// Fails when the engine rejects the request; a rejected request is never run.
    pub(super) fn submit(
        &self,
        request: EngineRequest,
    ) -> Result<mpsc::UnboundedReceiver<Update>, Refusal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let id = request.id;
        let now = self.clock.now();
        let mut state = self.lock();
        state.engine.submit(request, now)?;
        state.subscribers.insert(id, sender);
        drop(state);
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Advances the model to the current time; returns the time of its next event.
    fn step(self: &Arc<Self>) -> Option<Timestamp> {
        let now = self.clock.now();
        let mut state = self.lock();
        loop {
            let outputs = state.engine.advance(now);
            if outputs.is_empty() {
                return state.engine.next_event_time();
            }
            for output in outputs {
                if let Output::LoadNeeded { load, .. } = output {
                    self.spawn_fetch(load);
                } else if let Some(abandoned) = state.forward_output(&output) {
                    state.engine.cancel(abandoned, now);
                }
            }
        }
    }

    fn spawn_fetch(self: &Arc<Self>, load: WeightLoad) {
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            driver.weights.fetch(&load).await;
            driver.with_engine(|engine, now| engine.complete_load(&load, now));
        });
    }
}

impl State {
    /// Forwards `output` to the handler of its request; returns the request's id if the handler is
    /// gone and the request must be cancelled.
    fn forward_output(&mut self, output: &Output) -> Option<RequestId> {
        let id = output.request()?;
        let update = match output {
            Output::Started { cached_tokens, .. } => {
                Update::Started { cached_tokens: *cached_tokens }
            }
            Output::FirstToken { index, .. } => Update::Tokens { index: *index, count: 1 },
            Output::Tokens { index, count, .. } => Update::Tokens { index: *index, count: *count },
            Output::Finished { .. } => Update::Finished,
            Output::Dropped { reason, .. } => Update::Dropped(*reason),
            Output::LoadNeeded { .. } | Output::Imported { .. } => return None,
        };
        let ended = matches!(update, Update::Finished | Update::Dropped(_));
        let sender = self.subscribers.get(&id)?;
        let is_closed = sender.send(update).is_err();
        if ended || is_closed {
            self.subscribers.remove(&id);
        }
        (is_closed && !ended).then_some(id)
    }
}

async fn run_driver(driver: Arc<EngineDriver>) {
    loop {
        match driver.step() {
            None => driver.wake.notified().await,
            Some(at) => {
                tokio::select! {
                    () = driver.clock.sleep_until(at) => {}
                    () = driver.wake.notified() => {}
                }
            }
        }
    }
}
