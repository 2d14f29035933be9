//! `juniper-lab soak`: a fleet of real processes under load and random faults.

mod plan;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use juniper_emulators::http::application::WORK_TIME;
use juniper_emulators::trace::Profile;
use lexopt::Arg;

pub use self::plan::{Fault, Part, PartSizes, PlannedFault, draw};
use self::run::carry_out;
use crate::arguments::{ArgumentError, parsed};
use crate::demo::{DemoError, DemoReport, print_report};
use crate::fleet::{Binaries, Fleet, FleetError, FleetOptions, FleetSizes};
use crate::load::arguments::{complete, default_options};
use crate::load::run_load;
use crate::trace::{fleet_trace, parse_load};

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

/// Shortest time of load, in seconds.
const MIN_SECONDS: u64 = 10;

/// Longest time that a soak takes beyond its load.
const TIME_BEYOND_LOAD: Duration = Duration::from_secs(240);

/// What a soak does.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Deployment that the fleet is modelled on.
    pub profile: Profile,
    /// Seed of the load and of the faults.
    pub seed: u64,
    /// Time of load.
    pub duration: Duration,
    /// Share of what the engines can serve.
    pub load: f64,
    /// Folder to keep; a temporary one otherwise.
    pub folder: Option<PathBuf>,
}

/// Runs the command with the arguments that follow its name.
///
/// # Errors
/// Fails when the arguments are faulty or the run itself fails.
pub fn run(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(options) = read(parser)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let limit = options.duration + TIME_BEYOND_LOAD;
    print_report(limit, soak(options))
}

fn read(parser: &mut lexopt::Parser) -> Result<Option<SoakOptions>, ArgumentError> {
    let mut options = SoakOptions {
        profile: Profile::GraniteLedger,
        seed: 1,
        duration: Duration::from_secs(60),
        load: 0.3,
        folder: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("help") | Arg::Short('h') => return Ok(None),
            Arg::Long("profile") => {
                options.profile = parsed(parser, "--profile", "granite-ledger or pryderi")?;
            }
            Arg::Long("seed") => options.seed = parsed(parser, "--seed", "a number")?,
            Arg::Long("seconds") => {
                let seconds: u64 = parsed(parser, "--seconds", "a number")?;
                options.duration = Duration::from_secs(seconds.max(MIN_SECONDS));
            }
            Arg::Long("load") => options.load = parse_load(parser)?,
            Arg::Long("keep") => options.folder = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
}

/// Runs a whole soak and stops everything it started.
///
/// # Errors
/// Fails when the fleet or the load can't be run; broken promises are in the report.
pub async fn soak(options: SoakOptions) -> Result<DemoReport, DemoError> {
    let temporary = tempfile::tempdir().map_err(DemoError::Folder)?;
    let folder = options.folder.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder).map_err(DemoError::Folder)?;
    let SoakOptions { profile, seed, duration, .. } = options;
    let trace = fleet_trace(profile, seed, options.load, SIZES.engines, duration)
        .map_err(FleetError::from)?;
    let mut fleet = Fleet::start(FleetOptions {
        binaries: Binaries::beside_this_program()?,
        folder,
        profile,
        sizes: SIZES,
        application_work: WORK_TIME,
        cuttable: true,
    })
    .await?;
    let mut load = default_options();
    load.routers = fleet.router_targets();
    load.executions = fleet.execution_sources();
    let load = complete(load).map_err(|_| FleetError::NoSuch("router".to_owned()))?;
    let sizes =
        PartSizes { engines: SIZES.engines, routers: SIZES.routers, control: SIZES.control };
    let plan = draw(seed, duration, sizes);
    let (report, done) = tokio::join!(run_load(&trace, load), carry_out(&mut fleet, &plan));
    let (report, done) = (report?, done?);
    let breaches = fleet.witnesses().await?;
    let mut ended_badly = done.ended_badly;
    ended_badly.extend(fleet.stop_daemons().await?);
    Ok(DemoReport::new(report, breaches, done.faults, ended_badly))
}
