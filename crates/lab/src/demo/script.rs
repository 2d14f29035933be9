//! Scripted faults of a demo.

use std::time::Duration;

use juniper_settings::BackEndKind;
use tokio::time::{Instant, sleep_until};

use crate::fleet::{Fleet, FleetError};
use crate::fleet_run::{FaultDone, FaultsDone};

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

/// Steps with their time in percent of the load's duration.
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

/// Executes the steps of the script at their times.
pub(super) async fn run_script(
    fleet: &mut Fleet,
    duration: Duration,
) -> Result<FaultsDone, FleetError> {
    let start = Instant::now();
    let mut done = FaultsDone::default();
    for (percent, step) in SCRIPT {
        sleep_until(start + duration * percent / 100).await;
        let at_ms = start.elapsed().as_millis() as u64;
        done.faults.push(FaultDone { at_ms, fault: step.describe().to_owned() });
        execute_step(fleet, step, &mut done).await?;
    }
    Ok(done)
}

async fn execute_step(
    fleet: &mut Fleet,
    step: Step,
    done: &mut FaultsDone,
) -> Result<(), FleetError> {
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
