//! Compact per-engine estimates that a decision scans for every engine.

use std::time::Duration;

use juniper_types::{EngineId, Timestamp};

use crate::cost::{ARRIVALS_PER_US, CostFunction, CostModel, CostTerms, Score};

/// Averaging window of an engine's rate of work, in microseconds.
const RATE_WINDOW_US: f64 = 1_000_000.0;

/// Upper bound of the utilisation in the estimate of queue growth.
const MAX_UTILISATION: f64 = 0.95;

/// Expected queue of one engine. Compact (24 bytes), because scans of many
/// engines are bound by memory access. Single precision resolves microseconds up
/// to 16 s.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    /// Expected completion of this router's work on the engine.
    own_work_until: Timestamp,
    /// Queue ahead of a request apart from this router's work, in microseconds.
    other_queue_us: f32,
    transfer_us: f32,
    pressure_us: f32,
    pub(crate) engine: EngineId,
}

impl Estimate {
    pub(crate) fn new(engine: EngineId, transfer_us: f64) -> Self {
        Estimate {
            own_work_until: Timestamp::ZERO,
            other_queue_us: 0.0,
            transfer_us: transfer_us as f32,
            pressure_us: 0.0,
            engine,
        }
    }

    /// Resets the estimate to that of an engine without reports or work.
    pub(crate) fn reset(&mut self) {
        *self = Estimate::new(self.engine, f64::from(self.transfer_us));
    }

    pub(crate) fn set_transfer(&mut self, transfer_us: f64) {
        self.transfer_us = transfer_us as f32;
    }

    /// Sets the queue apart from this router's work: work of other routers, plus
    /// the start time of a busy engine.
    pub(crate) fn set_queue(&mut self, other_routers_us: f64, busy: bool, model: &CostModel) {
        let start_us = if busy { model.busy_start_us } else { 0.0 };
        self.other_queue_us = (other_routers_us + start_us) as f32;
    }

    /// Sets the expected growth of the queue from the rate of work, as in a
    /// single-server queue. It rises before the queue does.
    pub(crate) fn set_rate(&mut self, rate: &WorkRate, model: &CostModel, now: Timestamp) {
        let utilisation = rate.at(now).min(MAX_UTILISATION);
        let growth = utilisation / (1.0 - utilisation);
        self.pressure_us = (model.pressure_factor * model.busy_start_us * growth) as f32;
    }

    /// Appends work of this router to the queue.
    pub(crate) fn add_work(&mut self, work_us: f64, now: Timestamp) {
        self.own_work_until =
            self.own_work_until.max(now).after(Duration::from_micros(work_us as u64));
    }

    /// Replaces this router's pending work by `remaining_us` from `now` on.
    pub(crate) fn reset_work(&mut self, remaining_us: f64, now: Timestamp) {
        self.own_work_until = now.after(Duration::from_micros(remaining_us as u64));
    }

    pub(crate) fn queue_us(&self, now: Timestamp) -> f32 {
        // Signed integers convert to floating point in one instruction.
        let own = (self.own_work_until.0 - now.0).max(0);
        own as f32 + self.other_queue_us
    }

    /// Score of this engine under a cost function.
    pub(crate) fn score(&self, cost_function: &CostFunction, now: Timestamp) -> Score {
        cost_function.score(self.queue_us(now), self.transfer_us, self.pressure_us)
    }

    /// Cost components of a request that needs `compute_us` and `import_us` here.
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

/// Rate of work that this router dispatches to one engine, in microseconds of
/// work per microsecond.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkRate {
    rate: f64,
    updated_at: Timestamp,
}

impl WorkRate {
    pub(crate) fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.0.saturating_sub(self.updated_at.0) as f64;
        self.rate / (1.0 + elapsed / RATE_WINDOW_US)
    }

    pub(crate) fn add(&mut self, work_us: f64, now: Timestamp) {
        *self = WorkRate { rate: self.at(now) + work_us / RATE_WINDOW_US, updated_at: now };
    }
}
