//! Routing experiment: deterministic output, and the ranking of the policies on a short
//! run.

use juniper_emulators::trace::Profile;
use juniper_lab::experiment::baselines::Baseline;
use juniper_lab::experiment::compare;
use juniper_lab::experiment::measure::Measure;
use juniper_lab::experiment::report::Comparison;
use juniper_lab::experiment::suite::{ExperimentOptions, PolicyName};

fn options(profile: Profile, policies: &[PolicyName]) -> ExperimentOptions {
    ExperimentOptions {
        profile,
        seed: 3,
        duration_ms: 16_000,
        warm_up_ms: 6_000,
        policies: policies.to_vec(),
        ..ExperimentOptions::default()
    }
}

fn run(options: &ExperimentOptions) -> Comparison {
    compare(options).expect("the experiment runs")
}

fn measure(comparison: &Comparison, policy: PolicyName) -> &Measure {
    let named = comparison.policies.iter().find(|known| known.policy == policy.as_str());
    &named.expect("the policy ran").measure
}

#[test]
fn equal_options_give_identical_output() {
    let own_history = PolicyName::Baseline(Baseline::OwnHistory);
    let options = options(Profile::Pryderi, &[PolicyName::Juniper, own_history]);
    let json = || serde_json::to_string(&run(&options)).expect("JSON");
    assert_eq!(json(), json());
}

#[test]
fn juniper_beats_load_only_policies_on_hit_rate() {
    let least_loaded = PolicyName::Baseline(Baseline::LeastLoaded);
    for profile in [Profile::GraniteLedger, Profile::Pryderi] {
        let comparison = run(&options(profile, &[PolicyName::Juniper, least_loaded]));
        let own = measure(&comparison, PolicyName::Juniper);
        let other = measure(&comparison, least_loaded);
        assert!(own.hit_rate > 1.5 * other.hit_rate, "{} {}", own.hit_rate, other.hit_rate);
        assert!(own.wasted_tokens < other.wasted_tokens / 2);
        assert_eq!((own.refused, own.dropped), (0, 0));
        assert_eq!(own.answered, own.requests);
    }
}

#[test]
fn restart_of_all_routers_loses_no_request() {
    let restart = ExperimentOptions {
        restart_at_ms: Some(10_000),
        ..options(Profile::GraniteLedger, &[PolicyName::Juniper])
    };
    let comparison = run(&restart);
    let own = measure(&comparison, PolicyName::Juniper);
    assert_eq!(own.answered, own.requests);
}
