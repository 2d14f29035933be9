//! Run of a fleet of processes under load and injected faults, with a report.

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

/// Minimum duration of the load, in seconds, that leaves time for the faults.
const MIN_SECONDS: u64 = 10;

/// Options common to all fleet runs.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Deployment profile of the fleet.
    pub profile: Profile,
    /// Seed of the load and of random faults.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Offered load as a share of the engines' capacity.
    pub load: f64,
    /// Folder for files, logs and data; a temporary one if `None`.
    pub folder: Option<PathBuf>,
}

impl RunOptions {
    /// Default options of a command, with a duration of `seconds` and an offered load of
    /// `load`.
    pub(crate) fn usual(seconds: u64, load: f64) -> Self {
        let duration = Duration::from_secs(seconds);
        RunOptions { profile: Profile::GraniteLedger, seed: 1, duration, load, folder: None }
    }

    /// Parses the value of the long option `name`.
    ///
    /// # Errors
    /// Fails when the option is unknown or the value is invalid.
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

/// Reason why a run failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// The folder can't be created.
    #[error("the folder can't be created")]
    Folder(#[source] std::io::Error),
    /// A fleet operation failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] FleetError),
    /// The load generator failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Load(#[from] LoadError),
    /// The run exceeded the time limit; all processes were stopped.
    #[error("the run took longer than {0:?}; all processes were stopped")]
    TooLong(Duration),
}

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests refused before execution.
    pub refused: u64,
    /// Requests with an incomplete answer or an unknown outcome.
    pub failed: u64,
    /// Violations found by the load generator, by engines and in the exit status of daemons.
    pub violations: u64,
    /// Share of prompt tokens that were cached.
    pub hit_rate: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// Injected faults in order of time.
    pub faults: Vec<FaultDone>,
    /// Invariant breaches recorded by the engines.
    pub breaches: WitnessReport,
    /// Daemons that exited with an error on a graceful shutdown.
    pub ended_badly: Vec<String>,
    /// Report of the load generator.
    pub load: LoadReport,
}

/// Injected fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FaultDone {
    /// Time since the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Description of the fault.
    pub fault: String,
}

impl RunReport {
    /// Combines the results of the load generator, the engines and the daemons.
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

/// Injected faults and the daemons that exited with an error on a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct FaultsDone {
    pub faults: Vec<FaultDone>,
    pub ended_badly: Vec<String>,
}

/// Starts a fleet, runs the load together with `make_faults`, and stops all processes.
///
/// # Errors
/// Fails when the fleet or the load generator fails. Violations are part of the report.
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

/// Runs `run` with a timeout of `limit` and prints the report. The exit code is a failure
/// if there were violations.
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
