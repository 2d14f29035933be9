//! One engine as a router knows it: the last report and its own work since.

use std::time::Duration;

use juniper_types::{
    AdapterName, EngineId, Incarnation, ModelName, Timestamp, WeightsVersion, ZoneName,
};

use crate::cost::CostModel;
use crate::drain::{LeavingSource, LeavingSources};
use crate::estimate::WorkRate;
use crate::request::{DispatchId, DispatchedWork, ServingKey};

/// An engine of the settings in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDescriptor {
    /// The engine.
    pub engine: EngineId,
    /// Where it runs.
    pub zone: ZoneName,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Life of the engine that the report is of.
    pub incarnation: Incarnation,
    /// Age of the report when it was read.
    pub age: Duration,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests, cached or not.
    pub waiting_prompt_tokens: u64,
    /// Model loaded, if any.
    pub model: Option<ModelName>,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// Adapters loaded.
    pub adapters: Vec<AdapterName>,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// What a table knows of one engine, for status pages and tests.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// Where it runs.
    pub zone: ZoneName,
    /// Its life, unless it is down or has not reported.
    pub incarnation: Option<Incarnation>,
    /// Whether it doesn't answer.
    pub down: bool,
    /// Whether anybody says that it is leaving.
    pub leaving: bool,
    /// Expected time until it starts on new work.
    pub queue: Duration,
    /// The router's own attempts under way.
    pub own_in_flight: usize,
}

/// Means over the router's own work, which stand for that of other routers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnWork {
    /// Tokens computed for a request.
    pub(crate) missed_tokens: f64,
    /// Share of a prompt that is computed.
    pub(crate) missed_share: f64,
    /// Share of the attempts under way that wait for their first token.
    pub(crate) prefill_share: f64,
    /// Time from dispatch to end, in microseconds.
    pub(crate) residence_us: f64,
}

/// Weight of the newest sample in running means.
const MEAN_GAIN: f64 = 0.02;

impl Default for OwnWork {
    fn default() -> Self {
        OwnWork {
            missed_tokens: 500.0,
            missed_share: 0.5,
            prefill_share: 0.2,
            residence_us: 2_000_000.0,
        }
    }
}

fn track(mean: &mut f64, sample: f64) {
    *mean += MEAN_GAIN * (sample - *mean);
}

impl OwnWork {
    pub(crate) fn note_dispatch(&mut self, work: DispatchedWork) {
        let prompt = f64::from(work.prompt_tokens.max(1));
        track(&mut self.missed_tokens, f64::from(work.missed_tokens));
        track(&mut self.missed_share, f64::from(work.missed_tokens) / prompt);
    }

    pub(crate) fn note_end(&mut self, dispatch: &Dispatch, now: Timestamp) {
        let residence = now.since(dispatch.at).as_micros() as f64;
        track(&mut self.residence_us, residence);
        if let Some(first_token_at) = dispatch.first_token_at
            && residence > 0.0
        {
            let prefill = first_token_at.since(dispatch.at).as_micros() as f64;
            track(&mut self.prefill_share, prefill / residence);
        }
    }
}

/// One attempt of this router under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) id: DispatchId,
    pub(crate) at: Timestamp,
    pub(crate) missed_tokens: u32,
    pub(crate) first_token_at: Option<Timestamp>,
}

/// What the last report said of requests.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    taken_at: Timestamp,
    running: u32,
    waiting: u32,
    waiting_prompt_tokens: u64,
}

/// All that is known of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) id: EngineId,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) down: bool,
    pub(crate) leaving: LeavingSources,
    model: Option<(ModelName, WeightsVersion)>,
    adapters: Vec<AdapterName>,
    reported: Option<ReportedLoad>,
    dispatches: Vec<Dispatch>,
    /// Own work sent lately.
    pub(crate) rate: WorkRate,
}

impl Engine {
    pub(crate) fn new(descriptor: &EngineDescriptor) -> Self {
        Engine {
            id: descriptor.engine,
            zone: descriptor.zone.clone(),
            incarnation: None,
            down: false,
            leaving: LeavingSources::default(),
            model: None,
            adapters: Vec::new(),
            reported: None,
            dispatches: Vec::new(),
            rate: WorkRate::default(),
        }
    }

    pub(crate) fn is_usable(&self) -> bool {
        !self.down && !self.leaving.any()
    }

    /// Whether the engine has said what it serves.
    pub(crate) fn is_known(&self) -> bool {
        self.reported.is_some()
    }

    /// Every key that the engine serves.
    pub(crate) fn serving(&self) -> impl Iterator<Item = ServingKey> + '_ {
        let adapters = std::iter::once(None).chain(self.adapters.iter().cloned().map(Some));
        self.model.iter().flat_map(move |(model, weights)| {
            let key = |adapter| ServingKey { model: model.clone(), adapter, weights: *weights };
            adapters.clone().map(key)
        })
    }

    /// Whether a report changes what the engine may be used for.
    pub(crate) fn changes_service(&self, load: &EngineLoad) -> bool {
        let known = self.model.as_ref().map(|(model, weights)| (model, *weights));
        let now_serves = load.model.as_ref().map(|model| (model, load.weights));
        !self.is_known()
            || self.down
            || known != now_serves
            || self.adapters != load.adapters
            || self.leaving.says(LeavingSource::Engine) != load.leaving
    }

    pub(crate) fn take_report(&mut self, load: &EngineLoad, now: Timestamp) {
        let age = u64::try_from(load.age.as_micros()).unwrap_or(u64::MAX);
        self.reported = Some(ReportedLoad {
            taken_at: Timestamp(now.0.saturating_sub(age)),
            running: load.running,
            waiting: load.waiting,
            waiting_prompt_tokens: load.waiting_prompt_tokens,
        });
        self.down = false;
        if self.incarnation != Some(load.incarnation) {
            self.incarnation = Some(load.incarnation);
            // What was sent to an earlier life is no work for this one.
            self.dispatches.clear();
        }
        self.leaving.set(LeavingSource::Engine, load.leaving);
        self.model = load.model.clone().map(|model| (model, load.weights));
        self.adapters.clone_from(&load.adapters);
    }

    pub(crate) fn mark_down(&mut self) {
        self.down = true;
        self.incarnation = None;
        self.reported = None;
        self.model = None;
        self.dispatches.clear();
    }

    pub(crate) fn add(&mut self, dispatch: Dispatch) {
        self.dispatches.push(dispatch);
    }

    /// Notes the first token of an attempt; false when it is unknown or had one.
    pub(crate) fn first_token(&mut self, id: DispatchId, now: Timestamp) -> bool {
        let dispatch = self.dispatches.iter_mut().find(|dispatch| dispatch.id == id);
        match dispatch {
            Some(dispatch) if dispatch.first_token_at.is_none() => {
                dispatch.first_token_at = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Whether an own attempt is there and waits for its first token.
    pub(crate) fn is_prefilling(&self, id: DispatchId) -> bool {
        let dispatch = self.dispatches.iter().find(|dispatch| dispatch.id == id);
        dispatch.is_some_and(|dispatch| dispatch.first_token_at.is_none())
    }

    pub(crate) fn remove(&mut self, id: DispatchId) -> Option<Dispatch> {
        let position = self.dispatches.iter().position(|dispatch| dispatch.id == id)?;
        Some(self.dispatches.remove(position))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.dispatches.len()
    }

    /// Own tokens that are still to be computed.
    pub(crate) fn own_pending_tokens(&self) -> u64 {
        let pending = self.dispatches.iter().filter(|dispatch| dispatch.first_token_at.is_none());
        pending.map(|dispatch| u64::from(dispatch.missed_tokens)).sum()
    }

    /// Work of other routers in the last report, in microseconds. What is
    /// running there beyond the own attempts is taken to be like the own ones.
    pub(crate) fn others_us(&self, own: &OwnWork, model: &CostModel) -> f64 {
        let Some(reported) = self.reported else {
            return 0.0;
        };
        let sent_before = self.dispatches.iter().filter(|dispatch| dispatch.at < reported.taken_at);
        let own_then = sent_before.count() as f64;
        let in_engine = f64::from(reported.running) + f64::from(reported.waiting);
        let others_share = ((in_engine - own_then) / in_engine.max(1.0)).clamp(0.0, 1.0);
        let prefilling = f64::from(reported.running) * own.prefill_share;
        let running_tokens = prefilling * own.missed_tokens / 2.0;
        let waiting_tokens = reported.waiting_prompt_tokens as f64 * own.missed_share;
        others_share * (running_tokens + waiting_tokens) * model.token_us
    }

    /// Time until the batch has room, in microseconds: requests wait only while
    /// it has none.
    pub(crate) fn batch_wait_us(&self, own: &OwnWork) -> f64 {
        match self.reported {
            Some(reported) if reported.waiting > 0 && reported.running > 0 => {
                let turns = f64::from(reported.waiting) / f64::from(reported.running);
                turns * own.residence_us
            }
            _ => 0.0,
        }
    }

    /// Whether anything was running at the last report or was sent since.
    pub(crate) fn is_busy(&self) -> bool {
        !self.dispatches.is_empty() || self.reported.is_some_and(|load| load.running > 0)
    }
}
