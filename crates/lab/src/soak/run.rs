//! Injects the faults of a soak into a fleet of real processes.

use std::time::Duration;

use juniper_settings::BackEndKind;
use tokio::time::{Instant, sleep_until};

use super::plan::{Fault, Part, PlannedFault};
use crate::fleet::{Fleet, FleetError, ManagedProcess, Signal};
use crate::fleet_run::{FaultDone, FaultsDone};
use crate::proxy::LinkState;

/// Timeout for a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(60);

/// Start or end of a planned fault.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(PlannedFault),
    End(PlannedFault),
}

impl Step {
    fn time(&self) -> Duration {
        match self {
            Step::Begin(planned) => planned.at,
            Step::End(planned) => planned.until,
        }
    }
}

/// Injects and ends every fault of the plan at its scheduled time.
pub(super) async fn inject_faults(
    fleet: &mut Fleet,
    plan: &[PlannedFault],
) -> Result<FaultsDone, FleetError> {
    let begins = plan.iter().map(|planned| Step::Begin(*planned));
    let ends = plan.iter().map(|planned| Step::End(*planned));
    let mut steps: Vec<Step> = begins.chain(ends).collect();
    steps.sort_by_key(Step::time);
    let start = Instant::now();
    let mut done = FaultsDone::default();
    for step in steps {
        sleep_until(start + step.time()).await;
        let at_ms = start.elapsed().as_millis() as u64;
        match step {
            Step::Begin(planned) => {
                begin_fault(fleet, planned)?;
                done.faults.push(FaultDone { at_ms, fault: describe(planned) });
            }
            Step::End(planned) => {
                let succeeded = end_fault(fleet, planned).await?;
                if !succeeded {
                    done.ended_badly.push(describe(planned));
                }
                let fault = format!("over: {}", describe(planned));
                done.faults.push(FaultDone { at_ms, fault });
            }
        }
    }
    Ok(done)
}

fn describe(planned: PlannedFault) -> String {
    format!("{:?} of {:?} {}", planned.fault, planned.part, planned.place)
}

fn process(fleet: &mut Fleet, planned: PlannedFault) -> Result<&mut ManagedProcess, FleetError> {
    match planned.part {
        Part::Engines => fleet.back_end_process(BackEndKind::Engine, planned.place),
        Part::Routers => fleet.router_process(planned.place),
        Part::Control => fleet.control_process(planned.place),
        Part::Links => Err(FleetError::NoSuch("process of a link".to_owned())),
    }
}

fn begin_fault(fleet: &mut Fleet, planned: PlannedFault) -> Result<(), FleetError> {
    match planned.fault {
        Fault::Cut => fleet.set_last_zone(LinkState::Cut),
        Fault::AnswersLost => fleet.set_last_zone(LinkState::AnswersLost),
        Fault::Kill => process(fleet, planned)?.kill(),
        Fault::PlannedStop => process(fleet, planned)?.signal(Signal::Terminate)?,
        Fault::Freeze => process(fleet, planned)?.signal(Signal::Stop)?,
    }
    Ok(())
}

/// Ends a fault. Returns false if a graceful shutdown didn't exit with success.
async fn end_fault(fleet: &mut Fleet, planned: PlannedFault) -> Result<bool, FleetError> {
    match planned.fault {
        Fault::Cut | Fault::AnswersLost => fleet.set_last_zone(LinkState::Whole),
        Fault::Kill => process(fleet, planned)?.restart()?,
        Fault::Freeze => process(fleet, planned)?.signal(Signal::Continue)?,
        Fault::PlannedStop => {
            let process = process(fleet, planned)?;
            let succeeded = process.ended(SHUTDOWN_TIMEOUT).await?.success();
            process.restart()?;
            return Ok(succeeded);
        }
    }
    Ok(true)
}
