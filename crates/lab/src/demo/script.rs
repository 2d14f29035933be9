//! The faults of a demo, one after the other, while the load runs.

use std::path::PathBuf;
use std::time::Duration;

use juniper_emulators::http::application::WORK_TIME;
use juniper_emulators::trace::Profile;
use juniper_settings::BackEndKind;
use tokio::time::{Instant, sleep_until};

use super::{DemoError, DemoReport, FaultDone};
use crate::fleet::{Binaries, Fleet, FleetError, FleetOptions, FleetSizes};
use crate::load::arguments::{complete, default_options};
use crate::load::run_load;
use crate::trace::fleet_trace;

/// What a demo does.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Deployment that the fleet is modelled on.
    pub profile: Profile,
    /// Seed of the load.
    pub seed: u64,
    /// Time of load.
    pub duration: Duration,
    /// Share of what the engines can serve.
    pub load: f64,
    /// Numbers of processes.
    pub sizes: FleetSizes,
    /// Folder to keep; a temporary one otherwise.
    pub folder: Option<PathBuf>,
}

/// Steps of the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    KillEngine,
    KillRouter,
    RestartBoth,
    DrainEngine,
    StopRouter,
    StartRouter,
}

/// When each step is done, in percent of the load's time.
const SCRIPT: [(u32, Step); 6] = [
    (20, Step::KillEngine),
    (30, Step::KillRouter),
    (45, Step::RestartBoth),
    (55, Step::DrainEngine),
    (70, Step::StopRouter),
    (85, Step::StartRouter),
];

impl Step {
    fn describe(self) -> &'static str {
        match self {
            Step::KillEngine => "kill -9 of an engine",
            Step::KillRouter => "kill -9 of a router",
            Step::RestartBoth => "engine and router started again",
            Step::DrainEngine => "engine drained",
            Step::StopRouter => "planned stop of a router",
            Step::StartRouter => "router started again",
        }
    }
}

/// Runs the whole demo and stops everything it started.
///
/// # Errors
/// Fails when the fleet or the load can't be run; broken promises are in the report.
pub async fn run_demo(options: DemoOptions) -> Result<DemoReport, DemoError> {
    let temporary = tempfile::tempdir().map_err(DemoError::Folder)?;
    let folder = options.folder.unwrap_or_else(|| temporary.path().to_owned());
    std::fs::create_dir_all(&folder).map_err(DemoError::Folder)?;
    let engines = options.sizes.engines;
    let trace = fleet_trace(options.profile, options.seed, options.load, engines, options.duration)
        .map_err(FleetError::from)?;
    let mut fleet = Fleet::start(FleetOptions {
        binaries: Binaries::beside_this_program()?,
        folder,
        profile: options.profile,
        sizes: options.sizes,
        application_work: WORK_TIME,
        cuttable: false,
    })
    .await?;
    let mut load = default_options();
    load.routers = fleet.router_targets();
    load.executions = fleet.execution_sources();
    let load = complete(load).map_err(|_| FleetError::NoSuch("router".to_owned()))?;
    let (report, done) =
        tokio::join!(run_load(&trace, load), run_script(&mut fleet, options.duration));
    let (report, done) = (report?, done?);
    let breaches = fleet.witnesses().await?;
    let mut ended_badly = done.ended_badly;
    ended_badly.extend(fleet.stop_daemons().await?);
    Ok(DemoReport::new(report, breaches, done.faults, ended_badly))
}

/// What the script has done and seen.
#[derive(Default)]
struct Done {
    faults: Vec<FaultDone>,
    ended_badly: Vec<String>,
}

async fn run_script(fleet: &mut Fleet, duration: Duration) -> Result<Done, FleetError> {
    let start = Instant::now();
    let mut done = Done::default();
    for (percent, step) in SCRIPT {
        sleep_until(start + duration * percent / 100).await;
        let at_ms = start.elapsed().as_millis() as u64;
        done.faults.push(FaultDone { at_ms, fault: step.describe().to_owned() });
        do_step(fleet, step, &mut done).await?;
    }
    Ok(done)
}

async fn do_step(fleet: &mut Fleet, step: Step, done: &mut Done) -> Result<(), FleetError> {
    match step {
        Step::KillEngine => fleet.back_end_process(BackEndKind::Engine, 0)?.kill(),
        Step::KillRouter => fleet.router_process(0)?.kill(),
        Step::RestartBoth => {
            fleet.restart_back_end(BackEndKind::Engine, 0).await?;
            fleet.restart_router(0).await?;
        }
        Step::DrainEngine => fleet.drain_engine(1).await?,
        Step::StopRouter => {
            if !fleet.stop_router(1).await?.success() {
                done.ended_badly.push("router stopped as planned".to_owned());
            }
        }
        Step::StartRouter => fleet.restart_router(1).await?,
    }
    Ok(())
}
