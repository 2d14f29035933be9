//! Load reports, sampled at a fixed interval and readable after a lag.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::{AdapterName, Incarnation, ModelName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

/// Scheduling role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Balanced prefill and decode.
    #[default]
    Mixed,
    /// Mostly prefill: large prefill chunks, slow token streams.
    Prefill,
    /// Mostly decode: small prefill chunks, steady token streams.
    Decode,
}

/// Load of an engine at one point in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation that the report describes.
    pub incarnation: Incarnation,
    /// Age of the report when it was read, in milliseconds.
    pub age_ms: u64,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Prompt tokens of the queued requests, cached or not.
    pub waiting_prompt_tokens: u64,
    /// Number of cached blocks.
    pub cache_blocks: u32,
    /// Cache capacity in blocks.
    pub cache_capacity: u32,
    /// Served model, if any.
    pub model: Option<ModelName>,
    /// Version of the model's weights; zero while no model is served.
    pub weights: WeightsVersion,
    /// Software version of the engine, if it states one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// Loaded adapters.
    pub adapters: Vec<AdapterName>,
    /// Scheduling role.
    pub role: Role,
    /// Whether the engine is departing and accepts no new work after the grace period.
    pub leaving: bool,
}

/// Recent load states of an engine, from which lagging samples are read.
#[derive(Clone, Debug)]
pub struct LoadHistory {
    interval: Duration,
    lag: Duration,
    states: VecDeque<(Timestamp, LoadReport)>,
}

impl LoadHistory {
    /// Creates a history sampled every `interval` and readable after `lag`.
    pub fn new(interval: Duration, lag: Duration) -> Self {
        LoadHistory { interval, lag, states: VecDeque::new() }
    }

    /// Records `state` as the load from `now` on.
    pub fn record(&mut self, state: LoadReport, now: Timestamp) {
        if self.states.back().is_some_and(|(at, _)| *at == now) {
            self.states.pop_back();
        }
        self.states.push_back((now, state));
        let oldest_sample = self.sample_time(now);
        while self.states.get(1).is_some_and(|(at, _)| *at <= oldest_sample) {
            self.states.pop_front();
        }
    }

    fn sample_time(&self, now: Timestamp) -> Timestamp {
        let interval = (self.interval.as_micros() as u64).max(1);
        let readable = now.before(self.lag).since(Timestamp::ZERO).as_micros() as u64;
        Timestamp::from_micros(readable / interval * interval)
    }

    /// Returns the latest readable sample, or `None` before the first recorded state.
    pub fn read(&self, now: Timestamp) -> Option<LoadReport> {
        let sampled = self.sample_time(now);
        let older = self.states.partition_point(|(at, _)| *at <= sampled);
        let (at, state) = self.states.get(older.saturating_sub(1))?;
        let mut report = state.clone();
        report.age_ms = now.since(sampled.max(*at)).as_millis() as u64;
        Some(report)
    }
}
