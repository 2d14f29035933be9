//! The decision: the engine with the least expected cost.
//!
//! Two passes look at the holders of the prompt's start and at every engine
//! that serves the key, without allocating: the first finds the least cost,
//! the second picks among those that come near it. The pick follows rendezvous
//! hashing on the first block that nobody near the least cost holds, so
//! routers that miss the same prefix at the same moment compute it once, on
//! one engine, while different prompts spread.

use std::time::Duration;

use juniper_prefix_index::{Holder, PredictionSource, rendezvous};
use juniper_types::{EngineId, Incarnation, Timestamp};
use rand::{Rng, RngExt};

use crate::cost::{CostModel, CostTerms};
use crate::request::{DispatchId, RouteRequest};
use crate::table::{EngineTable, Estimate};

/// Shortest suggested pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Suggested pause while no engine serves the key: about as long as an engine
/// takes to report again.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Predicted blocks that are worth a wait.
const MIN_AWAITED_BLOCKS: u32 = 2;

/// Time that a wait may take beyond twice the expected queue.
const WAIT_SLACK: Duration = Duration::from_millis(500);

/// Why the engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It holds as much of the prompt as any usable engine.
    BestHolder,
    /// It holds part of the prompt; the engines with more of it are busier.
    Spread,
    /// Nobody holds any of the prompt.
    NobodyHolds,
    /// It holds none of the prompt; computing it costs less than to wait.
    LeastLoaded,
    /// No engine has said yet that it serves the key; this one may.
    Unreported,
}

impl Reason {
    fn as_str(self) -> &'static str {
        match self {
            Reason::BestHolder => "best_holder",
            Reason::Spread => "spread",
            Reason::NobodyHolds => "nobody_holds",
            Reason::LeastLoaded => "least_loaded",
            Reason::Unreported => "unreported",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A wait for an attempt that is computing the prefix.
///
/// An engine shares a block only once it is computed. A request that arrives
/// earlier computes the prefix a second time, behind the first in the same
/// queue; sent when the first one has its first token, it finds the prefix and
/// is served no later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixWait {
    /// The router's own attempt, on the same engine. The wait is over when it
    /// has its first token or has ended.
    pub dispatch: DispatchId,
    /// The wait is over after this time in any case.
    pub at_most: Duration,
}

/// The choice for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Where to send the request.
    pub engine: EngineId,
    /// The life that the choice is about; `None` when the engine has not reported.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks that the engine should hold.
    pub expected_blocks: u32,
    /// Leading blocks to import from the store of kept KV cache first; zero for none.
    pub import_blocks: u32,
    /// What to wait for before sending the request; `None` sends it at once.
    pub wait: Option<PrefixWait>,
    /// Why this engine.
    pub reason: Reason,
    /// Engines that were considered.
    pub candidates: u32,
    /// The parts of the expected cost.
    pub terms: CostTerms,
}

/// Why a request was not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCode {
    /// No engine serves the model, adapter and weights.
    NoEngine,
    /// Even without a queue the first token would come too late.
    DeadlineTooShort,
    /// The queues are too long for the deadline.
    Overloaded,
}

/// No engine can serve the request in time. Nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}; retry after {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When the request has a chance.
    pub retry_after: Duration,
}

impl std::fmt::Display for RefusalCode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            RefusalCode::NoEngine => "no engine serves the model, adapter and weights",
            RefusalCode::DeadlineTooShort => "no engine is fast enough for the deadline",
            RefusalCode::Overloaded => "the queues are too long for the deadline",
        })
    }
}

/// One engine with the cost of the request there.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    engine: EngineId,
    blocks: u32,
    import_blocks: u32,
    /// Leading blocks that are only predicted, and who computes them.
    predicted: u32,
    computed_by: Option<PredictionSource>,
    terms: CostTerms,
    cost: f64,
}

/// Picks the engine for `request`. `holders` are the engines that hold its start.
///
/// # Errors
/// A [`Refusal`] when no usable engine serves the request's key, or none is
/// expected to give the first token in time.
pub fn decide<R: Rng + ?Sized>(
    table: &EngineTable,
    holders: &[Holder],
    request: &RouteRequest<'_>,
    now: Timestamp,
    random: &mut R,
) -> Result<Decision, Refusal> {
    let search = Search { table, holders, request, now };
    let survey = search.survey();
    let Some(cheapest) = survey.cheapest else {
        let retry_after = NO_ENGINE_RETRY_AFTER;
        return Err(Refusal { code: RefusalCode::NoEngine, retry_after });
    };
    let chosen = search.pick(&survey, random.random());
    chosen
        .map(|chosen| search.decision(&survey, chosen))
        .ok_or_else(|| search.refusal(&cheapest.terms))
}

/// What the first pass found.
struct Survey {
    candidates: u32,
    /// Leading blocks that any engine holds at most.
    most_blocks: u32,
    /// The least cost of all, in time or not.
    cheapest: Option<Candidate>,
    /// Least cost among engines that meet the deadline.
    timely: Best,
    /// Least cost among those of them that have short queues.
    calm: Best,
}

/// The best of some candidates.
#[derive(Clone, Copy)]
struct Best {
    least_cost: f64,
    most_blocks: u32,
}

impl Best {
    const NONE: Best = Best { least_cost: f64::INFINITY, most_blocks: 0 };

    fn note(&mut self, candidate: &Candidate) {
        self.least_cost = self.least_cost.min(candidate.cost);
        self.most_blocks = self.most_blocks.max(candidate.blocks);
    }
}

impl Survey {
    fn cheapest_is_late(&self) -> bool {
        self.cheapest.is_some_and(|cheapest| cheapest.cost < self.timely.least_cost)
    }

    /// The candidates to pick from.
    fn best(&self) -> Best {
        if self.cheapest_is_late() { self.calm } else { self.timely }
    }
}

struct Search<'a> {
    table: &'a EngineTable,
    holders: &'a [Holder],
    request: &'a RouteRequest<'a>,
    now: Timestamp,
}

impl Search<'_> {
    /// Calls `visit` with every holder and then with every engine that serves
    /// the key, as if it held nothing.
    fn for_each(&self, mut visit: impl FnMut(Candidate)) {
        let Search { table, request, .. } = self;
        for holder in self.holders {
            if request.excluded.contains(&holder.engine) {
                continue;
            }
            let estimate =
                table.serving_estimate(holder.engine, holder.incarnation, request.serving);
            if let Some(estimate) = estimate {
                let candidate = self.candidate(estimate, holder.blocks, self.work(holder.blocks));
                let Holder { predicted, computed_by, .. } = *holder;
                visit(Candidate { predicted, computed_by, ..candidate });
            }
        }
        let unheld = self.work(0);
        for position in table.group(request.serving) {
            let estimate = &table.estimates[*position as usize];
            if !request.excluded.contains(&estimate.engine) {
                visit(self.candidate(estimate, 0, unheld));
            }
        }
    }

    fn candidate(&self, estimate: &Estimate, blocks: u32, work: Work) -> Candidate {
        let model = &self.table.model;
        let mut terms = estimate.terms(model, work.compute_us, self.now);
        terms.import_us = work.import_us;
        let cost = terms.weighted(model, self.request.weights);
        let import_blocks = work.import_blocks;
        Candidate {
            engine: estimate.engine,
            blocks,
            import_blocks,
            predicted: 0,
            computed_by: None,
            terms,
            cost,
        }
    }

    /// What is left to do where `blocks` blocks are cached.
    fn work(&self, blocks: u32) -> Work {
        Work::least(&self.table.model, self.request, blocks)
    }

    fn meets_deadline(&self, terms: &CostTerms) -> bool {
        terms.first_token_us() <= self.request.first_token_within.as_micros() as f64
    }

    /// Whether the request may go there. When the cheapest engine is too late,
    /// one with a queue that would have to compute more is no way out: it would
    /// only spread the overload, and cost the fleet the cached prefix as well.
    fn is_acceptable(&self, candidate: &Candidate, cheapest_is_late: bool) -> bool {
        let model = &self.table.model;
        let is_calm = candidate.terms.queue_us <= model.calm_queue_us;
        let has_room = model.excess_queue_us(&candidate.terms) <= 0.0;
        has_room && self.meets_deadline(&candidate.terms) && (is_calm || !cheapest_is_late)
    }

    fn survey(&self) -> Survey {
        let mut survey = Survey {
            candidates: 0,
            most_blocks: 0,
            cheapest: None,
            timely: Best::NONE,
            calm: Best::NONE,
        };
        self.for_each(|candidate| {
            survey.candidates += 1;
            survey.most_blocks = survey.most_blocks.max(candidate.blocks);
            if survey.cheapest.is_none_or(|known| candidate.cost < known.cost) {
                survey.cheapest = Some(candidate);
            }
            if self.is_acceptable(&candidate, false) {
                survey.timely.note(&candidate);
            }
            if self.is_acceptable(&candidate, true) {
                survey.calm.note(&candidate);
            }
        });
        survey
    }

    /// The best-ranked candidate among those near the least cost.
    fn pick(&self, survey: &Survey, random: u64) -> Option<Candidate> {
        let best = survey.best();
        let bound = best.least_cost + self.table.model.near_equal_us;
        let key = self.spread_key(best, random);
        let cheapest_is_late = survey.cheapest_is_late();
        let mut first: Option<(u64, Candidate)> = None;
        self.for_each(|candidate| {
            if candidate.cost > bound || !self.is_acceptable(&candidate, cheapest_is_late) {
                return;
            }
            let score = rendezvous::score(key, u64::from(candidate.engine.0));
            // The first visit of a holder counts what it holds; the second doesn't.
            if first.is_none_or(|(known, _)| score > known) {
                first = Some((score, candidate));
            }
        });
        first.map(|(_, candidate)| candidate)
    }

    /// Names the first block that has to be computed, or nothing in particular.
    fn spread_key(&self, best: Best, random: u64) -> u64 {
        match self.request.blocks.get(best.most_blocks as usize) {
            Some(block) => u64::from_le_bytes(std::array::from_fn(|index| block.0[index])),
            None => random,
        }
    }

    fn decision(&self, survey: &Survey, chosen: Candidate) -> Decision {
        let incarnation = self.table.incarnation(chosen.engine);
        let most_blocks = survey.most_blocks;
        let reason = match (incarnation, chosen.blocks) {
            (None, _) => Reason::Unreported,
            (_, 0) if most_blocks == 0 => Reason::NobodyHolds,
            (_, 0) => Reason::LeastLoaded,
            (_, blocks) if blocks == most_blocks => Reason::BestHolder,
            _ => Reason::Spread,
        };
        Decision {
            engine: chosen.engine,
            incarnation,
            expected_blocks: chosen.blocks,
            import_blocks: chosen.import_blocks,
            wait: self.wait(&chosen),
            reason,
            candidates: survey.candidates,
            terms: chosen.terms,
        }
    }

    /// The wait for the attempt that computes the chosen engine's predicted blocks.
    fn wait(&self, chosen: &Candidate) -> Option<PrefixWait> {
        let dispatch = DispatchId(chosen.computed_by?.0);
        let worthwhile = chosen.predicted >= MIN_AWAITED_BLOCKS;
        if !worthwhile || !self.table.is_prefilling(chosen.engine, dispatch) {
            return None;
        }
        let queue = Duration::from_micros(chosen.terms.queue_us as u64);
        let at_most = (queue * 2 + WAIT_SLACK).min(self.request.first_token_within / 2);
        Some(PrefixWait { dispatch, at_most })
    }

    /// The queue has to drain until it has room and the first token isn't late.
    fn refusal(&self, cheapest: &CostTerms) -> Refusal {
        let within_us = self.request.first_token_within.as_micros() as f64;
        let late_us = cheapest.first_token_us() - within_us;
        let code = if late_us > cheapest.queue_us {
            RefusalCode::DeadlineTooShort
        } else {
            RefusalCode::Overloaded
        };
        let excess_us = self.table.model.excess_queue_us(cheapest);
        let drained = Duration::from_micros(late_us.max(excess_us).max(0.0) as u64);
        Refusal { code, retry_after: drained.max(MIN_RETRY_AFTER) }
    }
}

/// Computing and importing that a request needs on one engine.
#[derive(Clone, Copy, Debug)]
struct Work {
    compute_us: f64,
    import_us: f64,
    import_blocks: u32,
}

impl Work {
    fn least(model: &CostModel, request: &RouteRequest<'_>, blocks: u32) -> Work {
        let compute_us = f64::from(request.missed_tokens(blocks)) * model.token_us;
        let imported = request.importable_blocks.saturating_sub(blocks);
        if imported == 0 {
            return Work { compute_us, import_us: 0.0, import_blocks: 0 };
        }
        let rest_us = f64::from(request.missed_tokens(blocks + imported)) * model.token_us;
        let import_us = f64::from(imported) * model.import_block_us;
        if rest_us + import_us >= compute_us {
            return Work { compute_us, import_us: 0.0, import_blocks: 0 };
        }
        Work { compute_us: rest_us, import_us, import_blocks: blocks + imported }
    }
}
