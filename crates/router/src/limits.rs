//! Admission control by the limits of tenants and services.
//!
//! Guards the I/O-free [`Admission`] by a mutex, supplies this router's share of the
//! fleet-wide limits, and releases admitted requests when they end.

use std::sync::{Arc, Mutex, MutexGuard};

use juniper_routing::admission::{Admission, AdmissionRequest, FleetShare, Ticket};
use juniper_types::Timestamp;
use tokio::time::Instant;

use crate::error::RequestError;

/// Admission state of all tenants and services.
#[derive(Debug)]
pub struct Limits {
    admission: Mutex<Admission>,
    started: Instant,
}

/// An admitted request, which counts against its limits until dropped.
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

    /// Admits or refuses a request without waiting. `routers` is the number of routers that are up,
    /// including this one.
    ///
    /// # Errors
    /// [`RequestError::Limited`] with the exceeded limit and the retry delay.
    pub fn admit(
        self: &Arc<Self>,
        question: &AdmissionRequest<'_>,
        routers: u32,
    ) -> Result<Admitted, RequestError> {
        let now = self.now();
        let share = FleetShare::even(routers);
        let mut admission = self.lock();
        admission.maintain(now);
        let ticket = admission.admit(question, share, now).map_err(|refusal| {
            let retry_after_ms = refusal.retry_after.as_millis() as u64;
            RequestError::Limited { limit: refusal.limit.as_str(), retry_after_ms }
        })?;
        Ok(Admitted { limits: Arc::clone(self), ticket: Some(ticket) })
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
