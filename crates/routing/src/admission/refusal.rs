//! Refusals of admission.

use std::time::Duration;

/// Limit that a refused request would have exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Request rate of the service.
    Rate,
    /// Number of the service's requests in flight.
    Concurrency,
    /// Share of the queue that the service may use.
    QueueShare,
    /// Fair share of the tenant in a contended queue.
    FairShare,
    /// Share of the queue available to the request's priority.
    Priority,
}

impl LimitKind {
    /// Name of the limit in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitKind::Rate => "rate",
            LimitKind::Concurrency => "concurrency",
            LimitKind::QueueShare => "queue_share",
            LimitKind::FairShare => "fair_share",
            LimitKind::Priority => "priority",
        }
    }
}

impl std::fmt::Display for LimitKind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Refusal of a request at admission. The request was not dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the limit {limit} is reached; retry after {} ms", .retry_after.as_millis())]
pub struct AdmissionRefusal {
    /// Limit that was reached.
    pub limit: LimitKind,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}
