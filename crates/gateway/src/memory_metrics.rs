//! Metrics of the memory that callers make this process hold.

use juniper_memory_budget::{BudgetLimits, Usage};
use prometheus::{IntGaugeVec, Opts, Registry};

/// Gauges of the account.
pub(crate) struct MemoryMetrics {
    /// Bytes by kind, and the limit.
    bytes: IntGaugeVec,
}

impl MemoryMetrics {
    /// Registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "juniper_gateway_caller_memory_bytes",
            "Bytes held for callers, by kind, and the limit.",
        );
        let bytes = IntGaugeVec::new(options, &["kind"])?;
        registry.register(Box::new(bytes.clone()))?;
        Ok(MemoryMetrics { bytes })
    }

    /// Sets the gauges.
    pub(crate) fn set(&self, usage: Usage, limits: BudgetLimits) {
        let figures = [
            ("connections", usage.connection_bytes),
            ("bodies", usage.body_bytes),
            ("large_bodies", usage.large_bytes),
            ("answers", usage.answer_bytes),
            ("limit", limits.total),
        ];
        for (kind, bytes) in figures {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            self.bytes.with_label_values(&[kind]).set(bytes);
        }
    }
}
