//! The all-knowing oracle: tries every engine out and takes the best.
//!
//! It copies each engine as it is at the moment, with the requests on their way
//! there, submits the request to the copy and runs it to the first token. So it
//! knows the exact cached tokens and the exact time to first token, of
//! everything except requests still to come. It minimises the same weighted
//! cost as the routers.

use juniper_emulators::engine::config::PREFILL_TOKEN_NS;
use juniper_emulators::engine::{Engine, EngineRequest, Output};
use juniper_types::Timestamp;

use super::deployment::Deployment;
use super::policy::{Choice, Policy, Question, Refused, Truth};
use super::world::engine_request;

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: f64 = 1_000.0;

/// Chooses by trying.
pub struct Oracle {
    deployment: Deployment,
    engine_zones: Vec<usize>,
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
        Oracle { deployment, engine_zones }
    }

    fn cost(&self, question: &Question<'_>, engine: usize, trial: Trial) -> f64 {
        let job = question.job;
        let one_way = self.deployment.one_way(question.router, self.engine_zones[engine]);
        let missed = f64::from(job.prompt_tokens.saturating_sub(trial.cached_tokens));
        let waste_us = missed * PREFILL_TOKEN_NS as f64 / NANOS_PER_MICRO;
        let first_token_us = trial.first_token_us + 2.0 * one_way.as_micros() as f64;
        job.settings.latency_weight * first_token_us + job.settings.waste_weight * waste_us
    }
}

impl Policy for Oracle {
    fn choose(
        &mut self,
        question: &Question<'_>,
        truth: Truth<'_>,
        now: Timestamp,
    ) -> Result<Choice, Refused> {
        let mut best: Option<(f64, usize)> = None;
        for (position, engine) in truth.engines.iter().enumerate() {
            if question.excluded.contains(&position) {
                continue;
            }
            let in_transit = truth.in_transit.iter().filter(|(to, _)| *to == position);
            let ahead = in_transit.map(|(_, request)| request);
            let request = engine_request(question, None);
            let Some(trial) = try_out(engine, ahead, request, now) else {
                continue;
            };
            let cost = self.cost(question, position, trial);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, position));
            }
        }
        let refused = Refused { retry_after: std::time::Duration::from_secs(1) };
        let (_, engine) = best.ok_or(refused)?;
        Ok(Choice { engine, incarnation: None, expected_blocks: 0, wait: None })
    }

    fn restart(&mut self) {}
}

/// Runs a copy of `engine` until the first token of `request`.
fn try_out<'a>(
    engine: &Engine,
    ahead: impl Iterator<Item = &'a EngineRequest>,
    request: EngineRequest,
    now: Timestamp,
) -> Option<Trial> {
    let mut copy = engine.clone();
    for earlier in ahead {
        // What the engine refuses takes none of its time.
        let _ = copy.submit(earlier.clone(), now);
    }
    let id = request.id;
    copy.submit(request, now).ok()?;
    let mut cached = 0;
    let mut until = now;
    loop {
        for output in copy.advance(until) {
            match output {
                Output::Started { id: started, cached_tokens, .. } if started == id => {
                    cached = cached_tokens;
                }
                Output::FirstToken { id: first, at, .. } if first == id => {
                    let first_token_us = at.since(now).as_micros() as f64;
                    return Some(Trial { first_token_us, cached_tokens: cached });
                }
                Output::Dropped { id: dropped, .. } if dropped == id => return None,
                _ => {}
            }
        }
        until = copy.next_event_time()?;
    }
}
