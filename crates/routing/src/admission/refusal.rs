//! Why a request was not admitted.

use std::time::Duration;

/// The limit that a request would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests per second of the service.
    Rate,
    /// Requests in flight of the service.
    Concurrency,
    /// Share of the waiting work that the service may have.
    QueueShare,
    /// The queue is full and the tenant has its fair share of it.
    FairShare,
    /// The queue is too full for the request's priority.
    Priority,
}

impl LimitKind {
    /// The name in answers, logs and metrics.
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

/// A request was not admitted; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the limit {limit} is reached; retry after {} ms", .retry_after.as_millis())]
pub struct AdmissionRefusal {
    /// The limit.
    pub limit: LimitKind,
    /// When the request has a chance.
    pub retry_after: Duration,
}
