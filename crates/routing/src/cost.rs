//! Cost model: the expected cost of serving a request on an engine.

/// Parameters of the cost function. All times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Time a busy engine takes to compute one prompt token. The default
    /// corresponds to a model of 8 billion parameters (16 billion floating-point
    /// operations per token) at 60 Tflop/s, plus the token's part of the 17 ms
    /// overhead per iteration of 240 tokens.
    pub token_us: f64,
    /// Time to import one block from the external KV cache store. The default
    /// corresponds to 8 MiB at 3 GB/s.
    pub import_block_us: f64,
    /// Time until a busy engine starts new work. The default is half an iteration
    /// of 64 ms.
    pub busy_start_us: f64,
    /// Tolerance within which costs count as equal: about the work that other
    /// routers dispatch to one engine between two load reports.
    pub near_equal_us: f64,
    /// Maximum queue of an engine for requests with a short deadline.
    pub max_queue_us: f64,
    /// Maximum queue of an engine for requests with a long deadline, as a share of
    /// the time within which the first token is due. The remainder is a margin for
    /// estimation errors and for cached blocks evicted while requests are queued.
    pub max_queue_share: f64,
    /// Factor of a request's own prefill time in the comparison with the maximum
    /// queue. As queues grow, requests with cache hits are accepted longest.
    pub room_factor: f64,
    /// Maximum queue of an engine that may take a request whose cheapest engine is
    /// too late or full.
    pub short_queue_us: f64,
    /// Cost of one microsecond of prefill relative to one microsecond of latency,
    /// at neutral weights: prefill keeps the engine from other work.
    pub waste_factor: f64,
    /// Weight of the delay that the prefill adds to later requests. Without it,
    /// recomputation grows in an overloaded fleet.
    pub congestion_factor: f64,
    /// Weight of the expected growth of a busy engine's queue. It spreads hot
    /// prefixes before a queue builds up.
    pub pressure_factor: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        CostModel {
            token_us: 340.0,
            import_block_us: 2_800.0,
            busy_start_us: 32_000.0,
            near_equal_us: 10_000.0,
            max_queue_us: 2_500_000.0,
            max_queue_share: 0.75,
            room_factor: 2.0,
            short_queue_us: 100_000.0,
            waste_factor: 1.0,
            congestion_factor: 1.0,
            pressure_factor: 1.0,
        }
    }
}

/// Requests that arrive per microsecond of queued work: one per 0.27 s, the
/// prefill time of a request with cache misses of about 1,000 tokens.
pub(crate) const ARRIVALS_PER_US: f64 = 1.0 / 270_000.0;

impl CostModel {
    /// Part of a queue, in microseconds, that has to drain before a request with
    /// a maximum queue of `max_queue_us` fits; zero or negative if it fits now.
    pub(crate) fn excess_queue_us(&self, terms: &CostTerms, max_queue_us: f64) -> f64 {
        let over_short_queue = terms.queue_us - self.short_queue_us;
        let over_room = terms.queue_us + self.room_factor * terms.compute_us - max_queue_us;
        over_short_queue.min(over_room)
    }
}

/// Components of an expected cost, unweighted, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostTerms {
    /// Round trip to the engine's zone.
    pub transfer_us: f64,
    /// Queued work ahead of the request.
    pub queue_us: f64,
    /// Prefill of the tokens that miss the cache.
    pub compute_us: f64,
    /// Import of blocks from the external KV cache store.
    pub import_us: f64,
    /// Delay of later requests by this prefill.
    pub congestion_us: f64,
    /// Expected growth of the queue at the engine's current rate of work.
    pub pressure_us: f64,
}

impl CostTerms {
    /// Expected time to first token.
    pub fn first_token_us(&self) -> f64 {
        self.transfer_us + self.queue_us + self.compute_us + self.import_us
    }
}

/// Weights of a service for latency and recomputation; 1.0 is neutral.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// Weight of the time to first token.
    pub latency: f64,
    /// Weight of the prefill of tokens that miss the cache.
    pub waste: f64,
}

/// Eligibility of an engine. Each level includes the lower ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fit(u8);

impl Fit {
    /// The engine may not be chosen.
    pub(crate) const UNFIT: Fit = Fit(0);
    /// The engine meets the deadline and its queue has room.
    pub(crate) const TIMELY: Fit = Fit(1);
    /// The engine meets the deadline and its queue is short.
    pub(crate) const SHORT_QUEUE: Fit = Fit(2);
}

/// Score of one engine for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Score {
    /// Total weighted cost, which the search minimises.
    pub(crate) cost: f32,
    pub(crate) fit: Fit,
}

impl Score {
    pub(crate) const UNFIT: Score = Score { cost: f32::INFINITY, fit: Fit::UNFIT };
}

/// Number of independent minima in [`lowest_cost`], which allows vectorisation.
const LANES: usize = 8;

fn lower(one: f32, other: f32) -> f32 {
    // Costs are never NaN. `f32::min` handles NaN and takes twice as long.
    if one < other { one } else { other }
}

/// Lowest cost among the scores with at least `fit`.
pub(crate) fn lowest_cost(scores: &[Score], fit: Fit) -> f32 {
    let cost_if = |score: &Score| if score.fit >= fit { score.cost } else { f32::INFINITY };
    let mut lanes = [f32::INFINITY; LANES];
    let mut chunks = scores.chunks_exact(LANES);
    for chunk in &mut chunks {
        for (lane, score) in lanes.iter_mut().zip(chunk) {
            *lane = lower(*lane, cost_if(score));
        }
    }
    let rest = chunks.remainder().iter().map(cost_if);
    lanes.into_iter().chain(rest).fold(f32::INFINITY, lower)
}

/// Limits on the queue that a request may join, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueBounds {
    /// Time within which the first token is due.
    pub(crate) within_us: f64,
    /// Maximum queue of the chosen engine.
    pub(crate) max_queue_us: f64,
}

impl QueueBounds {
    /// Bounds of a request whose first token is due within `within_us`. A request
    /// that has begun is bound by this time alone.
    pub(crate) fn new(model: &CostModel, within_us: f64, begun: bool) -> Self {
        let max_queue_us = match begun {
            true => f64::INFINITY,
            false => model.max_queue_us.max(within_us * model.max_queue_share),
        };
        QueueBounds { within_us, max_queue_us }
    }
}

/// Cost of some work as a function of the engine. All terms independent of the
/// engine are computed once, because a decision scores every engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostFunction {
    fixed_cost: f32,
    latency_weight: f32,
    queue_weight: f32,
    queue_limit_us: f32,
    max_start_us: f32,
    short_queue_us: f32,
}

impl CostFunction {
    /// Creates the cost function of `compute_us` of prefill and `import_us` of
    /// import within `bounds`.
    pub(crate) fn new(
        model: &CostModel,
        weights: CostWeights,
        compute_us: f64,
        import_us: f64,
        bounds: QueueBounds,
    ) -> Self {
        let own_us = compute_us + import_us;
        let waste = weights.waste * model.waste_factor * compute_us;
        let congestion = model.congestion_factor * compute_us * ARRIVALS_PER_US;
        let queue_limit_us = bounds.max_queue_us - model.room_factor * compute_us;
        CostFunction {
            fixed_cost: (weights.latency * own_us + waste) as f32,
            latency_weight: weights.latency as f32,
            queue_weight: (weights.latency * (1.0 + congestion)) as f32,
            queue_limit_us: queue_limit_us.max(model.short_queue_us) as f32,
            max_start_us: (bounds.within_us - own_us) as f32,
            short_queue_us: model.short_queue_us as f32,
        }
    }

    pub(crate) fn score(&self, queue_us: f32, transfer_us: f32, pressure_us: f32) -> Score {
        let cost = self.fixed_cost
            + self.latency_weight * (transfer_us + pressure_us)
            + self.queue_weight * queue_us;
        // Branchless, because the results are hard to predict for the processor.
        let has_room = queue_us <= self.queue_limit_us;
        let is_timely = has_room & (queue_us + transfer_us <= self.max_start_us);
        let has_short_queue = is_timely & (queue_us <= self.short_queue_us);
        Score { cost, fit: Fit(u8::from(is_timely) + u8::from(has_short_queue)) }
    }
}
