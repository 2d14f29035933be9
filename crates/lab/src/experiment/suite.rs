//! Runs the policies of one experiment.

use std::time::Duration;

use juniper_emulators::trace::{Profile, Trace, TraceOptions, generate};
use juniper_routing::CostModel;
use juniper_types::Timestamp;

use super::ExperimentError;
use super::baselines::{Baseline, BaselinePolicy};
use super::deployment::Deployment;
use super::juniper::{FleetMap, Juniper};
use super::measure::Measure;
use super::oracle::Oracle;
use super::policy::Policy;
use super::report::{Comparison, PolicyMeasure};
use super::workload::{Job, jobs};
use super::world::{Disturbance, World, engine_zones};

/// Options of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentOptions {
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
    /// Time at which all routers restart, in milliseconds.
    pub restart_at_ms: Option<u64>,
    /// Parameters of Juniper's cost function.
    pub cost: CostModel,
    /// Policies to run; all if empty.
    pub policies: Vec<PolicyName>,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        ExperimentOptions {
            profile: Profile::GraniteLedger,
            seed: 1,
            load: 0.45,
            duration_ms: 90_000,
            warm_up_ms: 15_000,
            restart_at_ms: None,
            cost: CostModel::default(),
            policies: Vec::new(),
        }
    }
}

/// Policies that an experiment can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// Decision code of the project's routers.
    Juniper,
    /// Baseline policy.
    Baseline(Baseline),
    /// Oracle with complete knowledge of the fleet.
    Oracle,
}

impl PolicyName {
    /// All policies, in the order of the report.
    pub const ALL: [PolicyName; 6] = [
        PolicyName::Juniper,
        PolicyName::Baseline(Baseline::RoundRobin),
        PolicyName::Baseline(Baseline::LeastLoaded),
        PolicyName::Baseline(Baseline::PrefixAffinity),
        PolicyName::Baseline(Baseline::OwnHistory),
        PolicyName::Oracle,
    ];

    /// Name of the policy in reports and options.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Juniper => "juniper",
            PolicyName::Baseline(Baseline::RoundRobin) => "round_robin",
            PolicyName::Baseline(Baseline::LeastLoaded) => "least_loaded",
            PolicyName::Baseline(Baseline::PrefixAffinity) => "prefix_affinity",
            PolicyName::Baseline(Baseline::OwnHistory) => "own_history",
            PolicyName::Oracle => "oracle",
        }
    }
}

/// Unknown policy name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy {0:?}")]
pub struct UnknownPolicy(String);

impl std::str::FromStr for PolicyName {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        let known = PolicyName::ALL.into_iter().find(|policy| policy.as_str() == text);
        known.ok_or_else(|| UnknownPolicy(text.to_owned()))
    }
}

/// Inputs shared by the runs of all policies.
struct Setting<'a> {
    options: &'a ExperimentOptions,
    trace: &'a Trace,
    deployment: &'a Deployment,
    jobs: &'a [Job],
}

/// Runs each policy of `options` on a thread of its own.
///
/// # Errors
/// Fails when the run of a policy fails.
pub fn run(options: &ExperimentOptions) -> Result<Comparison, ExperimentError> {
    let trace = generate(TraceOptions {
        profile: options.profile,
        seed: options.seed,
        load: options.load,
        duration_ms: options.duration_ms,
    })?;
    let deployment = Deployment::of(options.profile);
    let jobs = jobs(&trace, &deployment);
    let setting = Setting { options, trace: &trace, deployment: &deployment, jobs: &jobs };
    let chosen =
        if options.policies.is_empty() { &PolicyName::ALL[..] } else { &options.policies[..] };
    let policies = std::thread::scope(|scope| {
        let setting = &setting;
        let runs: Vec<_> = chosen
            .iter()
            .map(|policy| (policy.as_str(), scope.spawn(move || measure(setting, *policy))))
            .collect();
        runs.into_iter()
            .map(|(name, run)| {
                let measure = run.join().map_err(|_| ExperimentError::Run(name))?;
                Ok(PolicyMeasure { policy: name, measure })
            })
            .collect::<Result<Vec<_>, ExperimentError>>()
    })?;
    Ok(Comparison::new(options, policies))
}

fn measure(setting: &Setting<'_>, name: PolicyName) -> Measure {
    let Setting { options, trace, deployment, jobs } = setting;
    let mut policy = policy(setting, name);
    let measure_from = Timestamp::from_millis(options.warm_up_ms);
    let world = World::new(&trace.header, deployment, jobs, &mut *policy, measure_from);
    let disturbance = match options.restart_at_ms {
        Some(millis) => Disturbance::RouterRestarts(Timestamp::from_millis(millis)),
        None => Disturbance::Nothing,
    };
    world.run(disturbance)
}

fn policy(setting: &Setting<'_>, name: PolicyName) -> Box<dyn Policy> {
    let Setting { options, trace, .. } = setting;
    let header = &trace.header;
    let zones = engine_zones(header);
    match name {
        PolicyName::Juniper => Box::new(Juniper::new(fleet_map(setting, &zones), options.cost)),
        PolicyName::Baseline(baseline) => Box::new(BaselinePolicy::new(
            baseline,
            header.zones.len(),
            zones.len(),
            header.cache_blocks as usize,
        )),
        PolicyName::Oracle => Box::new(Oracle::new(setting.deployment.clone(), zones)),
    }
}

fn fleet_map(setting: &Setting<'_>, engine_zones: &[usize]) -> FleetMap {
    let zones = &setting.trace.header.zones;
    let round_trip =
        |from: usize, to: usize| -> Duration { setting.deployment.one_way(from, to) * 2 };
    let round_trips = (0..zones.len())
        .map(|from| {
            zones
                .iter()
                .enumerate()
                .map(|(to, zone)| (zone.clone(), round_trip(from, to)))
                .collect()
        })
        .collect();
    FleetMap {
        engine_zones: engine_zones.iter().map(|zone| zones[*zone].clone()).collect(),
        round_trips,
    }
}
