//! Load reports: sampled at a steady pace and readable only when they have aged.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::{AdapterName, Incarnation, ModelName, Timestamp, WeightsVersion};
use serde::{Deserialize, Serialize};

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode in one batch.
    #[default]
    Mixed,
    /// Mostly prefill: large chunks, slow streams.
    Prefill,
    /// Mostly decode: small chunks, steady streams.
    Decode,
}

/// The load of an engine at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Life of the engine that the report is of.
    pub incarnation: Incarnation,
    /// Age of the report when it was read, in milliseconds.
    pub age_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests, cached or not.
    pub waiting_prompt_tokens: u64,
    /// Blocks cached.
    pub cache_blocks: u32,
    /// Blocks that fit.
    pub cache_capacity: u32,
    /// Model loaded, if any.
    pub model: Option<ModelName>,
    /// Version of its weights; zero while no model is loaded.
    pub weights: WeightsVersion,
    /// Adapters loaded.
    pub adapters: Vec<AdapterName>,
    /// Role of the engine.
    pub role: Role,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// Recent states of an engine, from which lagging samples are read.
#[derive(Clone, Debug)]
pub struct LoadHistory {
    interval: Duration,
    lag: Duration,
    states: VecDeque<(Timestamp, LoadReport)>,
}

impl LoadHistory {
    /// Samples every `interval`, readable once `lag` old.
    pub fn new(interval: Duration, lag: Duration) -> Self {
        LoadHistory { interval, lag, states: VecDeque::new() }
    }

    /// Notes that the engine is in `state` from `now` on.
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
        let readable = now.0.saturating_sub(self.lag.as_micros() as u64);
        Timestamp(readable / interval * interval)
    }

    /// The latest readable sample, or `None` before the first state.
    pub fn read(&self, now: Timestamp) -> Option<LoadReport> {
        let sampled = self.sample_time(now);
        let older = self.states.partition_point(|(at, _)| *at <= sampled);
        let (at, state) = self.states.get(older.saturating_sub(1))?;
        let mut report = state.clone();
        report.age_ms = now.since(sampled.max(*at)).as_millis() as u64;
        Some(report)
    }
}
