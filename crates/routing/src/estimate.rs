//! What a decision reads of each engine, kept small so that 1,500 of them are
//! scanned within microseconds.

use juniper_types::{EngineId, Timestamp};

use crate::cost::{ARRIVALS_PER_US, CostModel, CostTerms, Price, Score};

/// Time over which the rate of work of an engine is averaged, in microseconds.
const RATE_WINDOW_US: f64 = 1_000_000.0;

/// Utilisation above which the expected queue is no longer extrapolated.
const MAX_UTILISATION: f64 = 0.95;

/// The expected queue of one engine: 24 bytes, as a scan of many waits for memory
/// rather than for arithmetic. Single precision tells microseconds apart up to
/// 16 s.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// When the own work there will be computed.
    own_until: Timestamp,
    /// What is before a request beside the own work, in microseconds.
    fixed_queue_us: f32,
    transfer_us: f32,
    pressure_us: f32,
    pub(crate) engine: EngineId,
}

impl Estimate {
    pub(crate) fn new(engine: EngineId, transfer_us: f64) -> Self {
        Estimate {
            own_until: Timestamp::ZERO,
            fixed_queue_us: 0.0,
            transfer_us: transfer_us as f32,
            pressure_us: 0.0,
            engine,
        }
    }

    /// The estimate of an engine about which nothing is known.
    pub(crate) fn reset(&mut self) {
        *self = Estimate::new(self.engine, f64::from(self.transfer_us));
    }

    pub(crate) fn set_transfer(&mut self, transfer_us: f64) {
        self.transfer_us = transfer_us as f32;
    }

    /// Work of other routers, and half an iteration if anything runs.
    pub(crate) fn set_queue(&mut self, others_us: f64, busy: bool, model: &CostModel) {
        let start_us = if busy { model.busy_start_us } else { 0.0 };
        self.fixed_queue_us = (others_us + start_us) as f32;
    }

    /// Expected growth of the queue at this rate of work (as in a queue with
    /// one server), which grows before the queue does.
    pub(crate) fn set_rate(&mut self, rate: &WorkRate, model: &CostModel, now: Timestamp) {
        let utilisation = rate.at(now).min(MAX_UTILISATION);
        let growth = utilisation / (1.0 - utilisation);
        self.pressure_us = (model.pressure_factor * model.busy_start_us * growth) as f32;
    }

    /// Adds own work to the end of the queue.
    pub(crate) fn add_work(&mut self, work_us: f64, now: Timestamp) {
        self.own_until = Timestamp(self.own_until.max(now).0 + work_us as u64);
    }

    /// Own work of `left_us` is all that is left from `now` on.
    pub(crate) fn restart_work(&mut self, left_us: f64, now: Timestamp) {
        self.own_until = Timestamp(now.0 + left_us as u64);
    }

    pub(crate) fn queue_us(&self, now: Timestamp) -> f32 {
        // Signed numbers turn into floating point in one instruction.
        let own = (self.own_until.0 as i64 - now.0 as i64).max(0);
        own as f32 + self.fixed_queue_us
    }

    /// The score of work with this price here.
    pub(crate) fn score(&self, price: &Price, now: Timestamp) -> Score {
        price.score(self.queue_us(now), self.transfer_us, self.pressure_us)
    }

    /// The parts of the cost of a request that needs `compute_us` and `import_us` here.
    pub(crate) fn terms(
        &self,
        model: &CostModel,
        compute_us: f64,
        import_us: f64,
        now: Timestamp,
    ) -> CostTerms {
        let queue_us = f64::from(self.queue_us(now));
        CostTerms {
            transfer_us: f64::from(self.transfer_us),
            queue_us,
            compute_us,
            import_us,
            congestion_us: model.congestion_factor * compute_us * queue_us * ARRIVALS_PER_US,
            pressure_us: f64::from(self.pressure_us),
        }
    }
}

/// Own work sent to one engine lately, in microseconds for each microsecond.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkRate {
    rate: f64,
    as_of: Timestamp,
}

impl WorkRate {
    pub(crate) fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.0.saturating_sub(self.as_of.0) as f64;
        self.rate / (1.0 + elapsed / RATE_WINDOW_US)
    }

    pub(crate) fn add(&mut self, work_us: f64, now: Timestamp) {
        *self = WorkRate { rate: self.at(now) + work_us / RATE_WINDOW_US, as_of: now };
    }
}
