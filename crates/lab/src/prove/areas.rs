//! Areas under test.
//!
//! Each entry of [`AREAS`] has a name, the faults that are injected at random, the
//! faults that can be planted and a function that runs one seed.

use juniper_simulation::{FAULT_NAMES, Planted, RunOptions, RunReport, run};

use super::claims::ClaimsWorkload;
use super::configuration::Configuration;
use super::decisions;
use super::orders::{ORDER_FAULTS, Orders};

/// Parameters of the run of one seed.
#[derive(Clone, Copy, Debug)]
pub struct SeedRun {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Name of the planted fault, one of [`Area::planted`].
    pub planted: Option<&'static str>,
    /// Whether to record a trace.
    pub traced: bool,
}

/// Result of the run of one seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedOutcome {
    /// Descriptions of the violations, one line each.
    pub violations: Vec<String>,
    /// Trace with one line per event; empty unless requested.
    pub trace: Vec<String>,
}

/// Set of invariants that is checked under one workload.
pub struct Area {
    /// Name on the command line.
    pub name: &'static str,
    /// Invariants that are checked.
    pub summary: &'static str,
    /// Faults that are injected at random, depending on the seed.
    pub faults: &'static [&'static str],
    /// Faults that can be planted to check that they are detected.
    pub planted: &'static [&'static str],
    /// Runs one seed.
    pub run: fn(SeedRun) -> SeedOutcome,
}

/// All areas, in the order of `--list`.
pub const AREAS: &[Area] = &[
    Area {
        name: "configuration",
        summary: "accepted settings are never lost or reverted, and come into force in order",
        faults: &FAULT_NAMES,
        planted: &[
            "no-sync",
            "early-acknowledgement",
            "wiped-disk-votes",
            "vote-forgotten",
            "local-read",
            "change-ids-forgotten",
            "stale-revision-applied",
            "floor-skipped",
        ],
        run: run_configuration,
    },
    Area {
        name: "claims",
        summary: "a request that may not be repeated runs at most once, and refusals are true",
        faults: &FAULT_NAMES,
        planted: &[
            "no-sync",
            "early-acknowledgement",
            "wiped-disk-votes",
            "claims-forgotten",
            "grant-before-commit",
            "grant-without-log",
            "grant-used-twice",
            "late-grant-used",
        ],
        run: run_claims,
    },
    Area {
        name: "routing",
        summary: "no request relies on blocks of another tenant, an ended life or a lost event",
        faults: decisions::FAULTS,
        planted: decisions::ROUTING_PLANTED,
        run: decisions::run_routing,
    },
    Area {
        name: "drain",
        summary: "an engine that is leaving gets no new work after two seconds",
        faults: decisions::FAULTS,
        planted: decisions::DRAIN_PLANTED,
        run: decisions::run_drain,
    },
    Area {
        name: "orders",
        summary: "no order takes effect after one of a later holder, however late it arrives",
        faults: &ORDER_FAULTS,
        planted: &[
            "no-sync",
            "wiped-disk-votes",
            "fences-forgotten",
            "token-guessed",
            "order-renumbered",
        ],
        run: run_orders,
    },
];

/// Finds the area called `name`.
pub fn find(name: &str) -> Option<&'static Area> {
    AREAS.iter().find(|area| area.name == name)
}

impl Area {
    /// Finds the planted fault of this area called `name`.
    pub fn planted(&self, name: &str) -> Option<&'static str> {
        self.planted.iter().find(|known| **known == name).copied()
    }
}

fn run_configuration(seed: SeedRun) -> SeedOutcome {
    let options = options(seed);
    outcome(run(options, Configuration::new(options.planted)))
}

fn run_claims(seed: SeedRun) -> SeedOutcome {
    let options = options(seed);
    outcome(run(options, ClaimsWorkload::new(options.planted)))
}

fn run_orders(seed: SeedRun) -> SeedOutcome {
    let options = options(seed);
    outcome(run(options, Orders::new(options.planted)))
}

fn options(seed: SeedRun) -> RunOptions {
    let planted = seed.planted.and_then(Planted::named);
    RunOptions { seed: seed.seed, planted, traced: seed.traced }
}

fn outcome(report: RunReport) -> SeedOutcome {
    SeedOutcome { violations: report.violations, trace: report.trace }
}
