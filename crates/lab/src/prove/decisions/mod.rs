//! Areas `routing` and `drain`: the routers' decision code with emulated engines,
//! in virtual time.
//!
//! Two routers, each with a prefix index and an engine table, route identical prompts
//! of two tenants. Events are delayed and lost, polls fail, engines crash, restart
//! with an empty cache, depart and are replaced, and routers restart without state.
//! The engines' witnesses count violations. At the end, after a phase without
//! faults, no router may overestimate the cached prefix of an engine.

mod fleet;
mod router;

use super::areas::{SeedOutcome, SeedRun};
use fleet::Fleet;

/// Kind of engine failure in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Focus {
    /// Engines that crash.
    Routing,
    /// Engines that depart while the platform's list lags.
    Drain,
}

/// Fault that is planted to check that the campaign detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Block hashes don't depend on the tenant.
    TenantNotHashed,
    /// Gaps in an engine's events are ignored.
    EventGapIgnored,
    /// Departures are ignored, from any source.
    DepartureIgnored,
    /// Departures reported by the engine itself are ignored.
    EngineReportIgnored,
}

/// Planted faults of area `routing`.
pub const ROUTING_PLANTED: &[&str] = &["tenant-left-out-of-hash", "event-gap-ignored"];

/// Planted faults of area `drain`.
pub const DRAIN_PLANTED: &[&str] = &["drain-ignored", "own-word-ignored"];

/// Faults that both areas inject at random.
pub const FAULTS: &[&str] = &[
    "engine-crash",
    "engine-leaves",
    "router-restart",
    "lost-event",
    "late-event",
    "lost-poll",
    "late-platform-list",
];

impl PlantedFault {
    fn named(name: &str) -> Option<Self> {
        Some(match name {
            "tenant-left-out-of-hash" => PlantedFault::TenantNotHashed,
            "event-gap-ignored" => PlantedFault::EventGapIgnored,
            "drain-ignored" => PlantedFault::DepartureIgnored,
            "own-word-ignored" => PlantedFault::EngineReportIgnored,
            _ => return None,
        })
    }
}

/// Runs one seed of area `routing`.
pub fn run_routing(seed: SeedRun) -> SeedOutcome {
    run(seed, Focus::Routing)
}

/// Runs one seed of area `drain`.
pub fn run_drain(seed: SeedRun) -> SeedOutcome {
    run(seed, Focus::Drain)
}

fn run(seed: SeedRun, focus: Focus) -> SeedOutcome {
    let planted = seed.planted.and_then(PlantedFault::named);
    match Fleet::new(seed.seed, focus, planted) {
        Ok(mut fleet) => {
            fleet.run();
            let violations = fleet.violations();
            let trace = if seed.traced { fleet.into_trace() } else { Vec::new() };
            SeedOutcome { violations, trace }
        }
        Err(error) => SeedOutcome { violations: vec![error.to_string()], trace: Vec::new() },
    }
}
