//! The areas that can be proved.
//!
//! An area is one entry in [`AREAS`]: a name, the faults it draws, the faults
//! that can be planted in it and a function that runs one seed.

use juniper_simulation::{FAULT_NAMES, Planted, RunOptions, RunReport, run};

use super::claims::ClaimsWorkload;
use super::configuration::Configuration;
use super::decisions;
use super::orders::{ORDER_FAULTS, Orders};

/// One seed to run.
#[derive(Clone, Copy, Debug)]
pub struct SeedRun {
    /// Everything follows from it.
    pub seed: u64,
    /// Name of the planted fault; one of the area's own.
    pub planted: Option<&'static str>,
    /// Whether to keep a trace.
    pub traced: bool,
}

/// What came of a seed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedOutcome {
    /// What was wrong, one line each.
    pub violations: Vec<String>,
    /// What happened, one line for each event, if a trace was asked for.
    pub trace: Vec<String>,
}

/// One area.
pub struct Area {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it proves.
    pub summary: &'static str,
    /// The faults that it draws from the seed.
    pub faults: &'static [&'static str],
    /// The faults that can be planted in it.
    pub planted: &'static [&'static str],
    /// Runs one seed.
    pub run: fn(SeedRun) -> SeedOutcome,
}

/// All areas.
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

/// The area with this name.
pub fn find(name: &str) -> Option<&'static Area> {
    AREAS.iter().find(|area| area.name == name)
}

impl Area {
    /// The planted fault of this area with this name.
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
