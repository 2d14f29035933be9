//! Counters and latencies of a gateway, in Prometheus text form.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use juniper_catalog::RouteKind;
use juniper_crash_watch::CrashMetrics;
use juniper_limits::Verdict;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::answer::OwnAnswer;
use crate::attempt::AttemptError;
use crate::limits::DecidedBy;
use crate::lock::lock;

/// Upper bounds of times, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 10.0];

/// Tenants with counters of their own; the others are counted together. A few of thousands
/// reach their limits at a time.
const MAX_COUNTED_TENANTS: usize = 32;

/// What tenants without a counter of their own are shown as.
const OTHER_TENANTS: &str = "(others)";

/// The counters.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by kind of route, outcome and reason.
    requests: IntCounterVec,
    /// Sendings that came to nothing, by reason.
    attempts_failed: IntCounterVec,
    /// Requests beyond their tenant's limit, by tenant and by who decided.
    over_limit: IntCounterVec,
    /// Tenants that have a counter of their own.
    limited_tenants: Mutex<BTreeSet<String>>,
    /// Repeats that the budget didn't allow.
    pub budget_spent: IntCounter,
    /// Sightings that the other routers weren't told of.
    pub sightings_left_out: IntCounter,
    /// Batches of what other routers told that this one was too slow to take in.
    pub news_missed: IntCounter,
    /// Servers that counted as unreachable because other routers said so.
    pub servers_reported: IntCounter,
    /// Answers in which servers stated what they take from all routers, by whether it could be read.
    pub stated_limits: IntCounterVec,
    /// Answers that asked for a pause or told of a departure, by what and by whether it could be read.
    notices: IntCounterVec,
    /// Requests that were to go to servers with such a limit, by outcome and by who decided.
    server_charges: IntCounterVec,
    /// Servers that state such a limit.
    pub limited_servers: IntGauge,
    /// Servers that asked this router for a pause that isn't over.
    pub resting_servers: IntGauge,
    /// Servers that ended under requests, and quarantines.
    pub crashes: CrashMetrics,
    /// New connections to servers.
    pub connections: IntCounter,
    /// Connections of callers.
    pub callers: IntGauge,
    /// Time to the answer, or to the first event of a stream, by kind of route.
    answer_seconds: HistogramVec,
    /// Longest pause between two events of a stream.
    pub pause_seconds: Histogram,
    /// Prompt tokens that a server should have kept.
    pub kept_tokens: IntCounter,
    /// Prompt tokens that a server had to read.
    pub missed_tokens: IntCounter,
    /// Version of the configuration in force.
    pub catalog_version: IntGauge,
    /// Milliseconds since the configuration was confirmed; -1 for never.
    pub catalog_age_ms: IntGauge,
}

fn kind_text(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::AtMostOnce => "at_most_once",
        RouteKind::Stream => "stream",
    }
}

impl Metrics {
    /// Registers every counter.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let name = |name: &str| format!("juniper_gateway_{name}");
        let counter = |short: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name(short), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |short: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name(short), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counters = |short: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name(short), help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let times = |short: &str, help: &str| {
            HistogramOpts::new(name(short), help).buckets(TIME_BUCKETS.to_vec())
        };
        let answer_seconds = HistogramVec::new(
            times("answer_seconds", "Time to the answer or to the first event."),
            &["kind"],
        )?;
        registry.register(Box::new(answer_seconds.clone()))?;
        let pause_seconds =
            Histogram::with_opts(times("pause_seconds", "Longest pause in a stream."))?;
        registry.register(Box::new(pause_seconds.clone()))?;
        Ok(Metrics {
            requests: counters(
                "requests_total",
                "Requests by kind of route, outcome and reason.",
                &["kind", "outcome", "reason"],
            )?,
            attempts_failed: counters(
                "attempts_failed_total",
                "Sendings that came to nothing, by reason.",
                &["reason"],
            )?,
            over_limit: counters(
                "over_limit_total",
                "Requests beyond their tenant's limit, by tenant and by who decided.",
                &["tenant", "decided_by"],
            )?,
            limited_tenants: Mutex::default(),
            limited_servers: gauge("limited_servers", "Servers that state what they take.")?,
            resting_servers: gauge("resting_servers", "Servers that asked for a pause.")?,
            server_charges: counters(
                "server_charges_total",
                "Requests for servers that state what they take, by outcome and who decided.",
                &["outcome", "decided_by"],
            )?,
            stated_limits: counters(
                "stated_limits_total",
                "Answers in which servers stated what they take from all routers.",
                &["readable"],
            )?,
            notices: counters(
                "server_notices_total",
                "Answers in which servers asked for a pause or said that they leave.",
                &["notice", "readable"],
            )?,
            crashes: CrashMetrics::new("juniper_gateway", &registry)?,
            sightings_left_out: counter(
                "sightings_left_out_total",
                "Prompts that the other routers weren't told of.",
            )?,
            news_missed: counter(
                "router_news_missed_total",
                "Batches of what other routers told that came too fast.",
            )?,
            servers_reported: counter(
                "servers_reported_unreachable_total",
                "Servers left alone because other routers can't reach them.",
            )?,
            budget_spent: counter("budget_spent_total", "Repeats that the budget didn't allow.")?,
            connections: counter("server_connections_total", "New connections to servers.")?,
            callers: gauge("caller_connections", "Connections of callers.")?,
            answer_seconds,
            pause_seconds,
            kept_tokens: counter("kept_tokens_total", "Prompt tokens that should be kept.")?,
            missed_tokens: counter("missed_tokens_total", "Prompt tokens that had to be read.")?,
            catalog_version: gauge("catalog_version", "Version of the configuration.")?,
            catalog_age_ms: gauge("catalog_age_ms", "Age of the configuration; -1 for never.")?,
            registry,
        })
    }

    /// The gateway itself answered.
    pub(crate) fn own_answer(&self, kind: Option<RouteKind>, own: OwnAnswer) {
        let kind = kind.map_or("none", kind_text);
        self.requests.with_label_values(&[kind, "own_answer", own.reason()]).inc();
    }

    /// A request lay beyond its tenant's limit.
    pub(crate) fn over_limit(&self, tenant: &str, by: DecidedBy) {
        let mut known = lock(&self.limited_tenants);
        if known.len() < MAX_COUNTED_TENANTS && !known.contains(tenant) {
            known.insert(tenant.to_owned());
        }
        let shown = if known.contains(tenant) { tenant } else { OTHER_TENANTS };
        self.over_limit.with_label_values(&[shown, by.as_str()]).inc();
    }

    /// It was decided whether a request may go to a server that states what it takes.
    pub(crate) fn server_charged(&self, verdict: &Verdict, by: DecidedBy) {
        let outcome = if verdict.is_admitted() { "admitted" } else { "refused" };
        self.server_charges.with_label_values(&[outcome, by.as_str()]).inc();
    }

    /// An answer asked for something, which could be read or not.
    pub(crate) fn noticed(&self, notice: &str, is_readable: bool) {
        let readable = if is_readable { "yes" } else { "no" };
        self.notices.with_label_values(&[notice, readable]).inc();
    }

    /// The caller left before any server had answered.
    pub(crate) fn left_unanswered(&self, kind: RouteKind) {
        self.requests.with_label_values(&[kind_text(kind), "caller_left", "no_answer"]).inc();
    }

    /// A server's answer was passed on whole.
    pub(crate) fn answered(&self, kind: RouteKind, status: StatusCode, took: Duration) {
        let kind = kind_text(kind);
        let reason = if status.is_success() { "success" } else { "server_status" };
        self.requests.with_label_values(&[kind, "answered", reason]).inc();
        self.answer_seconds.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// A stream has ended.
    pub(crate) fn streamed(&self, outcome: &str, first: Option<Duration>) {
        let kind = kind_text(RouteKind::Stream);
        self.requests.with_label_values(&[kind, outcome, "stream"]).inc();
        if let Some(first) = first {
            self.answer_seconds.with_label_values(&[kind]).observe(first.as_secs_f64());
        }
    }

    /// A sending came to nothing.
    pub(crate) fn attempt_failed(&self, error: &AttemptError) {
        let reason = match error {
            AttemptError::NotSent(_) => "not_sent",
            AttemptError::Resting(_) => "resting",
            AttemptError::NotRun => "not_run",
            AttemptError::OtherServer => "other_server",
            AttemptError::OtherVersion(_) => "other_version",
            AttemptError::Broken(_) => "broken",
            AttemptError::NoAnswer => "no_answer",
            AttemptError::Silent => "silent",
        };
        self.attempts_failed.with_label_values(&[reason]).inc();
    }

    /// Everything as text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed reason=\"{error}\"");
        }
        text
    }
}
