//! Counters of ends of servers and of quarantines.

use juniper_quarantine::CrashProof;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The counters of one router.
#[derive(Clone)]
pub struct CrashMetrics {
    /// Servers that ended under requests, by what showed it.
    servers_ended: IntCounterVec,
    /// Requests that were under way on them.
    requests_ended: IntCounter,
    /// Requests that came into quarantine by this router's count.
    pub(crate) quarantined: IntCounter,
    /// Requests in quarantine that the replicas have recorded.
    pub(crate) recorded: IntGauge,
    /// Requests under which servers ended and that aren't forgotten.
    pub(crate) suspects: IntGauge,
}

impl CrashMetrics {
    /// Registers the counters under names that begin with `prefix`.
    ///
    /// # Errors
    /// Fails when one of the names is taken.
    pub fn new(prefix: &str, registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = |name: &str, help: &str| Opts::new(format!("{prefix}_{name}"), help);
        let servers_ended = IntCounterVec::new(
            options(
                "servers_ended_total",
                "Servers that ended under requests of this router, by what showed it.",
            ),
            &["proof"],
        )?;
        let requests_ended = IntCounter::with_opts(options(
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
        registry.register(Box::new(servers_ended.clone()))?;
        registry.register(Box::new(requests_ended.clone()))?;
        registry.register(Box::new(quarantined.clone()))?;
        registry.register(Box::new(recorded.clone()))?;
        registry.register(Box::new(suspects.clone()))?;
        Ok(CrashMetrics { servers_ended, requests_ended, quarantined, recorded, suspects })
    }

    pub(crate) fn server_ended(&self, proof: CrashProof, requests: usize) {
        self.servers_ended.with_label_values(&[proof.as_str()]).inc();
        self.requests_ended.inc_by(requests as u64);
    }
}
