//! `juniper-lab soak`: runs a fleet of real processes under load and random faults.

mod plan;
mod run;

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;

pub use self::plan::{Fault, Part, PartSizes, PlannedFault, draw};
use self::run::inject_faults;
use crate::arguments::ArgumentError;
use crate::fleet::{Fleet, FleetSizes};
use crate::fleet_run::{RunOptions, print_report, run_fleet};

const HELP: &str = "\
Usage: juniper-lab soak [OPTIONS]

Starts a fleet on this machine and sends it load whose answers are checked, while
injecting faults drawn from a seed: engines, routers and control replicas are
killed and frozen, routers are shut down gracefully, the last zone is partitioned.
Faults of different parts of the fleet overlap. The last fifth of the time is free
of faults. Prints a report as JSON; exits with 1 if a guarantee was violated.

Options:
  --profile NAME     granite-ledger or pryderi  [default: granite-ledger]
  --seed N           seed of the load and of the faults  [default: 1]
  --seconds N        time of load, at least 10  [default: 60]
  --load SHARE       share of what the engines can serve  [default: 0.3]
  --keep FOLDER      keep files, logs and data in this folder
";

/// Smallest fleet in which one process of each part may fail.
const SIZES: FleetSizes =
    FleetSizes { control: 3, routers: 4, engines: 6, applications: 3, previews: 3 };

/// Timeout of a soak beyond the duration of its load.
const TIMEOUT_BEYOND_LOAD: Duration = Duration::from_secs(240);

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the run fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(options) = read(parser)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let duration = options.duration;
    let sizes =
        PartSizes { engines: SIZES.engines, routers: SIZES.routers, control: SIZES.control };
    let plan = draw(options.seed, duration, sizes);
    let faults = async move |fleet: &mut Fleet| inject_faults(fleet, &plan).await;
    print_report(duration + TIMEOUT_BEYOND_LOAD, run_fleet(options, SIZES, true, faults))
}

fn read(parser: &mut lexopt::Parser) -> Result<Option<RunOptions>, ArgumentError> {
    let mut options = RunOptions::usual(60, 0.3);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long(name) => {
                let name = name.to_owned();
                options.take(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}
