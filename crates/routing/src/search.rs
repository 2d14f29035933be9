//! The search for the engine with the least expected cost.
//!
//! One pass scores the holders of the prompt's start and every engine that
//! serves the key, in a single list of a few bytes each; a second one over the
//! list picks among those near the least cost.

use std::time::Duration;

use juniper_prefix_index::{Holder, rendezvous};
use juniper_types::Timestamp;

use crate::cost::{CostModel, CostTerms, Fit, Price, QueueBounds, Score, least};
use crate::decide::{Decision, PrefixWait, Reason, Refusal, RefusalCode};
use crate::estimate::Estimate;
use crate::groups::Group;
use crate::request::{DispatchId, RouteRequest};
use crate::table::EngineTable;

/// Shortest suggested pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Predicted blocks that are worth a wait.
const MIN_AWAITED_BLOCKS: u32 = 2;

/// Time that a wait may take beyond twice the expected queue.
const WAIT_SLACK: Duration = Duration::from_millis(500);

/// What the first pass found.
pub(crate) struct Survey {
    /// Scores of the holders and then of the group, in their order.
    scores: Vec<Score>,
    /// Leading blocks that any engine holds at most.
    most_blocks: u32,
    /// The least cost of all, in time or not.
    least_cost: f32,
    /// The fit that is asked for.
    wanted: Fit,
    /// The least cost with it.
    least_wanted: f32,
}

impl Survey {
    /// When the cheapest engine is too late or full, one with a queue that would
    /// have to compute more is no way out: it would only spread the overload, and
    /// cost the fleet the cached prefix as well.
    fn new(scores: Vec<Score>, most_blocks: u32) -> Self {
        let least_cost = least(&scores, Fit::UNFIT);
        let timely = least(&scores, Fit::TIMELY);
        let (wanted, least_wanted) = if least_cost < timely {
            (Fit::CALM, least(&scores, Fit::CALM))
        } else {
            (Fit::TIMELY, timely)
        };
        Survey { scores, most_blocks, least_cost, wanted, least_wanted }
    }

    /// Place of the least cost of all, unless there is no candidate.
    fn cheapest(&self) -> Option<usize> {
        let place = self.scores.iter().position(|score| score.cost <= self.least_cost);
        place.filter(|_| self.least_cost.is_finite())
    }
}

/// One engine in full.
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

    /// Scores every candidate. Holders come twice, the second time as if they
    /// held nothing, which never is the better score.
    pub(crate) fn survey(&self) -> Survey {
        let members = self.group.positions();
        let mut scores = Vec::with_capacity(self.holders.len() + members.len());
        let mut most_blocks = 0;
        let mut priced = 0;
        let mut price = self.price(self.work(priced));
        for holder in self.holders {
            let Some(estimate) = self.holder_estimate(holder) else {
                scores.push(Score::UNFIT);
                continue;
            };
            // Many engines hold the same outer prefix and no more.
            if holder.blocks != priced {
                priced = holder.blocks;
                price = self.price(self.work(priced));
            }
            most_blocks = most_blocks.max(holder.blocks);
            scores.push(estimate.score(&price, self.now));
        }
        let price = self.price(self.work(0));
        let estimates = &self.table.estimates;
        scores
            .extend(members.iter().map(|place| estimates[*place as usize].score(&price, self.now)));
        self.exclude(&mut scores);
        Survey::new(scores, most_blocks)
    }

    fn exclude(&self, scores: &mut [Score]) {
        if self.request.excluded.is_empty() {
            return;
        }
        for (place, score) in scores.iter_mut().enumerate() {
            let engine = self.estimate(place).map(|estimate| estimate.engine);
            if engine.is_some_and(|engine| self.request.excluded.contains(&engine)) {
                *score = Score::UNFIT;
            }
        }
    }

    /// The estimate of a holder that may take new work of the key. What another
    /// life of the engine held doesn't count.
    fn holder_estimate(&self, holder: &Holder) -> Option<&'a Estimate> {
        let position = self.table.position(holder.engine)?;
        let counts = self.table.lives[position as usize] == Some(holder.incarnation);
        let usable = counts && self.group.contains(position);
        usable.then(|| &self.table.estimates[position as usize])
    }

    /// What is left to do where `blocks` blocks are cached.
    fn work(&self, blocks: u32) -> Work {
        Work::least(&self.table.model, self.request, blocks)
    }

    fn terms(&self, estimate: &Estimate, work: Work) -> CostTerms {
        estimate.terms(&self.table.model, work.compute_us, work.import_us, self.now)
    }

    fn price(&self, work: Work) -> Price {
        let Work { compute_us, import_us, .. } = work;
        let weights = self.request.weights;
        Price::new(&self.table.model, weights, compute_us, import_us, self.bounds)
    }

    /// The decision, or the refusal; `None` when there is no candidate at all.
    pub(crate) fn conclude(
        &self,
        survey: &Survey,
        random: u64,
    ) -> Option<Result<Decision, Refusal>> {
        let Some(chosen) = self.pick(survey, random) else {
            let cheapest = self.candidate(survey.cheapest()?)?;
            return Some(Err(self.refusal(&cheapest.terms)));
        };
        self.candidate(chosen).map(|chosen| Ok(self.decision(survey, &chosen)))
    }

    /// Place of the best-ranked candidate among those near the least cost.
    fn pick(&self, survey: &Survey, random: u64) -> Option<usize> {
        let bound = survey.least_wanted + self.table.model.near_equal_us as f32;
        let near = |score: &Score| score.cost <= bound && score.fit >= survey.wanted;
        let key = self.spread_key(survey, near, random);
        let mut first: Option<(u64, usize)> = None;
        for (place, score) in survey.scores.iter().enumerate() {
            if !near(score) {
                continue;
            }
            let rank = rendezvous::score(key, u64::from(self.estimate(place)?.engine.0));
            // Of a holder's two places the first counts what it holds.
            if first.is_none_or(|(known, _)| rank > known) {
                first = Some((rank, place));
            }
        }
        first.map(|(_, place)| place)
    }

    /// Names the first block that none of those near the least cost holds, or
    /// nothing in particular.
    fn spread_key(&self, survey: &Survey, near: impl Fn(&Score) -> bool, random: u64) -> u64 {
        let scored = self.holders.iter().zip(&survey.scores);
        let held = scored.filter(|(_, score)| near(score)).map(|(holder, _)| holder.blocks);
        match self.request.blocks.get(held.max().unwrap_or(0) as usize) {
            Some(block) => u64::from_le_bytes(std::array::from_fn(|index| block.0[index])),
            None => random,
        }
    }

    fn estimate(&self, place: usize) -> Option<&'a Estimate> {
        if let Some(holder) = self.holders.get(place) {
            return self.holder_estimate(holder);
        }
        let position = self.group.positions().get(place - self.holders.len())?;
        self.table.estimates.get(*position as usize)
    }

    fn candidate(&self, place: usize) -> Option<Candidate<'a>> {
        let estimate = self.estimate(place)?;
        let holder = self.holders.get(place);
        let work = self.work(holder.map_or(0, |holder| holder.blocks));
        Some(Candidate { estimate, holder, work, terms: self.terms(estimate, work) })
    }

    fn decision(&self, survey: &Survey, chosen: &Candidate<'_>) -> Decision {
        let incarnation = self.table.life(chosen.estimate.engine);
        let reason = match (incarnation, chosen.blocks()) {
            (None, _) => Reason::Unreported,
            (_, 0) if survey.most_blocks == 0 => Reason::NobodyHolds,
            (_, 0) => Reason::LeastLoaded,
            (_, blocks) if blocks == survey.most_blocks => Reason::BestHolder,
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

    /// The wait for the attempt that computes the chosen engine's predicted blocks.
    fn wait(&self, chosen: &Candidate<'_>) -> Option<PrefixWait> {
        let holder = chosen.holder?;
        let dispatch = DispatchId(holder.computed_by?.0);
        let worthwhile = holder.predicted >= MIN_AWAITED_BLOCKS;
        if !worthwhile || !self.table.is_prefilling(holder.engine, dispatch) {
            return None;
        }
        let queue = Duration::from_micros(chosen.terms.queue_us as u64);
        let at_most = (queue * 2 + WAIT_SLACK).min(self.request.first_token_within / 2);
        Some(PrefixWait { dispatch, at_most })
    }

    /// The queue has to drain until it has room and the first token isn't late.
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
        let computed = Work { compute_us, import_us: 0.0, import_blocks: 0 };
        let imported = request.importable_blocks.saturating_sub(blocks);
        if imported == 0 {
            return computed;
        }
        let rest_us = f64::from(request.missed_tokens(blocks + imported)) * model.token_us;
        let import_us = f64::from(imported) * model.import_block_us;
        if rest_us + import_us >= compute_us {
            return computed;
        }
        Work { compute_us: rest_us, import_us, import_blocks: blocks + imported }
    }
}
