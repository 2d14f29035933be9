//! The engine model: continuous batching over a block cache, in virtual time.
//!
//! The model performs no I/O and reads no clock. A driver submits requests,
//! calls [`Engine::advance`] at [`Engine::next_event_time`] and acts on the
//! outputs. Times must not decrease from call to call.

mod batch;
pub mod cache;
pub mod config;
mod ended_requests;
pub mod events;
mod intake;
pub mod load;
pub mod orders;
pub mod request;
pub mod transfer;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_types::{
    AdapterName, BlockHash, Incarnation, ModelName, SoftwareVersion, Timestamp, WeightsVersion,
};
use serde::{Deserialize, Serialize};

use self::batch::Running;
use self::cache::BlockCache;
pub use self::config::{EngineConfig, EventFaults};
use self::ended_requests::EndedRequests;
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

/// Counters of an engine over all incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests finished.
    pub finished: u64,
    /// Accepted requests that ended before their last token.
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

/// Key of the waiting queue: priority, then arrival.
type WaitKey = (Reverse<u8>, u64);

#[derive(Clone, Debug)]
struct Waiting {
    request: EngineRequest,
    provenance: u32,
}

/// State of the loaded model.
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

/// Model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    config: EngineConfig,
    incarnation: Incarnation,
    down: bool,
    model: ModelState,
    adapters: Vec<AdapterName>,
    role: Role,
    departing_since: Option<Timestamp>,
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
    /// Creates an engine that serves from `now` on with an empty cache.
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
            departing_since: None,
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

    /// Current incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the process is down.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Model and weights that are currently served, if any.
    pub fn serving(&self) -> Option<(&ModelName, WeightsVersion)> {
        match &self.model {
            ModelState::Serving { model, weights } => Some((model, *weights)),
            _ => None,
        }
    }

    /// Time of the next state change without further calls; `None` while idle.
    pub fn next_event_time(&self) -> Option<Timestamp> {
        let transfer = self.transfers.iter().map(|transfer| transfer.ends_at).min();
        self.iteration_ends_at.into_iter().chain(transfer).min()
    }

    /// Advances the engine to `to` and returns the outputs since the last call, in order.
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
            self.start_ready_work(now);
        }
    }

    /// Starts the work that can start at `now` and records the new load.
    fn start_ready_work(&mut self, now: Timestamp) {
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

    /// Simulates a crash of the process, which loses everything in memory.
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

    /// Restarts the process as `incarnation` with an empty cache and requests its configured
    /// weights.
    pub fn start(&mut self, incarnation: Incarnation, now: Timestamp) {
        self.incarnation = incarnation;
        self.down = false;
        self.departing_since = None;
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

    /// Cache event stream of the current incarnation.
    pub fn events(&self) -> &EventFeed {
        &self.events
    }

    /// Returns the sequence number of the latest cache change and all cached blocks.
    pub fn snapshot(&self) -> (u64, Vec<BlockHash>) {
        (self.events.sequence(), self.cache.snapshot())
    }

    /// Number of leading blocks of `chain` that are cached, without the delay of
    /// cache events. For oracles and checks.
    pub fn cached_prefix(&self, chain: &[BlockHash]) -> usize {
        self.cache.cached_prefix(chain)
    }

    /// Returns the latest readable load report, which lags behind the current load.
    pub fn load_report(&self, now: Timestamp) -> Option<LoadReport> {
        if self.down { None } else { self.load.read(now) }
    }

    fn record_load(&mut self, now: Timestamp) {
        let state = self.current_load();
        self.load.record(state, now);
    }

    /// Returns the current load, without the lag of load reports. For oracles and checks.
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
            software: self.software().map(|software| software.as_str().to_owned()),
            adapters: self.adapters.clone(),
            role: self.role,
            leaving: self.departing_since.is_some(),
        }
    }

    /// Software version that the engine states, if any.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.config.software.as_ref()
    }

    /// Invariant violations detected so far.
    pub fn witness(&self) -> &Witness {
        &self.witness
    }

    /// Counters over all incarnations.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}
