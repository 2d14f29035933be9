//! `juniper-lab demo`: runs a small fleet of processes under load and scripted faults.

mod script;

use std::process::ExitCode;
use std::time::Duration;

use lexopt::Arg;

use self::script::run_script;
use crate::arguments::{ArgumentError, parsed};
use crate::fleet::{Fleet, FleetSizes};
use crate::fleet_run::{RunOptions, print_report, run_fleet};

const HELP: &str = "\
Usage: juniper-lab demo [OPTIONS]

Starts a fleet on this machine, sends it checked load, kills an engine and a
router in the middle, starts them again, drains an engine, restarts a router
as planned, and stops everything. Prints a report as JSON; exits with 1 if a
promise was broken.

Options:
  --profile NAME     granite-ledger or pryderi  [default: granite-ledger]
  --seed N           seed of the load  [default: 1]
  --seconds N        time of load, at least 10  [default: 20]
  --load SHARE       share of what the engines can serve  [default: 0.5]
  --control N        control replicas: 1, 3 or 5  [default: 1]
  --routers N        routers  [default: 3]
  --engines N        engines  [default: 6]
  --keep FOLDER      keep files, logs and data in this folder
";

/// Time limit for start, shutdown and outstanding requests, in addition to the load.
const OVERHEAD_LIMIT: Duration = Duration::from_secs(180);

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are invalid or the run fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some((options, sizes)) = read(parser)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let duration = options.duration;
    let script = async move |fleet: &mut Fleet| run_script(fleet, duration).await;
    print_report(duration + OVERHEAD_LIMIT, run_fleet(options, sizes, false, script))
}

/// Parses the options and the numbers of processes; `None` if help was requested.
fn read(parser: &mut lexopt::Parser) -> Result<Option<(RunOptions, FleetSizes)>, ArgumentError> {
    let mut sizes = FleetSizes { control: 1, routers: 3, engines: 6, applications: 3, previews: 2 };
    let mut options = RunOptions::usual(20, 0.5);
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long("control") => sizes.control = read_count(parser, "--control", 1)?,
            Arg::Long("routers") => sizes.routers = read_count(parser, "--routers", 2)?,
            Arg::Long("engines") => sizes.engines = read_count(parser, "--engines", 3)?,
            Arg::Long(name) => {
                let name = name.to_owned();
                options.take(&name, parser)?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some((options, sizes)))
}

fn read_count(
    parser: &mut lexopt::Parser,
    option: &'static str,
    least: usize,
) -> Result<usize, ArgumentError> {
    let count: usize = parsed(parser, option, "a number")?;
    if count >= least {
        return Ok(count);
    }
    let allowed = "large enough: the demo needs 1 control replica, 2 routers and 3 engines";
    Err(ArgumentError::Value { option, value: count.to_string(), allowed })
}
