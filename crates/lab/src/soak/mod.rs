//! `juniper-lab soak`: a fleet of real processes under load and random faults.

mod plan;
mod run;

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;

pub use self::plan::{Fault, Part, PartSizes, PlannedFault, draw};
use self::run::carry_out;
use crate::arguments::ArgumentError;
use crate::fleet::{Fleet, FleetSizes};
use crate::fleet_run::{RunOptions, print_report, run_fleet};

const HELP: &str = "\
Usage: juniper-lab soak [OPTIONS]

Starts a fleet on this machine and sends it checked load while faults drawn from
a seed are made: engines, routers and control replicas are killed and frozen,
routers stopped as planned, the last zone cut off. Faults of different parts of
the fleet come together. In the last fifth of the time all is mended. Prints a
report as JSON; exits with 1 if a promise was broken.

Options:
  --profile NAME     granite-ledger or pryderi  [default: granite-ledger]
  --seed N           seed of the load and of the faults  [default: 1]
  --seconds N        time of load, at least 10  [default: 60]
  --load SHARE       share of what the engines can serve  [default: 0.3]
  --keep FOLDER      keep files, logs and data in this folder
";

/// Processes of the fleet: the least of which one of each part may fail.
const SIZES: FleetSizes =
    FleetSizes { control: 3, routers: 4, engines: 6, applications: 3, previews: 3 };

/// Longest time that a soak takes beyond its load.
const TIME_BEYOND_LOAD: Duration = Duration::from_secs(240);

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(options) = read(parser)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let duration = options.duration;
    let sizes =
        PartSizes { engines: SIZES.engines, routers: SIZES.routers, control: SIZES.control };
    let plan = draw(options.seed, duration, sizes);
    let faults = async move |fleet: &mut Fleet| carry_out(fleet, &plan).await;
    print_report(duration + TIME_BEYOND_LOAD, run_fleet(options, SIZES, true, faults))
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
