//! Metrics of a gateway, in Prometheus text format.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use juniper_catalog::RouteKind;
use juniper_crash_watch::CrashMetrics;
use juniper_limits::Verdict;
use juniper_placement::Resource;
use juniper_waiting::PromiseCounts;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::answer::OwnAnswer;
use crate::attempt_error::AttemptError;
use crate::limits::DecidedBy;
use crate::lock::lock;
use crate::memory_metrics::MemoryMetrics;

/// Upper bounds of the latency buckets, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 10.0];

/// Upper bounds of the buckets of observed / expected times. The median should lie between 0.8 and
/// 1.25.
const RATIO_BUCKETS: [f64; 10] = [0.25, 0.5, 0.65, 0.8, 1.0, 1.25, 1.6, 2.5, 4.0, 8.0];

/// Maximum number of tenants with a counter of their own; the others share one. Few of thousands of
/// tenants reach their limits at a time.
const MAX_COUNTED_TENANTS: usize = 32;

/// Label of the tenants that share a counter.
const OTHER_TENANTS: &str = "(others)";

/// Metrics of a gateway.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by kind of route, outcome and reason.
    requests: IntCounterVec,
    /// Failed attempts, by reason.
    attempts_failed: IntCounterVec,
    /// Attempts whose servers didn't answer within the answer timeout.
    pub silent_attempts: IntCounter,
    /// Answers that ended before they were complete, by kind of route and reason.
    early_ends: IntCounterVec,
    /// Callers' connections that the HTTP library ended, by reason.
    failed_callers: IntCounterVec,
    /// Requests over their tenant's limit, by tenant and by who decided.
    over_limit: IntCounterVec,
    /// Tenants with a counter of their own.
    limited_tenants: Mutex<BTreeSet<String>>,
    /// Requests refused because servers are overloaded, by scarce resource.
    shortages: IntCounterVec,
    /// Retries refused by the retry budget.
    budget_spent: IntCounter,
    /// Decisions of the retry budget, by service and outcome.
    retries: IntCounterVec,
    /// Number of routers by which common budgets are divided; 0 while this router has no share.
    pub routers: IntGauge,
    /// Dispatch reports not published to the other routers.
    pub dropped_dispatch_reports: IntCounter,
    /// Batches of other routers' updates lost because this router was too slow.
    pub missed_update_batches: IntCounter,
    /// Streams that callers resume, by who knew their origin or by the reason of the refusal.
    resumes: IntCounterVec,
    /// Tunnels to servers through other routers, and of others through this one, by outcome.
    tunnels: IntCounterVec,
    /// Requests that brittle servers rejected.
    pub brittle_rejections: IntCounter,
    /// Times that this router was cut off from all servers.
    pub cut_offs: IntCounter,
    /// Servers considered unreachable because of other routers' reports.
    pub servers_reported_unreachable: IntCounter,
    /// Answers that advertised a limit, by whether it could be parsed.
    pub advertised_limits: IntCounterVec,
    /// Answers that requested a backoff or announced a departure, by kind and by whether it could
    /// be parsed.
    notices: IntCounterVec,
    /// Charges against advertised limits, by outcome and by who decided.
    server_charges: IntCounterVec,
    /// Servers that advertise a limit.
    pub limited_servers: IntGauge,
    /// Servers that are backing off.
    pub backing_off_servers: IntGauge,
    /// Promised returns of refused callers, by outcome.
    promises: IntCounterVec,
    /// Crashes of servers under requests, and quarantines.
    pub crashes: CrashMetrics,
    /// New connections to servers.
    pub connections: IntCounter,
    /// Open connections of callers.
    pub callers: IntGauge,
    /// Memory that callers make this process hold.
    pub caller_memory: MemoryMetrics,
    /// Time to the answer, or to the first event of a stream, by kind of route.
    answer_seconds: HistogramVec,
    /// Longest gap between two events of a stream.
    pub gap_seconds: Histogram,
    /// Observed time to first output of a prompt, relative to the expected one.
    pub first_output_ratio: Histogram,
    /// Times that this router's link was too busy to accept connections.
    pub refusing_callers: IntCounter,
    /// Requests refused because of a quarantined part of their prompts.
    pub quarantined_parts: IntCounter,
    /// Prompt tokens expected in the chosen server's cache.
    pub cached_tokens: IntCounter,
    /// Prompt tokens that the chosen server had to compute.
    pub prefill_tokens: IntCounter,
    /// Version of the configuration in force.
    pub catalog_version: IntGauge,
    /// Milliseconds since the configuration was last confirmed; -1 if it never was.
    pub catalog_age_ms: IntGauge,
}

fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::AtMostOnce => "at_most_once",
        RouteKind::Stream => "stream",
    }
}

impl Metrics {
    /// Registers all metrics.
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
        let gap_seconds =
            Histogram::with_opts(times("pause_seconds", "Longest pause in a stream."))?;
        registry.register(Box::new(gap_seconds.clone()))?;
        let ratio_options = HistogramOpts::new(
            name("first_output_ratio"),
            "Observed time to first output of a prompt, relative to the expected one.",
        );
        let first_output_ratio =
            Histogram::with_opts(ratio_options.buckets(RATIO_BUCKETS.to_vec()))?;
        registry.register(Box::new(first_output_ratio.clone()))?;
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
            silent_attempts: counter(
                "attempts_silent_total",
                "Attempts whose servers did not answer within the answer timeout.",
            )?,
            early_ends: counters(
                "answers_ended_early_total",
                "Answers that ended before they were complete, by kind of route and reason.",
                &["kind", "reason"],
            )?,
            failed_callers: counters(
                "caller_connections_failed_total",
                "Connections of callers that ended with an error, by reason.",
                &["reason"],
            )?,
            over_limit: counters(
                "over_limit_total",
                "Requests beyond their tenant's limit, by tenant and by who decided.",
                &["tenant", "decided_by"],
            )?,
            shortages: counters(
                "shortages_total",
                "Requests refused because servers are overloaded, by scarce resource.",
                &["resource"],
            )?,
            limited_tenants: Mutex::default(),
            limited_servers: gauge("limited_servers", "Servers that state what they take.")?,
            backing_off_servers: gauge("resting_servers", "Servers that asked for a pause.")?,
            server_charges: counters(
                "server_charges_total",
                "Requests for servers that state what they take, by outcome and who decided.",
                &["outcome", "decided_by"],
            )?,
            advertised_limits: counters(
                "stated_limits_total",
                "Answers in which servers stated what they take from all routers.",
                &["readable"],
            )?,
            notices: counters(
                "server_notices_total",
                "Answers in which servers asked for a pause or said that they leave.",
                &["notice", "readable"],
            )?,
            promises: counters(
                "return_promises_total",
                "Returns promised to refused callers, and whether such a request was then admitted.",
                &["outcome"],
            )?,
            crashes: CrashMetrics::new("juniper_gateway", &registry)?,
            dropped_dispatch_reports: counter(
                "sightings_left_out_total",
                "Prompts that the other routers weren't told of.",
            )?,
            missed_update_batches: counter(
                "router_news_missed_total",
                "Batches of what other routers told that came too fast.",
            )?,
            resumes: counters(
                "stream_resumes_total",
                "Streams that callers resume, by who knew their origin or why they were refused.",
                &["outcome"],
            )?,
            tunnels: counters(
                "tunnels_total",
                "Tunnels through another router (opened, failed) or of others (served, refused).",
                &["outcome"],
            )?,
            brittle_rejections: counter(
                "brittle_rejections_total",
                "Requests that servers rejected which crash if they reject many.",
            )?,
            cut_offs: counter(
                "cut_offs_total",
                "Times that this router was cut off from all servers.",
            )?,
            servers_reported_unreachable: counter(
                "servers_reported_unreachable_total",
                "Servers left alone because other routers can't reach them.",
            )?,
            retries: counters(
                "retries_total",
                "Decisions of the retry budget, by service and outcome.",
                &["service", "outcome"],
            )?,
            routers: gauge(
                "routers",
                "Routers by which common budgets are divided; 0 for no share.",
            )?,
            budget_spent: counter("budget_spent_total", "Repeats that the budget didn't allow.")?,
            connections: counter("server_connections_total", "New connections to servers.")?,
            callers: gauge("caller_connections", "Connections of callers.")?,
            caller_memory: MemoryMetrics::new(&registry)?,
            answer_seconds,
            gap_seconds,
            first_output_ratio,
            refusing_callers: counter(
                "callers_refused_total",
                "Times that the router's link was too busy to accept connections.",
            )?,
            quarantined_parts: counter(
                "requests_with_quarantined_parts_total",
                "Requests refused because of a quarantined part of their prompts.",
            )?,
            cached_tokens: counter("kept_tokens_total", "Prompt tokens that should be kept.")?,
            prefill_tokens: counter("missed_tokens_total", "Prompt tokens that had to be read.")?,
            catalog_version: gauge("catalog_version", "Version of the configuration.")?,
            catalog_age_ms: gauge("catalog_age_ms", "Age of the configuration; -1 for never.")?,
            registry,
        })
    }

    /// Counts a request that the gateway itself answered.
    pub(crate) fn count_own_answer(&self, kind: Option<RouteKind>, answer: OwnAnswer) {
        let kind = kind.map_or("none", kind_label);
        self.requests.with_label_values(&[kind, "own_answer", answer.reason()]).inc();
    }

    /// Counts a request over its tenant's limit.
    pub(crate) fn count_over_limit(&self, tenant: &str, by: DecidedBy) {
        let mut known = lock(&self.limited_tenants);
        if known.len() < MAX_COUNTED_TENANTS && !known.contains(tenant) {
            known.insert(tenant.to_owned());
        }
        let shown = if known.contains(tenant) { tenant } else { OTHER_TENANTS };
        self.over_limit.with_label_values(&[shown, by.as_str()]).inc();
    }

    /// Counts a request refused because servers are overloaded.
    pub(crate) fn count_shortage(&self, resource: Resource) {
        self.shortages.with_label_values(&[resource.as_str()]).inc();
    }

    /// Counts a decision of the retry budget.
    pub(crate) fn count_retry(&self, service: &str, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "refused" };
        self.retries.with_label_values(&[service, outcome]).inc();
        self.budget_spent.inc_by(u64::from(!is_granted));
    }

    /// Counts a decision on a charge against an advertised limit.
    pub(crate) fn count_server_charge(&self, verdict: &Verdict, by: DecidedBy) {
        let outcome = if verdict.is_admitted() { "admitted" } else { "refused" };
        self.server_charges.with_label_values(&[outcome, by.as_str()]).inc();
    }

    /// Counts an answer with a notice, by whether the notice could be parsed.
    pub(crate) fn count_notice(&self, notice: &str, is_readable: bool) {
        let readable = if is_readable { "yes" } else { "no" };
        self.notices.with_label_values(&[notice, readable]).inc();
    }

    /// Counts returns promised to refused callers.
    pub(crate) fn count_promises(&self, counts: PromiseCounts) {
        let PromiseCounts { promised, held, broken } = counts;
        for (outcome, count) in [("promised", promised), ("held", held), ("broken", broken)] {
            self.promises.with_label_values(&[outcome]).inc_by(count);
        }
    }

    /// Counts a request that ended without an answer; its route may not be known yet.
    pub(crate) fn count_unanswered(&self, kind: Option<RouteKind>, outcome: &str) {
        let kind = kind.map_or("none", kind_label);
        self.requests.with_label_values(&[kind, outcome, "no_answer"]).inc();
    }

    /// Counts a server's answer that was relayed completely.
    pub(crate) fn count_answered(&self, kind: RouteKind, status: StatusCode, took: Duration) {
        let kind = kind_label(kind);
        let reason = if status.is_success() { "success" } else { "server_status" };
        self.requests.with_label_values(&[kind, "answered", reason]).inc();
        self.answer_seconds.with_label_values(&[kind]).observe(took.as_secs_f64());
    }

    /// Counts a stream that has ended.
    pub(crate) fn count_stream(&self, outcome: &str, first: Option<Duration>) {
        let kind = kind_label(RouteKind::Stream);
        self.requests.with_label_values(&[kind, outcome, "stream"]).inc();
        if let Some(first) = first {
            self.answer_seconds.with_label_values(&[kind]).observe(first.as_secs_f64());
        }
    }

    /// Counts an answer that ended before it was complete.
    pub(crate) fn count_early_end(&self, kind: RouteKind, reason: &str) {
        self.early_ends.with_label_values(&[kind_label(kind), reason]).inc();
    }

    /// Counts a caller's connection that ended with an error.
    pub(crate) fn count_failed_caller(&self, reason: &str) {
        self.failed_callers.with_label_values(&[reason]).inc();
    }

    /// Counts a stream that a caller resumes, by who knew its origin or by the reason of its refusal.
    pub(crate) fn count_resume(&self, outcome: &str) {
        self.resumes.with_label_values(&[outcome]).inc();
    }

    /// Counts a tunnel to a server by its outcome.
    pub(crate) fn count_tunnel(&self, outcome: &str) {
        self.tunnels.with_label_values(&[outcome]).inc();
    }

    /// Counts a failed attempt.
    pub(crate) fn count_failed_attempt(&self, error: &AttemptError) {
        let reason = match error {
            AttemptError::NotSent(_) => "not_sent",
            AttemptError::BackingOff(_) => "resting",
            AttemptError::RetryExpired => "retry_expired",
            AttemptError::Quarantined => "quarantined",
            AttemptError::SoftwareChanged => "software_changed",
            AttemptError::Restarted => "restarted",
            AttemptError::NoStatement => "no_statement",
            AttemptError::NotRun => "not_run",
            AttemptError::WrongServer => "other_server",
            AttemptError::WrongVersion(_) => "other_version",
            AttemptError::Broken(_) => "broken",
            AttemptError::InvalidAnswer => "no_answer",
            AttemptError::Timeout => "silent",
        };
        self.attempts_failed.with_label_values(&[reason]).inc();
    }

    /// All metrics in Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed reason=\"{error}\"");
        }
        text
    }
}
