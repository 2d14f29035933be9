//! State of the model engines: cache index, load and retry budget.
//!
//! Holds the state of the decision crates behind one mutex. A decision takes
//! microseconds and nothing blocks while the lock is held, so the lock is cheaper
//! than a round trip to an actor for each request.

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
    CacheScope, EngineId, Incarnation, PromptBlocks, Revision, SoftwareVersion, TenantName,
    Timestamp,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::in_force::SettingsInForce;

/// Retry budget before the first request sets its own, in percent of requests.
const DEFAULT_RETRY_PERCENT: u8 = 10;

/// Input of the routing decision for one chat request.
#[derive(Clone, Debug)]
pub struct ChatPlan {
    /// Model, adapter and weights that the engine must have loaded.
    pub serving: ServingKey,
    /// Hashed blocks of the prompt.
    pub blocks: PromptBlocks,
    /// Settings in force for the request.
    pub settings: Arc<EffectiveSettings>,
    /// Engines that hold a prefix of the prompt, as reported by other routers of the zone.
    pub shared_holders: Vec<Holder>,
}

impl ChatPlan {
    /// Splits `prompt` of `tenant` into blocks and derives the serving key from `settings`.
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
    configured: Vec<EngineId>,
    /// Settings revision of `configured`.
    applied_revision: Revision,
}

/// State of the engines in this router.
pub struct Engines {
    state: Mutex<State>,
    started: Instant,
    next_dispatch: AtomicU64,
    /// Notified when an attempt receives its first token or ends.
    progress: Notify,
}

/// Counts one attempt as in flight at its engine until dropped.
pub struct Dispatch {
    engines: Arc<Engines>,
    /// Routing decision of the attempt.
    pub decision: Decision,
    id: DispatchId,
}

impl Dispatch {
    /// Records the arrival of the first token.
    pub fn record_first_token(&self) {
        let now = self.engines.now();
        self.engines.lock().table.record_first_token(self.decision.engine, self.id, now);
        self.engines.progress.notify_waiters();
    }

    /// Waits until another attempt on the same engine has computed the shared prefix, at most for
    /// the time set by the decision. Returns false if the engine became unusable meanwhile, because
    /// a leaving engine must not receive requests that were assigned to it earlier.
    pub async fn wait_for_prefix(&self) -> bool {
        let Some(PrefixWait { dispatch, max_wait }) = self.decision.wait else {
            return true;
        };
        let computed = async {
            loop {
                // Registered before the check, so that no notification is missed.
                let mut notified = pin!(self.engines.progress.notified());
                notified.as_mut().enable();
                if !self.engines.lock().table.is_prefilling(self.decision.engine, dispatch) {
                    return;
                }
                notified.await;
            }
        };
        // After a timeout the request is sent anyway and computes the prefix itself.
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
    /// Creates a state without engines.
    pub fn new() -> Self {
        let state = State {
            index: PrefixIndex::new(),
            table: EngineTable::new(CostModel::default()),
            retries: RetryBudget::new(DEFAULT_RETRY_PERCENT),
            random: StdRng::from_rng(&mut rand::rng()),
            configured: Vec::new(),
            applied_revision: Revision(0),
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

    /// Returns the current time on the decision crates' clock, which starts with the process.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Applies the engines of new settings.
    pub fn apply_settings(&self, in_force: &SettingsInForce) {
        let mut state = self.lock();
        let mut configured = Vec::new();
        for (zone, back_end) in in_force.back_ends() {
            if back_end.kind != BackEndKind::Engine {
                continue;
            }
            let descriptor = EngineDescriptor { engine: back_end.id, zone: zone.clone() };
            state.table.insert(&descriptor);
            state.table.set_leaving(back_end.id, DepartureSource::Settings, back_end.leaving);
            configured.push(back_end.id);
        }
        let removed: Vec<EngineId> = state
            .configured
            .iter()
            .copied()
            .filter(|engine| !configured.contains(engine))
            .collect();
        for engine in removed {
            state.table.remove(engine);
            state.index.remove_engine(engine);
        }
        state.configured = configured;
        state.applied_revision = in_force.revision;
    }

    /// Whether engines from a nonzero settings revision were applied.
    pub fn has_applied_settings(&self) -> bool {
        self.lock().applied_revision.0 > 0
    }

    /// Chooses an engine for `plan`, of this software version if one is given, and counts the request
    /// as in flight at it.
    ///
    /// # Errors
    /// [`Refusal`] when no engine can serve the request in time.
    pub fn choose(
        self: &Arc<Self>,
        plan: &ChatPlan,
        first_token_within: Duration,
        excluded: &[EngineId],
        software: Option<&SoftwareVersion>,
    ) -> Result<Dispatch, Refusal> {
        let now = self.now();
        let mut state = self.lock();
        let begun = !excluded.is_empty();
        let mut excluded = excluded.to_vec();
        excluded.extend(software.into_iter().flat_map(|it| state.table.engines_not_running(it)));
        let own_holders = state.index.lookup(&plan.blocks.hashes, now);
        let holders = merge_holders(own_holders, &plan.shared_holders);
        let request = RouteRequest {
            first_token_within,
            excluded: &excluded,
            begun,
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

    /// Whether an engine that is not in `excluded` runs this software version.
    pub fn has_software(&self, software: &SoftwareVersion, excluded: &[EngineId]) -> bool {
        self.lock().table.engines_running(software).any(|engine| !excluded.contains(&engine))
    }

    /// Whether an engine has yet to report what it runs, after a start or since it was down.
    pub fn awaits_reports(&self) -> bool {
        self.lock().table.awaits_reports()
    }

    /// Software version that all engines have run for at least `window`; `None` if there were several,
    /// if one is unknown, or if this router hasn't known them for as long.
    pub fn sole_software(&self, window: Duration) -> Option<SoftwareVersion> {
        let now = self.now();
        self.lock().table.sole_software(window, now).cloned()
    }

    /// Adds a caller's request to the retry budget.
    pub fn record_request(&self, retry_percent: u8) {
        let now = self.now();
        let mut state = self.lock();
        state.retries.set_percent(retry_percent);
        state.retries.record_request(now);
    }

    /// Takes another attempt from the retry budget if the retry policy allows it.
    ///
    /// # Errors
    /// The reason why the retry is denied.
    pub fn take_retry(&self, question: &RetryContext) -> Result<(), RetryDenied> {
        let now = self.now();
        self.lock().retries.decide(question, now)
    }

    /// Applies a load report.
    pub fn apply_load_report(&self, engine: EngineId, load: &EngineLoad) {
        let now = self.now();
        let mut state = self.lock();
        state.table.apply_load_report(engine, load, now);
        // A new incarnation invalidates the entries of the previous one even before its first event.
        if let Err(error) = state.index.start_incarnation(engine, load.incarnation) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// Marks an engine that doesn't answer as down and removes its cache entries.
    pub fn mark_down(&self, engine: EngineId) {
        let mut state = self.lock();
        state.table.mark_down(engine);
        state.index.remove_engine(engine);
    }

    /// Sets whether `source` reports the engine as leaving.
    pub fn set_leaving(&self, engine: EngineId, source: DepartureSource, leaving: bool) {
        self.lock().table.set_leaving(engine, source, leaving);
    }

    /// Whether any source reports the engine as leaving.
    pub fn is_leaving(&self, engine: EngineId) -> bool {
        self.lock().table.is_leaving(engine)
    }

    /// Invalidates the cache entries of an engine without a change of its incarnation.
    pub fn invalidate_cache(&self, engine: EngineId) {
        if let Err(error) = self.lock().index.invalidate(engine) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// Applies cache events. Returns `None` when the index is full.
    pub fn apply_events(
        &self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) -> Option<EventOutcome> {
        self.lock().index.apply_events(engine, incarnation, events).ok()
    }

    /// Replaces the cache entries of an engine by a snapshot.
    pub fn apply_snapshot(&self, engine: EngineId, snapshot: &Snapshot) {
        if let Err(error) = self.lock().index.apply_snapshot(engine, snapshot) {
            log::error!("event=index_full engine={engine} reason=\"{error}\"");
        }
    }

    /// Returns the incarnation of `engine` in the index and the sequence of the last applied event.
    pub fn position(&self, engine: EngineId) -> Option<(Incarnation, u64)> {
        self.lock().index.position(engine)
    }

    /// Removes expired predictions and invalidated entries.
    pub fn maintain(&self) {
        let now = self.now();
        self.lock().index.maintain(now);
    }
}

/// Merges holders from this router's index with those reported by peers. A peer's entry replaces
/// an own entry only if it is of the same incarnation and covers more blocks.
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
