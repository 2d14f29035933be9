//! One run of a fleet of processes: started, loaded while faults are made, stopped, and
//! reported on.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use juniper_emulators::http::application::WORK_TIME;
use juniper_emulators::http::report::WitnessReport;
use juniper_emulators::trace::Profile;
use lexopt::Arg;
use serde::Serialize;

use crate::arguments::{ArgumentError, parsed};
use crate::fleet::{Binaries, Fleet, FleetError, FleetOptions, FleetSizes};
use crate::load::arguments::{complete, default_options};
use crate::load::{LoadError, LoadReport, ReportError, run_load};
use crate::trace::{fleet_trace, parse_load};

/// Shortest time of load that leaves room for faults, in seconds.
const MIN_SECONDS: u64 = 10;

/// What every run of a fleet is asked for.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Deployment that the fleet is modelled on.
    pub profile: Profile,
    /// Seed of the load, and of the faults if they are drawn.
    pub seed: u64,
    /// Time of load.
    pub duration: Duration,
    /// Share of what the engines can serve.
    pub load: f64,
    /// Folder to keep; a temporary one otherwise.
    pub folder: Option<PathBuf>,
}

impl RunOptions {
    /// Options of a command whose load takes `seconds` and `load` of the engines unless
    /// it is told otherwise.
    pub(crate) fn usual(seconds: u64, load: f64) -> Self {
        let duration = Duration::from_secs(seconds);
        RunOptions { profile: Profile::GraniteLedger, seed: 1, duration, load, folder: None }
    }

    /// Takes the long option `name` with its value.
    ///
    /// # Errors
    /// Fails when there is no such option, or its value can't be used.
    pub(crate) fn take(
        &mut self,
        name: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<(), ArgumentError> {
        match name {
            "profile" => {
                self.profile = parsed(parser, "--profile", "granite-ledger or pryderi")?;
            }
            "seed" => self.seed = parsed(parser, "--seed", "a number")?,
            "seconds" => {
                let seconds: u64 = parsed(parser, "--seconds", "a number")?;
                self.duration = Duration::from_secs(seconds.max(MIN_SECONDS));
            }
            "load" => self.load = parse_load(parser)?,
            "keep" => self.folder = Some(parser.value()?.into()),
            other => return Err(Arg::Long(other).unexpected().into()),
        }
        Ok(())
    }
}

/// Why a run can't be made.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
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
    /// The run took too long; everything was stopped.
    #[error("the run took longer than {0:?}; everything was stopped")]
    TooLong(Duration),
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
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

impl RunReport {
    /// Sums up what callers, back ends and the ends of daemons have shown.
    pub(crate) fn new(
        load: LoadReport,
        breaches: WitnessReport,
        faults: Vec<FaultDone>,
        ended_badly: Vec<String>,
    ) -> Self {
        RunReport {
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

/// What was done to a fleet, and which daemons did not end well when they were stopped
/// as planned.
#[derive(Debug, Default)]
pub(crate) struct FaultsDone {
    pub faults: Vec<FaultDone>,
    pub ended_badly: Vec<String>,
}

/// Starts a fleet, loads it while `make_faults` works on it, and stops everything that
/// was started.
///
/// # Errors
/// Fails when the fleet or the load can't be run; broken promises are in the report.
pub(crate) async fn run_fleet(
    options: RunOptions,
    sizes: FleetSizes,
    cuttable: bool,
    make_faults: impl AsyncFnOnce(&mut Fleet) -> Result<FaultsDone, FleetError>,
) -> Result<RunReport, RunError> {
    let RunOptions { profile, seed, duration, load, folder } = options;
    let temporary = tempfile::tempdir().map_err(RunError::Folder)?;
    let folder = folder.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder).map_err(RunError::Folder)?;
    let trace = fleet_trace(profile, seed, load, sizes.engines, duration);
    let trace = trace.map_err(FleetError::from)?;
    let mut fleet = Fleet::start(FleetOptions {
        binaries: Binaries::beside_this_program()?,
        folder,
        profile,
        sizes,
        application_work: WORK_TIME,
        cuttable,
    })
    .await?;
    let mut load = default_options();
    load.routers = fleet.router_targets();
    load.executions = fleet.execution_sources();
    let load = complete(load).map_err(|_| FleetError::NoSuch("router".to_owned()))?;
    let (report, done) = tokio::join!(run_load(&trace, load), make_faults(&mut fleet));
    let (report, done) = (report?, done?);
    let breaches = fleet.witnesses().await?;
    let mut ended_badly = done.ended_badly;
    ended_badly.extend(fleet.stop_daemons().await?);
    Ok(RunReport::new(report, breaches, done.faults, ended_badly))
}

/// Runs to the end, or to the limit, and prints the report. The exit code tells
/// whether a promise was broken.
pub(crate) fn print_report(
    limit: Duration,
    run: impl Future<Output = Result<RunReport, RunError>>,
) -> miette::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().map_err(ReportError::Runtime)?;
    let report = runtime.block_on(async {
        let limited = tokio::time::timeout(limit, run);
        limited.await.unwrap_or(Err(RunError::TooLong(limit)))
    })?;
    println!("{}", serde_json::to_string_pretty(&report).map_err(ReportError::from)?);
    Ok(if report.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
