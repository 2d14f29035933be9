//! The limits of the tree as this router enforces them.
//!
//! The pure [`Admission`] decides; this module holds it behind a lock, tells it
//! the router's share of the fleet, and releases what was admitted.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_routing::CostModel;
use juniper_routing::admission::{
    Admission, AdmissionQuestion, FleetShare, Ticket, queue_capacity,
};
use juniper_types::Timestamp;
use tokio::time::Instant;

use crate::error::RequestError;

/// Wait for a first token up to which the queue is filled: the longest that the
/// built-in settings allow.
const QUEUE_PATIENCE: Duration = Duration::from_secs(10);

const MICROS_PER_SECOND: f64 = 1e6;

/// What this router's part of the fleet is.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Routers that are up, this one included.
    pub routers: u32,
    /// Engines of the settings in force.
    pub engines: usize,
}

/// Limits of tenants and services.
#[derive(Debug)]
pub struct Limits {
    admission: Mutex<Admission>,
    started: Instant,
}

/// One admitted request; it counts against its limits until it is dropped.
#[derive(Debug)]
pub struct Admitted {
    limits: Arc<Limits>,
    ticket: Option<Ticket>,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { admission: Mutex::new(Admission::new()), started: Instant::now() }
    }
}

impl Limits {
    fn lock(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    /// [`RequestError::Limited`] with the limit and when to come back.
    pub fn admit(
        self: &Arc<Self>,
        question: &AdmissionQuestion<'_>,
        fleet: FleetView,
    ) -> Result<Admitted, RequestError> {
        let now = self.now();
        let share = FleetShare::even(fleet.routers);
        let tokens_per_second = MICROS_PER_SECOND / CostModel::default().token_us;
        let capacity = queue_capacity(fleet.engines, tokens_per_second, QUEUE_PATIENCE, share);
        let mut admission = self.lock();
        admission.maintain(now);
        admission.set_queue_capacity(capacity);
        let ticket = admission.admit(question, share, now).map_err(|refusal| {
            let retry_after_ms = refusal.retry_after.as_millis() as u64;
            RequestError::Limited { limit: refusal.limit.as_str(), retry_after_ms }
        })?;
        Ok(Admitted { limits: Arc::clone(self), ticket: Some(ticket) })
    }
}

impl Admitted {
    /// Notes that the answer has begun: the request no longer waits.
    pub fn first_token(&mut self) {
        let now = self.limits.now();
        if let Some(ticket) = &mut self.ticket {
            self.limits.lock().first_token(ticket, now);
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.limits.now();
        if let Some(ticket) = self.ticket.take() {
            self.limits.lock().release(ticket, now);
        }
    }
}
