//! The all-knowing oracle: tries every engine out and takes the best.
//!
//! It copies each engine as it is at the moment, with the requests on their way
//! there and those that wait to be sent, submits the request to the copy and
//! runs it to the first token. So it knows the exact cached tokens and the
//! exact time to first token, of everything except requests still to come. It
//! may also wait for an attempt that computes the same prefix, and it minimises
//! the same weighted cost as the routers.

use std::sync::Arc;
use std::time::Duration;

use juniper_emulators::engine::config::PREFILL_TOKEN_NS;
use juniper_emulators::engine::{Engine, EngineRequest, Output};
use juniper_types::{BlockHash, RequestId, Timestamp};

use super::deployment::Deployment;
use super::policy::{AttemptId, Choice, Held, Policy, Question, Refused, Truth, Wait};
use super::world::engine_request;

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: f64 = 1_000.0;

/// Work of one request in a queue, in microseconds, as the routers take it.
const QUEUED_WORK_US: f64 = 270_000.0;

/// Blocks that an attempt must be computing for others to wait for it.
const MIN_AWAITED_BLOCKS: usize = 2;

/// Time that a wait may take.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Chooses by trying.
pub struct Oracle {
    deployment: Deployment,
    engine_zones: Vec<usize>,
    /// Attempts without a first token, by engine.
    computing: Vec<Vec<(AttemptId, Arc<[BlockHash]>)>>,
}

/// What came of trying one engine.
#[derive(Clone, Copy, Debug)]
struct Trial {
    first_token_us: f64,
    cached_tokens: u32,
}

impl Oracle {
    /// Knows where the engines stand.
    pub fn new(deployment: Deployment, engine_zones: Vec<usize>) -> Self {
        let computing = vec![Vec::new(); engine_zones.len()];
        Oracle { deployment, engine_zones, computing }
    }

    fn cost(&self, question: &Question<'_>, engine: usize, trial: Trial) -> f64 {
        let job = question.job;
        let one_way = self.deployment.one_way(question.router, self.engine_zones[engine]);
        let missed = f64::from(job.prompt_tokens.saturating_sub(trial.cached_tokens));
        let compute_us = missed * PREFILL_TOKEN_NS as f64 / NANOS_PER_MICRO;
        let queue_us = (trial.first_token_us - compute_us).max(0.0);
        let congestion_us = compute_us * queue_us / QUEUED_WORK_US;
        let first_token_us = trial.first_token_us + 2.0 * one_way.as_micros() as f64;
        job.settings.latency_weight * (first_token_us + congestion_us)
            + job.settings.waste_weight * compute_us
    }

    /// The attempt that computes the most of the prompt beyond what is cached.
    fn worth_waiting_for(
        &self,
        question: &Question<'_>,
        engine: usize,
        state: &Engine,
    ) -> Option<AttemptId> {
        let blocks = &question.job.blocks;
        let cached = state.cached_prefix(blocks);
        let shared = |other: &[BlockHash]| {
            blocks.iter().zip(other).take_while(|(own, other)| own == other).count()
        };
        let attempts = self.computing[engine].iter().map(|(id, other)| (shared(other), *id));
        let (most, id) = attempts.max_by_key(|(blocks, id)| (*blocks, std::cmp::Reverse(*id)))?;
        (most >= cached + MIN_AWAITED_BLOCKS).then_some(id)
    }

    /// The cheapest way to use one engine: with its cost, and what to wait for.
    fn best_use(
        &self,
        question: &Question<'_>,
        truth: Truth<'_>,
        engine: usize,
        now: Timestamp,
    ) -> Option<(f64, Option<AttemptId>)> {
        let state = &truth.engines[engine];
        let waits = [None, self.worth_waiting_for(question, engine, state)];
        let tried = waits.iter().enumerate().filter(|(place, wait)| *place == 0 || wait.is_some());
        let costs = tried.filter_map(|(_, wait)| {
            let request = engine_request(question, None);
            let trial = TryOut::new(truth, engine, now).run(request, *wait)?;
            Some((self.cost(question, engine, trial), *wait))
        });
        costs.min_by(|a, b| a.0.total_cmp(&b.0))
    }
}

impl Policy for Oracle {
    fn choose(
        &mut self,
        question: &Question<'_>,
        truth: Truth<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused> {
        let uses = (0..truth.engines.len())
            .filter(|engine| !question.excluded.contains(engine))
            .filter_map(|engine| {
                let (cost, wait) = self.best_use(question, truth, engine, now)?;
                Some((cost, engine, wait))
            });
        let best = uses.min_by(|a, b| a.0.total_cmp(&b.0));
        let refused = Refused { retry_after: Duration::from_secs(1) };
        let (_, engine, wait) = best.ok_or(refused)?;
        self.computing[engine].push((question.attempt, question.job.blocks.clone()));
        let wait = wait.map(|attempt| Wait { attempt, at_most: LONGEST_WAIT });
        Ok(Choice { engine, incarnation: None, expected_blocks: 0, wait })
    }

    fn first_token(&mut self, _router: usize, engine: usize, attempt: AttemptId, _now: Timestamp) {
        self.computing[engine].retain(|(id, _)| *id != attempt);
    }

    fn finished(&mut self, router: usize, engine: usize, attempt: AttemptId, now: Timestamp) {
        self.first_token(router, engine, attempt, now);
    }

    fn restart(&mut self) {}
}

/// A copy of one engine that runs ahead of time.
struct TryOut<'a> {
    copy: Engine,
    held: Vec<&'a Held>,
    now: Timestamp,
}

impl<'a> TryOut<'a> {
    fn new(truth: Truth<'a>, engine: usize, now: Timestamp) -> Self {
        let mut copy = truth.engines[engine].clone();
        for (to, earlier) in truth.in_transit {
            if *to == engine {
                // What the engine refuses takes none of its time.
                let _ = copy.submit(earlier.clone(), now);
            }
        }
        let held = truth.held.iter().filter(|held| held.engine == engine).collect();
        TryOut { copy, held, now }
    }

    /// Submits `request`, at once or after the first token of `wait`, and runs
    /// until its first token.
    fn run(mut self, request: EngineRequest, wait: Option<AttemptId>) -> Option<Trial> {
        let id = request.id;
        let mut waiting = Some(request);
        if wait.is_none() {
            self.copy.submit(waiting.take()?, self.now).ok()?;
        }
        let mut cached_tokens = 0;
        let mut until = self.now;
        loop {
            for output in self.copy.advance(until) {
                match output {
                    Output::Started { id: started, cached_tokens: cached, .. } if started == id => {
                        cached_tokens = cached;
                    }
                    Output::FirstToken { id: first, at, .. } if first == id => {
                        let first_token_us = at.since(self.now).as_micros() as f64;
                        return Some(Trial { first_token_us, cached_tokens });
                    }
                    Output::FirstToken { id: first, at, .. } => {
                        self.release_held(first, at.max(until));
                        if wait.is_some_and(|wait| request_id(wait) == first) {
                            self.copy.submit(waiting.take()?, at.max(until)).ok()?;
                        }
                    }
                    Output::Dropped { id: dropped, .. } if dropped == id => return None,
                    _ => {}
                }
            }
            until = self.copy.next_event_time()?;
        }
    }

    fn release_held(&mut self, first: RequestId, at: Timestamp) {
        let (over, held): (Vec<&Held>, Vec<&Held>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| request_id(held.waits_for) == first);
        self.held = held;
        for held in over {
            let _ = self.copy.submit(held.request.clone(), at);
        }
    }
}

fn request_id(attempt: AttemptId) -> RequestId {
    RequestId(u128::from(attempt.0))
}
