//! Drives the engine model in real time.
//!
//! The model is behind a lock that is held only for one step. One task sleeps
//! until the model's next event, advances it and hands what it puts out to the
//! requests concerned. A request whose receiver is gone is cancelled.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use juniper_types::{RequestId, Timestamp};
use tokio::sync::{Notify, mpsc};

use super::weights::WeightFetcher;
use crate::engine::{DropReason, Engine, EngineRequest, Output, Refusal, WeightLoad};
use crate::http::clock::Clock;

/// What happened to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Update {
    /// It entered the batch.
    Started {
        /// Prompt tokens found in the cache.
        cached_tokens: u32,
    },
    /// Output tokens were generated.
    Tokens {
        /// Number of the first one.
        index: u32,
        /// How many.
        count: u32,
    },
    /// The answer is complete.
    Finished,
    /// The request ended early.
    Dropped(DropReason),
}

struct State {
    engine: Engine,
    streams: HashMap<RequestId, mpsc::UnboundedSender<Update>>,
}

/// An engine model in real time.
pub(super) struct EngineDriver {
    state: Mutex<State>,
    wake: Notify,
    clock: Clock,
    weights: WeightFetcher,
}

impl EngineDriver {
    /// Starts driving `engine` by `clock`.
    pub(super) fn start(engine: Engine, clock: Clock, weights: WeightFetcher) -> Arc<Self> {
        let state = Mutex::new(State { engine, streams: HashMap::new() });
        let driver = Arc::new(EngineDriver { state, wake: Notify::new(), clock, weights });
        tokio::spawn(drive(Arc::clone(&driver)));
        driver
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The emulator's clock.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Runs `call` on the model as of now.
    pub(super) fn with<R>(&self, call: impl FnOnce(&mut Engine, Timestamp) -> R) -> R {
        let now = self.clock.now();
        let result = call(&mut self.lock().engine, now);
        self.wake.notify_one();
        result
    }

    /// Submits a request and returns what happens to it.
    ///
    /// # Errors
    /// Fails when the engine refuses the request; it was not run then.
    pub(super) fn submit(
        &self,
        request: EngineRequest,
    ) -> Result<mpsc::UnboundedReceiver<Update>, Refusal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let id = request.id;
        let now = self.clock.now();
        let mut state = self.lock();
        state.engine.submit(request, now)?;
        state.streams.insert(id, sender);
        drop(state);
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Advances the model to now; returns when it next changes by itself.
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
                    self.fetch(load);
                } else if let Some(gone) = state.pass_on(&output) {
                    state.engine.cancel(gone, now);
                }
            }
        }
    }

    fn fetch(self: &Arc<Self>, load: WeightLoad) {
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            driver.weights.fetch(&load).await;
            driver.with(|engine, now| engine.complete_load(&load, now));
        });
    }
}

impl State {
    /// Hands `output` to its request; returns the request if nobody waits for it.
    fn pass_on(&mut self, output: &Output) -> Option<RequestId> {
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
        let sender = self.streams.get(&id)?;
        let is_gone = sender.send(update).is_err();
        if ended || is_gone {
            self.streams.remove(&id);
        }
        (is_gone && !ended).then_some(id)
    }
}

async fn drive(driver: Arc<EngineDriver>) {
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
