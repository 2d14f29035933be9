//! Areas `routing` and `drain`: the routers' decision code in front of engine
//! models, in virtual time.
//!
//! Two routers with an index and a table each route prompts of two tenants that
//! share every word. Events are late and lost, polls fail, engines crash and
//! come back empty, leave and are replaced, routers restart and know nothing.
//! The engines' own witness counts what broke; at the end, when everything has
//! settled, no router may believe more than is true.

mod fleet;
mod router;

use super::areas::{SeedOutcome, SeedRun};
use fleet::Fleet;

/// What a run concentrates on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Focus {
    /// Crashes, restarts and lost events.
    Routing,
    /// Engines that leave while the platform's list lags.
    Drain,
}

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// The tenant isn't part of the block hash.
    TenantLeftOut,
    /// A gap in an engine's events is passed over.
    GapIgnored,
    /// Nobody's word about leaving is taken.
    DrainIgnored,
    /// The engine's own word about leaving isn't taken.
    OwnWordIgnored,
}

/// The planted faults of area `routing`.
pub const ROUTING_PLANTED: &[&str] = &["tenant-left-out-of-hash", "event-gap-ignored"];

/// The planted faults of area `drain`.
pub const DRAIN_PLANTED: &[&str] = &["drain-ignored", "own-word-ignored"];

/// What both areas draw from the seed.
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
            "tenant-left-out-of-hash" => PlantedFault::TenantLeftOut,
            "event-gap-ignored" => PlantedFault::GapIgnored,
            "drain-ignored" => PlantedFault::DrainIgnored,
            "own-word-ignored" => PlantedFault::OwnWordIgnored,
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
