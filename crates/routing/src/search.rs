//! Search for the engine with the lowest expected cost.
//!
//! The first pass scores the engines with cached leading blocks and every engine
//! that serves the key into one compact list. The second pass over this list
//! chooses among the candidates near the lowest cost.

use std::time::Duration;

use juniper_prefix_index::{Holder, rendezvous};
use juniper_types::Timestamp;

use crate::cost::{CostFunction, CostModel, CostTerms, Fit, QueueBounds, Score, lowest_cost};
use crate::decide::{Decision, PrefixWait, Reason, Refusal, RefusalCode};
use crate::estimate::Estimate;
use crate::groups::Group;
use crate::request::{DispatchId, RouteRequest};
use crate::table::EngineTable;

/// Minimum suggested retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Minimum number of predicted blocks to wait for.
const MIN_AWAITED_BLOCKS: u32 = 2;

/// Allowance on top of twice the expected queueing time.
const WAIT_SLACK: Duration = Duration::from_millis(500);

/// Result of the first pass.
pub(crate) struct Survey {
    /// Scores of the holders, followed by those of the group members.
    scores: Vec<Score>,
    /// Largest number of leading blocks cached on one usable engine.
    max_cached_blocks: u32,
    /// Lowest cost of all candidates, whether they meet the deadline or not.
    least_cost: f32,
    /// Minimum fit of the chosen engine.
    wanted_fit: Fit,
    /// Lowest cost among the candidates with at least this fit.
    least_wanted_cost: f32,
}

impl Survey {
    /// If the cheapest engine is too late or full, only engines with a short queue
    /// are acceptable. Any other engine with a queue would have to compute more of
    /// the prompt, which spreads the overload and wastes the cached prefix.
    fn new(scores: Vec<Score>, max_cached_blocks: u32) -> Self {
        let least_cost = lowest_cost(&scores, Fit::UNFIT);
        let timely = lowest_cost(&scores, Fit::TIMELY);
        let (wanted_fit, least_wanted_cost) = if least_cost < timely {
            (Fit::SHORT_QUEUE, lowest_cost(&scores, Fit::SHORT_QUEUE))
        } else {
            (Fit::TIMELY, timely)
        };
        Survey { scores, max_cached_blocks, least_cost, wanted_fit, least_wanted_cost }
    }

    /// Index of the lowest score; `None` if there is no candidate.
    fn cheapest(&self) -> Option<usize> {
        let index = self.scores.iter().position(|score| score.cost <= self.least_cost);
        index.filter(|_| self.least_cost.is_finite())
    }
}

/// Candidate engine with its work and cost.
struct Candidate<'a> {
    estimate: &'a Estimate,
    holder: Option<&'a Holder>,
    work: Work,
    terms: CostTerms,
}

impl Candidate<'_> {
    fn blocks(&self) -> u32 {
        self.holder.map_or(0, |holder| holder.blocks)
    }
}

pub(crate) struct Search<'a> {
    table: &'a EngineTable,
    group: &'a Group,
    holders: &'a [Holder],
    request: &'a RouteRequest<'a>,
    bounds: QueueBounds,
    now: Timestamp,
}

impl<'a> Search<'a> {
    pub(crate) fn new(
        table: &'a EngineTable,
        holders: &'a [Holder],
        request: &'a RouteRequest<'a>,
        now: Timestamp,
    ) -> Self {
        let within_us = request.first_token_within.as_micros() as f64;
        let bounds = QueueBounds::new(&table.model, within_us, request.begun);
        Search { table, group: table.group(request.serving), holders, request, bounds, now }
    }

    /// Scores every candidate. Holders appear twice: the second entry ignores their
    /// cached blocks and never scores better than the first.
    pub(crate) fn survey(&self) -> Survey {
        let members = self.group.positions();
        let mut scores = Vec::with_capacity(self.holders.len() + members.len());
        let mut max_cached_blocks = 0;
        let mut priced_blocks = 0;
        let mut cost_function = self.cost_function(self.work(priced_blocks));
        for holder in self.holders {
            let Some(estimate) = self.holder_estimate(holder) else {
                scores.push(Score::UNFIT);
                continue;
            };
            // Consecutive holders often have the same number of blocks cached.
            if holder.blocks != priced_blocks {
                priced_blocks = holder.blocks;
                cost_function = self.cost_function(self.work(priced_blocks));
            }
            max_cached_blocks = max_cached_blocks.max(holder.blocks);
            scores.push(estimate.score(&cost_function, self.now));
        }
        let cost_function = self.cost_function(self.work(0));
        let estimates = &self.table.estimates;
        scores.extend(
            members.iter().map(|index| estimates[*index as usize].score(&cost_function, self.now)),
        );
        self.exclude(&mut scores);
        Survey::new(scores, max_cached_blocks)
    }

    fn exclude(&self, scores: &mut [Score]) {
        if self.request.excluded.is_empty() {
            return;
        }
        for (index, score) in scores.iter_mut().enumerate() {
            let engine = self.estimate(index).map(|estimate| estimate.engine);
            if engine.is_some_and(|engine| self.request.excluded.contains(&engine)) {
                *score = Score::UNFIT;
            }
        }
    }

    /// Estimate of a holder that may take new work for the key. Blocks cached by
    /// another incarnation don't count.
    fn holder_estimate(&self, holder: &Holder) -> Option<&'a Estimate> {
        let position = self.table.position(holder.engine)?;
        let is_current = self.table.incarnations[position as usize] == Some(holder.incarnation);
        let usable = is_current && self.group.contains(position);
        usable.then(|| &self.table.estimates[position as usize])
    }

    /// Work that remains on an engine with `blocks` leading blocks cached.
    fn work(&self, blocks: u32) -> Work {
        Work::lowest_cost(&self.table.model, self.request, blocks)
    }

    fn terms(&self, estimate: &Estimate, work: Work) -> CostTerms {
        estimate.terms(&self.table.model, work.compute_us, work.import_us, self.now)
    }

    fn cost_function(&self, work: Work) -> CostFunction {
        let Work { compute_us, import_us, .. } = work;
        let weights = self.request.weights;
        CostFunction::new(&self.table.model, weights, compute_us, import_us, self.bounds)
    }

    /// Returns the decision or the refusal; `None` if there is no candidate.
    pub(crate) fn decide(&self, survey: &Survey, random: u64) -> Option<Result<Decision, Refusal>> {
        let Some(chosen) = self.pick(survey, random) else {
            let cheapest = self.candidate(survey.cheapest()?)?;
            return Some(Err(self.refusal(&cheapest.terms)));
        };
        self.candidate(chosen).map(|chosen| Ok(self.decision(survey, &chosen)))
    }

    /// Index of the highest-ranked candidate among those near the lowest cost.
    fn pick(&self, survey: &Survey, random: u64) -> Option<usize> {
        let bound = survey.least_wanted_cost + self.table.model.near_equal_us as f32;
        let near = |score: &Score| score.cost <= bound && score.fit >= survey.wanted_fit;
        let key = self.spread_key(survey, near, random);
        let mut best: Option<(u64, usize)> = None;
        for (index, score) in survey.scores.iter().enumerate() {
            if !near(score) {
                continue;
            }
            let rank = rendezvous::score(key, u64::from(self.estimate(index)?.engine.0));
            // Of a holder's two entries, the first includes its cached blocks.
            if best.is_none_or(|(known, _)| rank > known) {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// Rendezvous key: the first block that no candidate near the lowest cost has
    /// cached, or `random` if all blocks are cached.
    fn spread_key(&self, survey: &Survey, near: impl Fn(&Score) -> bool, random: u64) -> u64 {
        let scored = self.holders.iter().zip(&survey.scores);
        let held = scored.filter(|(_, score)| near(score)).map(|(holder, _)| holder.blocks);
        match self.request.blocks.get(held.max().unwrap_or(0) as usize) {
            Some(block) => u64::from_le_bytes(std::array::from_fn(|index| block.0[index])),
            None => random,
        }
    }

    fn estimate(&self, index: usize) -> Option<&'a Estimate> {
        if let Some(holder) = self.holders.get(index) {
            return self.holder_estimate(holder);
        }
        let position = self.group.positions().get(index - self.holders.len())?;
        self.table.estimates.get(*position as usize)
    }

    fn candidate(&self, index: usize) -> Option<Candidate<'a>> {
        let estimate = self.estimate(index)?;
        let holder = self.holders.get(index);
        let work = self.work(holder.map_or(0, |holder| holder.blocks));
        Some(Candidate { estimate, holder, work, terms: self.terms(estimate, work) })
    }

    fn decision(&self, survey: &Survey, chosen: &Candidate<'_>) -> Decision {
        let incarnation = self.table.incarnation(chosen.estimate.engine);
        let reason = match (incarnation, chosen.blocks()) {
            (None, _) => Reason::Unreported,
            (_, 0) if survey.max_cached_blocks == 0 => Reason::NobodyHolds,
            (_, 0) => Reason::LeastLoaded,
            (_, blocks) if blocks == survey.max_cached_blocks => Reason::BestHolder,
            _ => Reason::Spread,
        };
        Decision {
            engine: chosen.estimate.engine,
            incarnation,
            expected_blocks: chosen.blocks(),
            import_blocks: chosen.work.import_blocks,
            wait: self.wait(chosen),
            reason,
            candidates: self.group.positions().len() as u32,
            terms: chosen.terms,
        }
    }

    /// Wait for the attempt that computes the chosen engine's predicted blocks.
    fn wait(&self, chosen: &Candidate<'_>) -> Option<PrefixWait> {
        let holder = chosen.holder?;
        let dispatch = DispatchId(holder.computed_by?.0);
        let worthwhile = holder.predicted >= MIN_AWAITED_BLOCKS;
        if !worthwhile || !self.table.is_prefilling(holder.engine, dispatch) {
            return None;
        }
        let queue = Duration::from_micros(chosen.terms.queue_us as u64);
        let max_wait = (queue * 2 + WAIT_SLACK).min(self.request.first_token_within / 2);
        Some(PrefixWait { dispatch, max_wait })
    }

    /// Refusal with the time after which the queue has room and the first token
    /// would meet the deadline.
    fn refusal(&self, cheapest: &CostTerms) -> Refusal {
        let late_us = cheapest.first_token_us() - self.bounds.within_us;
        let code = if late_us > cheapest.queue_us {
            RefusalCode::DeadlineTooShort
        } else {
            RefusalCode::Overloaded
        };
        let excess_us = self.table.model.excess_queue_us(cheapest, self.bounds.max_queue_us);
        let drained = Duration::from_micros(late_us.max(excess_us).max(0.0) as u64);
        Refusal { code, retry_after: drained.max(MIN_RETRY_AFTER) }
    }
}

/// Prefill and import work of a request on one engine.
#[derive(Clone, Copy, Debug)]
struct Work {
    compute_us: f64,
    import_us: f64,
    import_blocks: u32,
}

impl Work {
    fn lowest_cost(model: &CostModel, request: &RouteRequest<'_>, blocks: u32) -> Work {
        let compute_us = f64::from(request.prefill_tokens(blocks)) * model.token_us;
        let computed = Work { compute_us, import_us: 0.0, import_blocks: 0 };
        let imported = request.importable_blocks.saturating_sub(blocks);
        if imported == 0 {
            return computed;
        }
        let remaining_us = f64::from(request.prefill_tokens(blocks + imported)) * model.token_us;
        let import_us = f64::from(imported) * model.import_block_us;
        if remaining_us + import_us >= compute_us {
            return computed;
        }
        Work { compute_us: remaining_us, import_us, import_blocks: blocks + imported }
    }
}
