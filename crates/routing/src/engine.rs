//! State of one engine: its last load report and the requests that this router
//! dispatched to it.

use std::time::Duration;

use juniper_types::{
    AdapterName, EngineId, Incarnation, ModelName, SoftwareVersion, Timestamp, WeightsVersion,
    ZoneName,
};

use crate::cost::CostModel;
use crate::drain::{DepartureSource, DepartureSources};
use crate::estimate::WorkRate;
use crate::request::{DispatchId, DispatchedWork, ServingKey};

/// Engine listed in the settings in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescriptor {
    /// Engine number.
    pub engine: EngineId,
    /// Zone that the engine runs in.
    pub zone: ZoneName,
}

/// Load report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Incarnation that sent the report.
    pub incarnation: Incarnation,
    /// Age of the report when the router received it.
    pub age: Duration,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens of the queued requests, cached or not.
    pub waiting_prompt_tokens: u64,
    /// Loaded model, if any.
    pub model: Option<ModelName>,
    /// Version of the loaded model's weights.
    pub weights: WeightsVersion,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Software version of the engine, if it states one.
    pub software: Option<SoftwareVersion>,
    /// Whether the engine is departing and takes no new work.
    pub leaving: bool,
}

/// Snapshot of one engine's state for status pages and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Zone that the engine runs in.
    pub zone: ZoneName,
    /// Current incarnation; `None` while the engine is down or hasn't reported.
    pub incarnation: Option<Incarnation>,
    /// Whether the engine is marked as unreachable.
    pub down: bool,
    /// Whether any source reports the engine as departing.
    pub leaving: bool,
    /// Expected queueing time of a new request.
    pub queue: Duration,
    /// Number of this router's attempts in flight.
    pub own_in_flight: usize,
}

/// Running means over this router's requests, used as estimates for the
/// requests of other routers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnWorkMeans {
    /// Prefill tokens of a request.
    pub(crate) prefill_tokens: f64,
    /// Share of a prompt's tokens that miss the cache.
    pub(crate) prefill_share_of_prompt: f64,
    /// Share of an attempt's time before its first token.
    pub(crate) prefill_share: f64,
    /// Time from dispatch to completion, in microseconds.
    pub(crate) residence_us: f64,
}

/// Weight of the newest sample in the running means.
const MEAN_GAIN: f64 = 0.02;

impl Default for OwnWorkMeans {
    fn default() -> Self {
        OwnWorkMeans {
            prefill_tokens: 500.0,
            prefill_share_of_prompt: 0.5,
            prefill_share: 0.2,
            residence_us: 2_000_000.0,
        }
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    *mean += MEAN_GAIN * (sample - *mean);
}

impl OwnWorkMeans {
    pub(crate) fn record_dispatch(&mut self, work: DispatchedWork) {
        let prompt = f64::from(work.prompt_tokens.max(1));
        update_mean(&mut self.prefill_tokens, f64::from(work.prefill_tokens));
        update_mean(&mut self.prefill_share_of_prompt, f64::from(work.prefill_tokens) / prompt);
    }

    pub(crate) fn record_end(&mut self, dispatch: &Dispatch, now: Timestamp) {
        let residence = now.since(dispatch.at).as_micros() as f64;
        update_mean(&mut self.residence_us, residence);
        if let Some(first_token_at) = dispatch.first_token_at
            && residence > 0.0
        {
            let prefill = first_token_at.since(dispatch.at).as_micros() as f64;
            update_mean(&mut self.prefill_share, prefill / residence);
        }
    }
}

/// Attempt of this router in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) id: DispatchId,
    pub(crate) at: Timestamp,
    pub(crate) prefill_tokens: u32,
    pub(crate) first_token_at: Option<Timestamp>,
}

/// Request counts of the last load report.
#[derive(Clone, Copy, Debug)]
struct ReportedRequests {
    taken_at: Timestamp,
    running: u32,
    waiting: u32,
    waiting_prompt_tokens: u64,
}

/// State of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) down: bool,
    pub(crate) leaving: DepartureSources,
    model: Option<(ModelName, WeightsVersion)>,
    adapters: Vec<AdapterName>,
    /// Software version of the current incarnation, if known.
    pub(crate) software: Option<SoftwareVersion>,
    reported: Option<ReportedRequests>,
    dispatches: Vec<Dispatch>,
    /// Recent rate of work dispatched by this router.
    pub(crate) rate: WorkRate,
}

impl Engine {
    pub(crate) fn new(descriptor: &EngineDescriptor) -> Self {
        Engine {
            id: descriptor.engine,
            zone: descriptor.zone.clone(),
            incarnation: None,
            down: false,
            leaving: DepartureSources::default(),
            model: None,
            adapters: Vec::new(),
            software: None,
            reported: None,
            dispatches: Vec::new(),
            rate: WorkRate::default(),
        }
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.down && !self.leaving.any()
    }

    /// Whether the engine has sent a load report.
    pub(crate) fn is_known(&self) -> bool {
        self.reported.is_some()
    }

    /// Iterates over the keys that the engine serves.
    pub(crate) fn serving(&self) -> impl Iterator<Item = ServingKey> + '_ {
        let adapters = std::iter::once(None).chain(self.adapters.iter().cloned().map(Some));
        self.model.iter().flat_map(move |(model, weights)| {
            let key = |adapter| ServingKey { model: model.clone(), adapter, weights: *weights };
            adapters.clone().map(key)
        })
    }

    /// Whether a report changes the engine's group memberships.
    pub(crate) fn changes_service(&self, load: &EngineLoad) -> bool {
        let known = self.model.as_ref().map(|(model, weights)| (model, *weights));
        let now_serves = load.model.as_ref().map(|model| (model, load.weights));
        !self.is_known()
            || self.down
            || known != now_serves
            || self.adapters != load.adapters
            || self.leaving.contains(DepartureSource::Engine) != load.leaving
    }

    pub(crate) fn apply_report(&mut self, load: &EngineLoad, now: Timestamp) {
        self.reported = Some(ReportedRequests {
            taken_at: now.before(load.age),
            running: load.running,
            waiting: load.waiting,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
        });
        self.down = false;
        if self.incarnation != Some(load.incarnation) {
            self.incarnation = Some(load.incarnation);
            // Requests dispatched to an earlier incarnation ended with it.
            self.dispatches.clear();
        }
        self.leaving.set(DepartureSource::Engine, load.leaving);
        self.model = load.model.clone().map(|model| (model, load.weights));
        self.adapters.clone_from(&load.adapters);
        self.software.clone_from(&load.software);
    }

    pub(crate) fn mark_down(&mut self) {
        self.down = true;
        self.incarnation = None;
        self.reported = None;
        self.model = None;
        self.software = None;
        self.dispatches.clear();
    }

    pub(crate) fn add_dispatch(&mut self, dispatch: Dispatch) {
        self.dispatches.push(dispatch);
    }

    /// Records the first token of an attempt. Returns false if the attempt is
    /// unknown or its first token was recorded before.
    pub(crate) fn record_first_token(&mut self, id: DispatchId, now: Timestamp) -> bool {
        let dispatch = self.dispatches.iter_mut().find(|dispatch| dispatch.id == id);
        match dispatch {
            Some(dispatch) if dispatch.first_token_at.is_none() => {
                dispatch.first_token_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Whether an attempt of this router is in flight without a first token.
    pub(crate) fn is_prefilling(&self, id: DispatchId) -> bool {
        let dispatch = self.dispatches.iter().find(|dispatch| dispatch.id == id);
        dispatch.is_some_and(|dispatch| dispatch.first_token_at.is_none())
    }

    pub(crate) fn remove_dispatch(&mut self, id: DispatchId) -> Option<Dispatch> {
        let position = self.dispatches.iter().position(|dispatch| dispatch.id == id)?;
        Some(self.dispatches.remove(position))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.dispatches.len()
    }

    /// Prefill tokens of this router's attempts without a first token.
    pub(crate) fn own_pending_tokens(&self) -> u64 {
        let pending = self.dispatches.iter().filter(|dispatch| dispatch.first_token_at.is_none());
        pending.map(|dispatch| u64::from(dispatch.prefill_tokens)).sum()
    }

    /// Pending work of other routers at the last report, in microseconds. Requests
    /// of other routers are assumed to resemble this router's own.
    pub(crate) fn other_routers_us(&self, own: &OwnWorkMeans, model: &CostModel) -> f64 {
        let Some(reported) = self.reported else {
            return 0.0;
        };
        let dispatched_before =
            self.dispatches.iter().filter(|dispatch| dispatch.at < reported.taken_at);
        let own_reported = dispatched_before.count() as f64;
        let in_engine = f64::from(reported.running) + f64::from(reported.waiting);
        let others_share = ((in_engine - own_reported) / in_engine.max(1.0)).clamp(0.0, 1.0);
        let prefilling = f64::from(reported.running) * own.prefill_share;
        let running_tokens = prefilling * own.prefill_tokens / 2.0;
        let waiting_tokens = reported.waiting_prompt_tokens as f64 * own.prefill_share_of_prompt;
        others_share * (running_tokens + waiting_tokens) * model.token_us
    }

    /// Expected time until the batch has room, in microseconds. An engine queues
    /// requests only while its batch is full.
    pub(crate) fn batch_wait_us(&self, own: &OwnWorkMeans) -> f64 {
        match self.reported {
            Some(reported) if reported.waiting > 0 && reported.running > 0 => {
                let turns = f64::from(reported.waiting) / f64::from(reported.running);
                turns * own.residence_us
            }
            _ => 0.0,
        }
    }

    /// Whether requests were running at the last report or were dispatched since.
    pub(crate) fn is_busy(&self) -> bool {
        !self.dispatches.is_empty() || self.reported.is_some_and(|load| load.running > 0)
    }
}
