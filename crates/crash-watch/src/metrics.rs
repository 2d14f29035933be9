//! Metrics of server crashes and quarantines.

use juniper_quarantine::CrashProof;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of one router.
#[derive(Clone)]
pub struct CrashMetrics {
    /// Servers that crashed under requests of this router, by proof of the crash.
    server_crashes: IntCounterVec,
    /// Requests in flight on servers that crashed.
    interrupted_requests: IntCounter,
    /// Requests that this router quarantined by its own count.
    pub(crate) quarantined: IntCounter,
    /// Quarantined requests that the replicas have recorded.
    pub(crate) recorded: IntGauge,
    /// Requests under which servers crashed recently.
    pub(crate) suspects: IntGauge,
    /// Parts of prompts under which servers crashed recently.
    pub(crate) suspected_parts: IntGauge,
}

impl CrashMetrics {
    /// Registers the metrics under names that begin with `prefix`.
    ///
    /// # Errors
    /// Fails when one of the names is already registered.
    pub fn new(prefix: &str, registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = |name: &str, help: &str| Opts::new(format!("{prefix}_{name}"), help);
        let server_crashes = IntCounterVec::new(
            options(
                "servers_ended_total",
                "Servers that ended under requests of this router, by what showed it.",
            ),
            &["proof"],
        )?;
        let interrupted_requests = IntCounter::with_opts(options(
            "requests_ended_with_server_total",
            "Requests that were under way on a server when it ended.",
        ))?;
        let quarantined = IntCounter::with_opts(options(
            "requests_quarantined_total",
            "Requests that came into quarantine by this router's count.",
        ))?;
        let recorded = IntGauge::with_opts(options(
            "quarantine_recorded",
            "Requests in quarantine that the replicas have recorded.",
        ))?;
        let suspects = IntGauge::with_opts(options(
            "suspects",
            "Requests under which servers ended of late.",
        ))?;
        let suspected_parts = IntGauge::with_opts(options(
            "suspected_parts",
            "Parts of prompts under which servers ended of late.",
        ))?;
        registry.register(Box::new(suspected_parts.clone()))?;
        registry.register(Box::new(server_crashes.clone()))?;
        registry.register(Box::new(interrupted_requests.clone()))?;
        registry.register(Box::new(quarantined.clone()))?;
        registry.register(Box::new(recorded.clone()))?;
        registry.register(Box::new(suspects.clone()))?;
        Ok(CrashMetrics {
            server_crashes,
            interrupted_requests,
            quarantined,
            recorded,
            suspects,
            suspected_parts,
        })
    }

    pub(crate) fn record_crash(&self, proof: CrashProof, requests: usize) {
        self.server_crashes.with_label_values(&[proof.as_str()]).inc();
        self.interrupted_requests.inc_by(requests as u64);
    }
}
