//! Result of an experiment as JSON and as a table.

use std::fmt::Write;

use juniper_emulators::trace::Profile;
use serde::Serialize;

use super::measure::Measure;
use super::suite::{ExperimentOptions, PolicyName};

/// Milliseconds per second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Measurements of a policy with its name.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyMeasure {
    /// Name of the policy.
    pub policy: &'static str,
    /// Measurements of the policy.
    #[serde(flatten)]
    pub measure: Measure,
}

/// Ratios of Juniper's results to those of other policies; `None` where a policy of the
/// ratio was not run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Ratios {
    /// Cache hit rate relative to the oracle's.
    pub hit_rate_of_oracle: Option<f64>,
    /// Recomputed tokens relative to the baseline with the fewest.
    pub wasted_of_best_baseline: Option<f64>,
    /// 99th percentile of the time to first token relative to the lowest of the baselines.
    pub ttft_p99_of_best_baseline: Option<f64>,
    /// 99th percentile of the time to first token relative to the least loaded baseline's.
    pub ttft_p99_of_least_loaded: Option<f64>,
}

/// Result of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Deployment profile.
    pub profile: Profile,
    /// Seed of the trace and the faults.
    pub seed: u64,
    /// Offered load as a share of the fleet's capacity.
    pub load: f64,
    /// Time in which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Warm-up time that is not measured, in milliseconds.
    pub warm_up_ms: u64,
    /// Time at which all routers restarted, in milliseconds, if they did.
    pub restart_at_ms: Option<u64>,
    /// Comparison of Juniper with the other policies.
    pub ratios: Ratios,
    /// Results by policy, in a fixed order.
    pub policies: Vec<PolicyMeasure>,
}

impl Comparison {
    /// Creates the report from the measurements of all policies.
    pub fn new(options: &ExperimentOptions, policies: Vec<PolicyMeasure>) -> Self {
        Comparison {
            profile: options.profile,
            seed: options.seed,
            load: options.load,
            duration_ms: options.duration_ms,
            warm_up_ms: options.warm_up_ms,
            restart_at_ms: options.restart_at_ms,
            ratios: ratios(&policies),
            policies,
        }
    }

    /// Requests per second answered within the deadline, over the measured time.
    pub fn goodput(&self, measure: &Measure) -> f64 {
        let measured_ms = self.duration_ms.saturating_sub(self.warm_up_ms);
        measure.in_time as f64 * MILLIS_PER_SECOND / measured_ms.max(1) as f64
    }
}

fn ratios(policies: &[PolicyMeasure]) -> Ratios {
    let named = |name: PolicyName| {
        policies.iter().find(|known| known.policy == name.as_str()).map(|known| &known.measure)
    };
    let Some(own) = named(PolicyName::Juniper) else {
        return Ratios::default();
    };
    let baselines: Vec<&Measure> = PolicyName::ALL
        .into_iter()
        .filter(|name| matches!(name, PolicyName::Baseline(_)))
        .filter_map(named)
        .collect();
    let least = |value: fn(&Measure) -> f64| {
        baselines.iter().map(|measure| value(measure)).min_by(f64::total_cmp)
    };
    let p99 = |measure: &Measure| measure.ttft_p99_ms;
    let least_loaded = PolicyName::Baseline(super::baselines::Baseline::LeastLoaded);
    Ratios {
        hit_rate_of_oracle: named(PolicyName::Oracle).map(|oracle| own.hit_rate / oracle.hit_rate),
        wasted_of_best_baseline: least(|measure| measure.wasted_tokens as f64)
            .map(|wasted| own.wasted_tokens as f64 / wasted),
        ttft_p99_of_best_baseline: least(p99).map(|best| p99(own) / best),
        ttft_p99_of_least_loaded: named(least_loaded).map(|known| p99(own) / p99(known)),
    }
}

/// Formats the report as a table.
pub fn text(comparison: &Comparison) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "profile={} seed={} load={} duration_ms={} warm_up_ms={}",
        comparison.profile.as_str(),
        comparison.seed,
        comparison.load,
        comparison.duration_ms,
        comparison.warm_up_ms
    );
    let _ = writeln!(
        text,
        "{:<16} {:>8} {:>10} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8}",
        "policy", "hit", "wasted", "p50 ms", "p95 ms", "p99 ms", "refused", "dropped", "good/s"
    );
    for PolicyMeasure { policy, measure } in &comparison.policies {
        let _ = writeln!(
            text,
            "{policy:<16} {:>8.4} {:>10} {:>9.1} {:>9.1} {:>9.1} {:>8} {:>8} {:>8.1}",
            measure.hit_rate,
            measure.wasted_tokens,
            measure.ttft_p50_ms,
            measure.ttft_p95_ms,
            measure.ttft_p99_ms,
            measure.refused,
            measure.dropped,
            comparison.goodput(measure)
        );
    }
    let ratio = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    let Ratios {
        hit_rate_of_oracle,
        wasted_of_best_baseline,
        ttft_p99_of_best_baseline,
        ttft_p99_of_least_loaded,
    } = comparison.ratios;
    let _ = writeln!(
        text,
        "juniper: hit_rate/oracle={} wasted/best={} p99/best={} p99/least_loaded={}",
        ratio(hit_rate_of_oracle),
        ratio(wasted_of_best_baseline),
        ratio(ttft_p99_of_best_baseline),
        ratio(ttft_p99_of_least_loaded)
    );
    text
}
