//! Prometheus metrics of one router.

use juniper_crash_watch::CrashMetrics;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bucket bounds of the time to first token, in seconds. Include the latency target of 0.46 s.
const FIRST_TOKEN_BUCKETS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.46, 0.7, 1.0, 2.5, 10.0];

/// Bucket bounds of the duration of a routing decision, in seconds.
const DECISION_BUCKETS: [f64; 7] = [2e-6, 5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 1e-3];

/// All metrics of one router.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service kind and result code.
    pub requests: IntCounterVec,
    /// Retries by cause.
    pub retries: IntCounterVec,
    /// Answers that ended before they were complete, by kind of traffic and reason.
    pub early_ends: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Settings revision in force.
    pub revision: IntGauge,
    /// Age of the settings in force, in milliseconds.
    pub settings_age_ms: IntGauge,
    /// Time to first token, in seconds.
    pub first_token: Histogram,
    /// Duration of a routing decision, in seconds.
    pub decision: Histogram,
    /// Prompt tokens by cache hit or miss at the engine.
    pub prompt_tokens: IntCounterVec,
    /// Bytes of prefix lookups between routers, sent and received.
    pub lookup_bytes: IntCounterVec,
    /// Crashes of back ends under requests, and quarantines.
    pub crashes: CrashMetrics,
    /// Bytes of control traffic by direction.
    pub control_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Ok::<_, prometheus::Error>(vector)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Metrics {
            requests: counters("juniper_requests_total", "Requests", &["kind", "code"])?,
            retries: counters("juniper_retries_total", "Retries", &["cause"])?,
            early_ends: counters(
                "juniper_answers_ended_early_total",
                "Answers that ended before they were complete",
                &["kind", "reason"],
            )?,
            in_flight: gauge("juniper_in_flight", "Requests in flight")?,
            revision: gauge("juniper_settings_revision", "Settings revision in force")?,
            settings_age_ms: gauge("juniper_settings_age_ms", "Age of the settings in force")?,
            first_token: histogram(
                "juniper_first_token_seconds",
                "Time to first token",
                &FIRST_TOKEN_BUCKETS,
            )?,
            decision: histogram(
                "juniper_decision_seconds",
                "Time of one routing decision",
                &DECISION_BUCKETS,
            )?,
            prompt_tokens: counters("juniper_prompt_tokens_total", "Prompt tokens", &["cache"])?,
            lookup_bytes: counters("juniper_lookup_bytes_total", "Lookup bytes", &["way"])?,
            crashes: CrashMetrics::new("juniper", &registry)?,
            control_bytes: counters("juniper_control_bytes_total", "Control bytes", &["way"])?,
            registry,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_failed reason=\"{error}\"");
        }
        text
    }
}
