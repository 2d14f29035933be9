//! What serving a request on an engine is expected to cost.

/// Constants of the cost function; all times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Time a busy engine takes to compute one prompt token. The default is 16
    /// billion floating-point operations at 60 Tflop/s, as for a model of 8
    /// billion parameters, and the token's part of what an iteration of 240
    /// tokens takes beside, 17 ms.
    pub token_us: f64,
    /// Time to import one block from the store of kept KV cache. The default is
    /// 8 MiB at 3 GB/s.
    pub import_block_us: f64,
    /// Time until a busy engine starts on new work: half an iteration of 64 ms.
    pub busy_start_us: f64,
    /// Costs that differ by less count as equal. About the work that other
    /// routers send to one engine between two load reports.
    pub near_equal_us: f64,
    /// Longest queue that an engine is given by requests that are due soon.
    pub max_queue_us: f64,
    /// Longest queue that an engine is given by requests that are due later, as a
    /// share of the time within which the first token is due. A queue that would
    /// use up the whole of it leaves nothing for an estimate that is wrong, and the
    /// cache is overwritten while requests wait.
    pub max_queue_share: f64,
    /// Part of a request's own computing that counts towards the longest queue:
    /// as queues grow, requests that find their prefix are still taken.
    pub room_factor: f64,
    /// Longest queue of an engine that takes requests whose cheapest engine is too late.
    pub calm_queue_us: f64,
    /// What one microsecond of recomputation costs beside one microsecond of
    /// waiting, at neutral weights: the engine is kept from other work.
    pub waste_factor: f64,
    /// Weight of the delay that computing missed tokens puts on the requests
    /// behind it: without it, an overloaded fleet recomputes ever more.
    pub congestion_factor: f64,
    /// Weight of the expected growth of a busy engine's queue, which spreads hot
    /// prefixes before the queue is there.
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
            calm_queue_us: 100_000.0,
            waste_factor: 1.0,
            congestion_factor: 1.0,
            pressure_factor: 1.0,
        }
    }
}

/// Requests that come while a microsecond of queue drains: one for the work of
/// a request, about 1,000 missed tokens or 0.27 s.
pub(crate) const ARRIVALS_PER_US: f64 = 1.0 / 270_000.0;

impl CostModel {
    /// How much of a queue has to drain until it has room for a request; not
    /// above zero when it has.
    ///
    /// `max_queue_us` is the longest queue that the request may be given.
    pub(crate) fn excess_queue_us(&self, terms: &CostTerms, max_queue_us: f64) -> f64 {
        let over_calm = terms.queue_us - self.calm_queue_us;
        let over_room = terms.queue_us + self.room_factor * terms.compute_us - max_queue_us;
        over_calm.min(over_room)
    }
}

/// The parts of an expected cost, in microseconds and unweighted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostTerms {
    /// Round trip to the engine's zone.
    pub transfer_us: f64,
    /// Work ahead of the request.
    pub queue_us: f64,
    /// Computing the tokens that no cache holds.
    pub compute_us: f64,
    /// Importing blocks from the store of kept KV cache.
    pub import_us: f64,
    /// Delay of the requests that will queue behind the computing.
    pub congestion_us: f64,
    /// Expected growth of the queue that the engine's rate of work stands for.
    pub pressure_us: f64,
}

impl CostTerms {
    /// Expected time to the first token.
    pub fn first_token_us(&self) -> f64 {
        self.transfer_us + self.queue_us + self.compute_us + self.import_us
    }
}

/// How much a service minds waiting and recomputation; 1.0 is neutral.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostWeights {
    /// Weight of the time to first token.
    pub latency: f64,
    /// Weight of recomputed tokens.
    pub waste: f64,
}

/// Whether an engine may be chosen; a greater fit includes the lesser ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Fit(u8);

impl Fit {
    /// It may not.
    pub(crate) const UNFIT: Fit = Fit(0);
    /// It meets the deadline and has room.
    pub(crate) const TIMELY: Fit = Fit(1);
    /// And its queue is short.
    pub(crate) const CALM: Fit = Fit(2);
}

/// One engine's score for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Score {
    /// The one number that is minimised.
    pub(crate) cost: f32,
    pub(crate) fit: Fit,
}

impl Score {
    pub(crate) const UNFIT: Score = Score { cost: f32::INFINITY, fit: Fit::UNFIT };
}

/// Independent minima in [`least`], so that none waits for the one before.
const LANES: usize = 8;

fn lesser(one: f32, other: f32) -> f32 {
    // Costs are never NaN; `f32::min` would take care of it, at twice the time.
    if one < other { one } else { other }
}

/// The least cost of the scores with at least `fit`.
pub(crate) fn least(scores: &[Score], fit: Fit) -> f32 {
    let cost_if = |score: &Score| if score.fit >= fit { score.cost } else { f32::INFINITY };
    let mut lanes = [f32::INFINITY; LANES];
    let mut chunks = scores.chunks_exact(LANES);
    for chunk in &mut chunks {
        for (lane, score) in lanes.iter_mut().zip(chunk) {
            *lane = lesser(*lane, cost_if(score));
        }
    }
    let rest = chunks.remainder().iter().map(cost_if);
    lanes.into_iter().chain(rest).fold(f32::INFINITY, lesser)
}

/// What bounds the queue that a request may be given, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueBounds {
    /// Time within which the first token is due.
    pub(crate) within_us: f64,
    /// Longest queue that an engine is given.
    pub(crate) max_queue_us: f64,
}

impl QueueBounds {
    /// The bounds of a request whose first token is due after `within_us`. One
    /// that has begun is bound by that time only.
    pub(crate) fn new(model: &CostModel, within_us: f64, begun: bool) -> Self {
        let max_queue_us = match begun {
            true => f64::INFINITY,
            false => model.max_queue_us.max(within_us * model.max_queue_share),
        };
        QueueBounds { within_us, max_queue_us }
    }
}

/// The cost of some work as a function of the engine: everything that doesn't
/// depend on the engine is multiplied out, as a decision asks 1,500 times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Price {
    fixed: f32,
    latency: f32,
    by_queue: f32,
    room_queue_us: f32,
    timely_us: f32,
    calm_queue_us: f32,
}

impl Price {
    /// The price of computing and importing for so long, with the first token
    /// due in time.
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
        let room_queue_us = bounds.max_queue_us - model.room_factor * compute_us;
        Price {
            fixed: (weights.latency * own_us + waste) as f32,
            latency: weights.latency as f32,
            by_queue: (weights.latency * (1.0 + congestion)) as f32,
            room_queue_us: room_queue_us.max(model.calm_queue_us) as f32,
            timely_us: (bounds.within_us - own_us) as f32,
            calm_queue_us: model.calm_queue_us as f32,
        }
    }

    pub(crate) fn score(&self, queue_us: f32, transfer_us: f32, pressure_us: f32) -> Score {
        let cost =
            self.fixed + self.latency * (transfer_us + pressure_us) + self.by_queue * queue_us;
        // Without branches: which engines fit is as good as random.
        let has_room = queue_us <= self.room_queue_us;
        let is_timely = has_room & (queue_us + transfer_us <= self.timely_us);
        let is_calm = is_timely & (queue_us <= self.calm_queue_us);
        Score { cost, fit: Fit(u8::from(is_timely) + u8::from(is_calm)) }
    }
}
