//! The model engines as this router knows them: cache index, load, retries.
//!
//! All of it is pure state of the decision crates behind one mutex. A decision
//! takes microseconds and nothing waits while the lock is held, so a message to
//! an actor and back for each request would cost more than the lock.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_prefix_index::{CacheEvent, EventOutcome, Holder, PrefixIndex, Snapshot};
use juniper_routing::drain::DepartureSource;
use juniper_routing::retry::{RetryBudget, RetryContext, RetryDenied};
use juniper_routing::{
    CostModel, Decision, DispatchId, DispatchedWork, EngineDescriptor, EngineLoad, EngineTable,
    PrefixWait, Refusal, RouteRequest, ServingKey, decide,
};
use juniper_settings::{BackEndKind, EffectiveSettings};
use juniper_types::{
    CacheScope, EngineId, Incarnation, PromptBlocks, Revision, TenantName, Timestamp,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::in_force::InForce;

/// Share of retries until the settings of a request say otherwise, in percent.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// What the decision needs to know about one chat request.
#[derive(Clone, Debug)]
pub struct ChatPlan {
    /// What has to be loaded on the engine.
    pub serving: ServingKey,
    /// Blocks of the prompt.
    pub blocks: PromptBlocks,
    /// Settings in force for the request.
    pub settings: Arc<EffectiveSettings>,
    /// What other routers of the zone know about the prompt.
    pub shared_holders: Vec<Holder>,
}

impl ChatPlan {
    /// Cuts `prompt` of `tenant` into blocks and notes what must be loaded.
    pub fn new(tenant: &TenantName, settings: Arc<EffectiveSettings>, prompt: &[u8]) -> Self {
        let scope = CacheScope {
            tenant: tenant.clone(),
            model: settings.model.clone(),
            adapter: settings.adapter().cloned(),
            weights: settings.weights,
        };
        let blocks = PromptBlocks::of_text(&scope, prompt);
        let serving =
            ServingKey { model: scope.model, adapter: scope.adapter, weights: scope.weights };
        ChatPlan { serving, blocks, settings, shared_holders: Vec::new() }
    }
}

struct State {
    index: PrefixIndex,
    table: EngineTable,
    retries: RetryBudget,
    random: StdRng,
    known: Vec<EngineId>,
    /// Revision that `known` comes from.
    followed: Revision,
}

/// The engines as this router knows them.
pub struct Engines {
    state: Mutex<State>,
    started: Instant,
    next_dispatch: AtomicU64,
    /// Told when an attempt has its first token or ends.
    progress: Notify,
}

/// Counts one attempt against its engine until it is dropped.
pub struct Dispatch {
    engines: Arc<Engines>,
    /// The choice.
    pub decision: Decision,
    id: DispatchId,
}

impl Dispatch {
    /// Notes that the first token arrived.
    pub fn first_token(&self) {
        let now = self.engines.now();
        self.engines.lock().table.record_first_token(self.decision.engine, self.id, now);
        self.engines.progress.notify_waiters();
    }

    /// Waits until the attempt that computes this one's prefix has done so.
    /// Bounded by the decision; returns at once when there is nothing to wait for.
    /// False when the engine has gone out of use meanwhile: a leaving engine gets
    /// no work that was chosen for it earlier.
    pub async fn wait_for_prefix(&self) -> bool {
        let Some(PrefixWait { dispatch, max_wait }) = self.decision.wait else {
            return true;
        };
        let computed = async {
            loop {
                // Registered before the check, so that no notice is missed.
                let mut notice = pin!(self.engines.progress.notified());
                notice.as_mut().enable();
                if !self.engines.lock().table.is_prefilling(self.decision.engine, dispatch) {
                    return;
                }
                notice.await;
            }
        };
        // Sent after the time limit, the request computes the prefix itself.
        let _ = timeout(max_wait, computed).await;
        self.engines.lock().table.is_usable(self.decision.engine)
    }
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        let now = self.engines.now();
        self.engines.lock().table.record_end(self.decision.engine, self.id, now);
        self.engines.progress.notify_waiters();
    }
}

impl Default for Engines {
    fn default() -> Self {
        Self::new()
    }
}

impl Engines {
    /// Knows no engine yet.
    pub fn new() -> Self {
        let state = State {
            index: PrefixIndex::new(),
            table: EngineTable::new(CostModel::default()),
            retries: RetryBudget::new(DEFAULT_RETRY_PERCENT),
            random: StdRng::from_rng(&mut rand::rng()),
            known: Vec::new(),
            followed: Revision(0),
        };
        Engines {
            state: Mutex::new(state),
            started: Instant::now(),
            next_dispatch: AtomicU64::new(1),
            progress: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Time since the start of the process, as the decision crates count it.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Takes over the engines of new settings.
    pub fn follow(&self, in_force: &InForce) {
        let mut state = self.lock();
        let mut named = Vec::new();
        for (zone, back_end) in in_force.back_ends() {
            if back_end.kind != BackEndKind::Engine {
                continue;
            }
            let descriptor = EngineDescriptor { engine: back_end.id, zone: zone.clone() };
            state.table.insert(&descriptor);
            state.table.set_leaving(back_end.id, DepartureSource::Settings, back_end.leaving);
            named.push(back_end.id);
        }
        let gone: Vec<EngineId> =
            state.known.iter().copied().filter(|engine| !named.contains(engine)).collect();
        for engine in gone {
            state.table.remove(engine);
            state.index.remove_engine(engine);
        }
        state.known = named;
        state.followed = in_force.revision;
    }

    /// Whether the engines of some settings in force were taken over.
    pub fn has_followed(&self) -> bool {
        self.lock().followed.0 > 0
    }

    /// Picks an engine for `plan` and counts the work against it.
    ///
    /// # Errors
    /// A [`Refusal`] when no engine can serve the request in time.
    pub fn choose(
        self: &Arc<Self>,
        plan: &ChatPlan,
        first_token_within: Duration,
        excluded: &[EngineId],
    ) -> Result<Dispatch, Refusal> {
        let now = self.now();
        let mut state = self.lock();
        let own_holders = state.index.lookup(&plan.blocks.hashes, now);
        let holders = merge_holders(own_holders, &plan.shared_holders);
        let request = RouteRequest {
            first_token_within,
            excluded,
            begun: !excluded.is_empty(),
            ..RouteRequest::new(
                &plan.settings,
                &plan.serving,
                &plan.blocks.hashes,
                plan.blocks.tokens,
            )
        };
        let State { index, table, random, .. } = &mut *state;
        let decision = decide(table, &holders, &request, now, random)?;
        let work = DispatchedWork {
            prompt_tokens: plan.blocks.tokens,
            prefill_tokens: request.prefill_tokens(decision.expected_blocks),
        };
        let id = DispatchId(self.next_dispatch.fetch_add(1, Ordering::Relaxed));
        table.record_dispatch(decision.engine, id, work, now);
        if let Some(incarnation) = decision.incarnation {
            index.predict(decision.engine, incarnation, &plan.blocks.hashes, id.into(), now);
        }
        drop(state);
        Ok(Dispatch { engines: Arc::clone(self), decision, id })
    }

    /// Counts a caller's request towards the retry budget.
    pub fn record_request(&self, retry_percent: u8) {
        let now = self.now();
        let mut state = self.lock();
        state.retries.set_percent(retry_percent);
        state.retries.record_request(now);
    }

    /// Decides on another attempt and takes it from the budget.
    ///
    /// # Errors
    /// The reason against it.
    pub fn may_retry(&self, question: &RetryContext) -> Result<(), RetryDenied> {
        let now = self.now();
        self.lock().retries.decide(question, now)
    }

    /// Takes a load report.
    pub fn report(&self, engine: EngineId, load: &EngineLoad) {
        let now = self.now();
        let mut state = self.lock();
        state.table.apply_load_report(engine, load, now);
        // A new life voids what is known of the old one, even before its first event.
        if let Err(error) = state.index.start_incarnation(engine, load.incarnation) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// Voids what is known of an engine that doesn't answer.
    pub fn mark_down(&self, engine: EngineId) {
        let mut state = self.lock();
        state.table.mark_down(engine);
        state.index.remove_engine(engine);
    }

    /// Notes what `source` says about an engine leaving.
    pub fn set_leaving(&self, engine: EngineId, source: DepartureSource, leaving: bool) {
        self.lock().table.set_leaving(engine, source, leaving);
    }

    /// Whether anybody says that the engine is leaving.
    pub fn is_leaving(&self, engine: EngineId) -> bool {
        self.lock().table.is_leaving(engine)
    }

    /// Voids the cache entries of an engine whose weights changed while it lives on.
    pub fn void_cache(&self, engine: EngineId) {
        if let Err(error) = self.lock().index.invalidate(engine) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// Applies cache events; `None` when the index is full.
    pub fn apply_events(
        &self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> Option<EventOutcome> {
        self.lock().index.apply_events(engine, incarnation, events).ok()
    }

    /// Replaces what is known of an engine's cache.
    pub fn apply_snapshot(&self, engine: EngineId, snapshot: &Snapshot) {
        if let Err(error) = self.lock().index.apply_snapshot(engine, snapshot) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// The life of `engine` that the index knows, and the last event applied.
    pub fn position(&self, engine: EngineId) -> Option<(Incarnation, u64)> {
        self.lock().index.position(engine)
    }

    /// Drops expired predictions and entries that no longer count.
    pub fn maintain(&self) {
        let now = self.now();
        self.lock().index.maintain(now);
    }
}

/// The best knowledge of each engine. What this router read itself is exact and
/// the newest, so shared knowledge of the same life only adds to it.
fn merge_holders(mut own: Vec<Holder>, shared: &[Holder]) -> Vec<Holder> {
    for holder in shared {
        match own.iter_mut().find(|known| known.engine == holder.engine) {
            Some(known) if known.incarnation != holder.incarnation => {}
            Some(known) if known.blocks >= holder.blocks => {}
            Some(known) => *known = *holder,
            None => own.push(*holder),
        }
    }
    own
}
