//! The engine model: continuous batching over a block cache, in virtual time.
//!
//! The model performs no I/O and reads no clock. A driver submits requests,
//! asks for [`Engine::next_event_time`], calls [`Engine::advance`] and acts on
//! the outputs. Calls must not go back in time.

mod batch;
pub mod cache;
pub mod config;
mod ended;
pub mod events;
mod intake;
pub mod load;
pub mod orders;
pub mod request;
pub mod transfer;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_types::{AdapterName, BlockHash, Incarnation, ModelName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

use self::batch::Running;
use self::cache::BlockCache;
pub use self::config::{EngineConfig, EventFaults};
use self::ended::EndedRequests;
pub use self::events::CacheEvent;
use self::events::EventFeed;
use self::load::LoadHistory;
pub use self::load::{LoadReport, Role};
use self::orders::{Fence, OrderNumber};
pub use self::request::{
    CancelState, DropReason, EngineRequest, Output, Refusal, RequestStatistics, WeightLoad,
};
use self::transfer::Transfer;
use crate::witness::Witness;

/// What an engine has done over all its lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests that ended early.
    pub dropped: u64,
    /// Prompt tokens of finished requests.
    pub prompt_tokens: u64,
    /// Prompt tokens of finished requests that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens prefilled.
    pub prefilled_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}

/// Order in which requests wait: priority, then arrival.
type WaitKey = (Reverse<u8>, u64);

#[derive(Clone, Debug)]
struct Waiting {
    request: EngineRequest,
    provenance: u32,
}

/// What the engine's memory holds.
#[derive(Clone, Debug)]
enum ModelState {
    Empty,
    Serving {
        model: ModelName,
        weights: WeightsVersion,
    },
    /// Running requests finish on the old weights, then `next` is loaded.
    Draining {
        next: Option<(ModelName, WeightsVersion)>,
    },
    Loading {
        model: ModelName,
        weights: WeightsVersion,
    },
}

/// One emulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: EngineConfig,
    incarnation: Incarnation,
    down: bool,
    model: ModelState,
    adapters: Vec<AdapterName>,
    role: Role,
    leaving_since: Option<Timestamp>,
    cache: BlockCache,
    waiting: BTreeMap<WaitKey, Waiting>,
    arrivals: u64,
    running: Vec<Running>,
    ended: EndedRequests,
    iteration_ends_at: Option<Timestamp>,
    transfers: Vec<Transfer>,
    link_free_at: Timestamp,
    events: EventFeed,
    load: LoadHistory,
    fence: Fence,
    applied_orders: Vec<OrderNumber>,
    outbox: Vec<Output>,
    witness: Witness,
    counters: Counters,
}

impl Engine {
    /// An engine that serves from `now` on with an empty cache.
    pub fn new(config: EngineConfig, incarnation: Incarnation, now: Timestamp) -> Self {
        let model = match config.model.clone() {
            Some((model, weights)) => ModelState::Serving { model, weights },
            None => ModelState::Empty,
        };
        let mut engine = Engine {
            incarnation,
            down: false,
            model,
            adapters: config.adapters.clone(),
            role: Role::default(),
            leaving_since: None,
            cache: BlockCache::new(config.cache_blocks),
            waiting: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            ended: EndedRequests::default(),
            iteration_ends_at: None,
            transfers: Vec::new(),
            link_free_at: now,
            events: EventFeed::new(config.events, config.seed ^ incarnation.0),
            load: LoadHistory::new(config.load_interval, config.load_lag),
            fence: Fence::default(),
            applied_orders: Vec::new(),
            outbox: Vec::new(),
            witness: Witness::default(),
            counters: Counters::default(),
            config,
        };
        engine.record_load(now);
        engine
    }

    /// The current life of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the process is down.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Model and weights that are served now.
    pub fn serving(&self) -> Option<(&ModelName, WeightsVersion)> {
        match &self.model {
            ModelState::Serving { model, weights } => Some((model, *weights)),
            _ => None,
        }
    }

    /// When the engine next changes state by itself; `None` while it is idle.
    pub fn next_event_time(&self) -> Option<Timestamp> {
        let transfer = self.transfers.iter().map(|transfer| transfer.ends_at).min();
        self.iteration_ends_at.into_iter().chain(transfer).min()
    }

    /// Runs until `to` and returns everything put out since the last call, in order.
    pub fn advance(&mut self, to: Timestamp) -> Vec<Output> {
        self.run_until(to);
        std::mem::take(&mut self.outbox)
    }

    fn run_until(&mut self, to: Timestamp) {
        while let Some(now) = self.next_event_time().filter(|at| *at <= to) {
            self.finish_transfers(now);
            if self.iteration_ends_at.is_some_and(|ends_at| ends_at <= now) {
                self.finish_iteration(now);
            }
            self.proceed(now);
        }
    }

    /// Starts whatever can start at `now` and notes the new state.
    fn proceed(&mut self, now: Timestamp) {
        if self.running.is_empty() {
            self.iteration_ends_at = None;
        }
        self.finish_draining(now);
        if self.iteration_ends_at.is_none() {
            self.start_iteration(now);
        }
        self.record_load(now);
    }

    fn publish_change(&mut self, now: Timestamp) {
        if let Some(change) = self.cache.take_change() {
            self.events.record(change, now);
        }
    }

    /// The process dies: everything in memory is lost.
    pub fn crash(&mut self, now: Timestamp) {
        self.run_until(now);
        self.drop_waiting(DropReason::Crashed, now);
        for running in std::mem::take(&mut self.running) {
            self.drop_request(&running.request, DropReason::Crashed, true, now);
        }
        self.cache = BlockCache::new(self.config.cache_blocks);
        self.iteration_ends_at = None;
        self.transfers.clear();
        self.adapters.clear();
        self.model = ModelState::Empty;
        self.ended = EndedRequests::default();
        self.down = true;
    }

    /// The process starts again, empty, as `incarnation`, and fetches its configured weights.
    pub fn start(&mut self, incarnation: Incarnation, now: Timestamp) {
        self.incarnation = incarnation;
        self.down = false;
        self.leaving_since = None;
        self.role = Role::default();
        self.link_free_at = now;
        self.events = EventFeed::new(self.config.events, self.config.seed ^ incarnation.0);
        self.load = LoadHistory::new(self.config.load_interval, self.config.load_lag);
        if let Some((model, weights)) = self.config.model.clone() {
            let load = WeightLoad::Model(model.clone(), weights);
            self.outbox.push(Output::LoadNeeded { at: now, load });
            self.model = ModelState::Loading { model, weights };
        }
        self.record_load(now);
    }

    /// Cache events published by `now` that no earlier call returned.
    pub fn take_events(&mut self, now: Timestamp) -> Vec<Arc<CacheEvent>> {
        self.run_until(now);
        self.events.take(now)
    }

    /// The event stream of the current incarnation.
    pub fn events(&self) -> &EventFeed {
        &self.events
    }

    /// The whole cache and the sequence number of the change it reflects.
    pub fn snapshot(&self) -> (u64, Vec<BlockHash>) {
        (self.events.sequence(), self.cache.snapshot())
    }

    /// How many leading blocks of `chain` are cached at this moment: the truth
    /// that events tell late. For oracles and checks.
    pub fn cached_prefix(&self, chain: &[BlockHash]) -> usize {
        self.cache.matched(chain)
    }

    /// The latest load report that can be read; it lags.
    pub fn load_report(&self, now: Timestamp) -> Option<LoadReport> {
        if self.down { None } else { self.load.read(now) }
    }

    fn record_load(&mut self, now: Timestamp) {
        let state = self.current_load();
        self.load.record(state, now);
    }

    /// The load at this moment: the truth that reports tell late. For oracles and checks.
    pub fn current_load(&self) -> LoadReport {
        let serving = self.serving();
        LoadReport {
            incarnation: self.incarnation,
            age_ms: 0,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            waiting_prompt_tokens: self.waiting_prompt_tokens(),
            cache_blocks: self.cache.cached(),
            cache_capacity: self.cache.capacity(),
            model: serving.map(|(model, _)| model.clone()),
            weights: serving.map_or(WeightsVersion(0), |(_, weights)| weights),
            adapters: self.adapters.clone(),
            role: self.role,
            leaving: self.leaving_since.is_some(),
        }
    }

    /// Breaches seen so far.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// What the engine has done so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}
