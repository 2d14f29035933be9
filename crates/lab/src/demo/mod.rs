//! `juniper-lab demo`: a small fleet of processes under load and faults.

mod script;

use std::process::ExitCode;
use std::time::Duration;

use juniper_emulators::http::report::WitnessReport;
use juniper_emulators::trace::Profile;
use lexopt::Arg;
use serde::Serialize;

use self::script::{DemoOptions, run_demo};
use crate::arguments::{ArgumentError, parsed};
use crate::fleet::{FleetError, FleetSizes};
use crate::load::{LoadError, LoadReport, ReportError};
use crate::trace::parse_load;

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

/// Shortest time of load that leaves room for every fault.
const MIN_SECONDS: u32 = 10;

/// Longest time that a demo takes beyond its load: start, stop and what is left to answer.
const TIME_BEYOND_LOAD: Duration = Duration::from_secs(180);

/// Why a demo can't be run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DemoError {
    /// The folder can't be used.
    #[error("the folder can't be used")]
    Folder(#[source] std::io::Error),
    /// The fleet can't be run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),
    /// The load can't be run.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Load(#[from] LoadError),
    /// The demo took too long; everything was stopped.
    #[error("the demo took longer than {0:?}; everything was stopped")]
    TooLong(Duration),
}

/// The report of a demo.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests that got their whole answer.
    pub complete: u64,
    /// Requests that were refused: nothing ran.
    pub refused: u64,
    /// Requests that got no whole answer, or whose outcome isn't known.
    pub failed: u64,
    /// Broken promises: seen by callers, by back ends, or in how daemons ended.
    pub violations: u64,
    /// Share of prompt tokens found in caches.
    pub hit_rate: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// What was done to the fleet, and when, in milliseconds of the load.
    pub faults: Vec<FaultDone>,
    /// Breaches that the engines saw.
    pub breaches: WitnessReport,
    /// Daemons that did not end well when they were stopped as planned.
    pub ended_badly: Vec<String>,
    /// The load's own report.
    pub load: LoadReport,
}

/// One fault that was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultDone {
    /// When, in milliseconds since the load began.
    pub at_ms: u64,
    /// What.
    pub fault: String,
}

impl DemoReport {
    /// Sums up what callers, back ends and the ends of daemons have shown.
    pub(crate) fn new(
        load: LoadReport,
        breaches: WitnessReport,
        faults: Vec<FaultDone>,
        ended_badly: Vec<String>,
    ) -> Self {
        DemoReport {
            requests: load.requests,
            complete: load.complete,
            refused: load.refused,
            failed: load.failed + load.unknown,
            violations: load.violations + breaches.total + ended_badly.len() as u64,
            hit_rate: load.hit_rate,
            ttft_p99_ms: load.ttft_p99_ms,
            faults,
            breaches,
            ended_badly,
            load,
        }
    }
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
    print_report(limit, run_demo(options))
}

/// Runs to the end, or to the limit, and prints the report. The exit code tells
/// whether a promise was broken.
pub(crate) fn print_report(
    limit: Duration,
    run: impl Future<Output = Result<DemoReport, DemoError>>,
) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().map_err(ReportError::Runtime)?;
    let report = runtime.block_on(async {
        let limited = tokio::time::timeout(limit, run);
        limited.await.unwrap_or(Err(DemoError::TooLong(limit)))
    })?;
    println!("{}", serde_json::to_string_pretty(&report).map_err(ReportError::from)?);
    Ok(if report.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The options; `None` when help was asked for.
fn read(parser: &mut lexopt::Parser) -> Result<Option<DemoOptions>, ArgumentError> {
    let sizes = FleetSizes { control: 1, routers: 3, engines: 6, applications: 3, previews: 2 };
    let mut options = DemoOptions {
        profile: Profile::GraniteLedger,
        seed: 1,
        duration: Duration::from_secs(20),
        load: 0.5,
        sizes,
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
                let seconds: u32 = parsed(parser, "--seconds", "a number")?;
                options.duration = Duration::from_secs(seconds.max(MIN_SECONDS).into());
            }
            Arg::Long("load") => options.load = parse_load(parser)?,
            Arg::Long("control") => options.sizes.control = read_count(parser, "--control", 1)?,
            Arg::Long("routers") => options.sizes.routers = read_count(parser, "--routers", 2)?,
            Arg::Long("engines") => options.sizes.engines = read_count(parser, "--engines", 3)?,
            Arg::Long("keep") => options.folder = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Some(options))
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
