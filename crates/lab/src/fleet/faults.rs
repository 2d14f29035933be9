//! What a fleet is put through.

use std::process::ExitStatus;
use std::time::Duration;

use juniper_emulators::http::report::WitnessReport;
use juniper_settings::BackEndKind;

use super::process::{ManagedProcess, Signal};
use super::{BackEndProcess, Fleet, FleetError};

/// Longest time that a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(90);

impl Fleet {
    fn back_end(
        &mut self,
        kind: BackEndKind,
        place: usize,
    ) -> Result<&mut BackEndProcess, FleetError> {
        let mut of_kind = self.back_ends.iter_mut().filter(|b| b.entry.kind == kind);
        of_kind.nth(place).ok_or_else(|| FleetError::NoSuch(format!("{kind:?} {place}")))
    }

    /// The process of the engine, application or preview server number `place`, from zero.
    ///
    /// # Errors
    /// Fails when there is none.
    pub fn back_end_process(
        &mut self,
        kind: BackEndKind,
        place: usize,
    ) -> Result<&mut ManagedProcess, FleetError> {
        Ok(&mut self.back_end(kind, place)?.process)
    }

    /// The process of router number `place`, from zero.
    ///
    /// # Errors
    /// Fails when there is none.
    pub fn router_process(&mut self, place: usize) -> Result<&mut ManagedProcess, FleetError> {
        let router = self.routers.get_mut(place);
        router.map(|r| &mut r.process).ok_or_else(|| FleetError::NoSuch(format!("router {place}")))
    }

    /// The process of control replica number `place`, from zero.
    ///
    /// # Errors
    /// Fails when there is none.
    pub fn control_process(&mut self, place: usize) -> Result<&mut ManagedProcess, FleetError> {
        let control = self.control.get_mut(place);
        control
            .map(|c| &mut c.process)
            .ok_or_else(|| FleetError::NoSuch(format!("control replica {place}")))
    }

    /// Starts a back end again and waits until it serves.
    ///
    /// # Errors
    /// Fails when it doesn't in time.
    pub async fn restart_back_end(
        &mut self,
        kind: BackEndKind,
        place: usize,
    ) -> Result<(), FleetError> {
        let back_end = self.back_end(kind, place)?;
        back_end.process.restart()?;
        let address = back_end.entry.address;
        self.operator.wait_for(address, "/healthz").await
    }

    /// Starts a router again and waits until it serves.
    ///
    /// # Errors
    /// Fails when it doesn't in time.
    pub async fn restart_router(&mut self, place: usize) -> Result<(), FleetError> {
        self.router_process(place)?.restart()?;
        let address = self.routers[place].node.operator;
        self.operator.wait_for(address, "/readyz").await
    }

    /// Stops a router as planned and waits until it has ended.
    ///
    /// # Errors
    /// Fails when it doesn't end in time.
    pub async fn stop_router(&mut self, place: usize) -> Result<ExitStatus, FleetError> {
        let process = self.router_process(place)?;
        process.signal(Signal::Terminate)?;
        process.ended(STOP_LIMIT).await
    }

    /// Marks an engine as leaving in the tree, once all routers know that, tells
    /// the engine itself: from then on it counts new work as a breach after its grace.
    ///
    /// # Errors
    /// Fails when the change is refused or the engine doesn't answer.
    pub async fn drain_engine(&mut self, place: usize) -> Result<(), FleetError> {
        let engine = self.back_end(BackEndKind::Engine, place)?.entry.clone();
        let mut edits = Vec::new();
        for zone in &mut self.zones {
            let entry = zone.back_ends.iter_mut().find(|entry| entry.id == engine.id);
            if let Some(entry) = entry {
                entry.leaving = true;
                edits.push(zone.edit());
            }
        }
        self.change("drain", edits).await?;
        self.operator.leave(engine.address).await
    }

    /// Tells only the engine that its machine is about to be taken away.
    ///
    /// # Errors
    /// Fails when it doesn't answer.
    pub async fn announce_leaving(&mut self, place: usize) -> Result<(), FleetError> {
        let address = self.back_end(BackEndKind::Engine, place)?.entry.address;
        self.operator.leave(address).await
    }

    /// What one engine has seen of broken invariants, and what it has done.
    ///
    /// # Errors
    /// Fails when it doesn't answer.
    pub async fn engine_witness(&mut self, place: usize) -> Result<WitnessReport, FleetError> {
        let address = self.back_end(BackEndKind::Engine, place)?.entry.address;
        self.operator.witness(address).await
    }

    /// Breaches that the engines which now run have seen.
    ///
    /// # Errors
    /// Fails when one doesn't answer.
    pub async fn witnesses(&mut self) -> Result<WitnessReport, FleetError> {
        let mut sum = WitnessReport::default();
        for back_end in &mut self.back_ends {
            let is_engine = back_end.entry.kind == BackEndKind::Engine;
            if !is_engine || !back_end.process.is_running() {
                continue;
            }
            let report = self.operator.witness(back_end.entry.address).await?;
            sum.total += report.total;
            for (kind, count) in report.counts {
                *sum.counts.entry(kind).or_default() += count;
            }
            sum.described.extend(report.described);
        }
        Ok(sum)
    }

    /// Stops every router and control replica as planned; returns those that
    /// did not end well.
    ///
    /// # Errors
    /// Fails when one doesn't end in time.
    pub async fn stop_daemons(&mut self) -> Result<Vec<String>, FleetError> {
        let routers = self.routers.iter_mut().map(|router| &mut router.process);
        let mut ended_badly = stop_all(routers).await?;
        let control = self.control.iter_mut().map(|control| &mut control.process);
        ended_badly.extend(stop_all(control).await?);
        Ok(ended_badly)
    }
}

async fn stop_all<'a>(
    processes: impl Iterator<Item = &'a mut ManagedProcess>,
) -> Result<Vec<String>, FleetError> {
    let mut running: Vec<_> = Vec::new();
    for process in processes {
        if process.is_running() {
            process.signal(Signal::Terminate)?;
            running.push(process);
        }
    }
    let mut ended_badly = Vec::new();
    for process in running {
        if !process.ended(STOP_LIMIT).await?.success() {
            ended_badly.push(process.name().to_owned());
        }
    }
    Ok(ended_badly)
}
