//! Faults and maintenance operations on a running fleet.

use std::process::ExitStatus;
use std::time::Duration;

use juniper_emulators::http::report::WitnessReport;
use juniper_settings::BackEndKind;

use super::process::{ManagedProcess, Signal};
use super::{BackEndProcess, Fleet, FleetError};

/// Timeout of a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(90);

impl Fleet {
    fn back_end(
        &mut self,
        kind: BackEndKind,
        place: usize,
    ) -> Result<&mut BackEndProcess, FleetError> {
        let mut of_kind = self.back_ends.iter_mut().filter(|b| b.entry.kind == kind);
        of_kind.nth(place).ok_or_else(|| FleetError::NoSuch(format!("{kind:?} {place}")))
    }

    /// Returns the process of back end number `place` of `kind`, from zero.
    ///
    /// # Errors
    /// Fails when the fleet has no such process.
    pub fn back_end_process(
        &mut self,
        kind: BackEndKind,
        place: usize,
    ) -> Result<&mut ManagedProcess, FleetError> {
        Ok(&mut self.back_end(kind, place)?.process)
    }

    /// Returns the process of router number `place`, from zero.
    ///
    /// # Errors
    /// Fails when the fleet has no such process.
    pub fn router_process(&mut self, place: usize) -> Result<&mut ManagedProcess, FleetError> {
        let router = self.routers.get_mut(place);
        router.map(|r| &mut r.process).ok_or_else(|| FleetError::NoSuch(format!("router {place}")))
    }

    /// Returns the process of control replica number `place`, from zero.
    ///
    /// # Errors
    /// Fails when the fleet has no such process.
    pub fn control_process(&mut self, place: usize) -> Result<&mut ManagedProcess, FleetError> {
        let control = self.control.get_mut(place);
        control
            .map(|c| &mut c.process)
            .ok_or_else(|| FleetError::NoSuch(format!("control replica {place}")))
    }

    /// Restarts a back end and waits until the process is healthy.
    ///
    /// # Errors
    /// Fails when the process can't be started or doesn't serve in time.
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

    /// Restarts a router and waits until the process is ready.
    ///
    /// # Errors
    /// Fails when the process can't be started or doesn't serve in time.
    pub async fn restart_router(&mut self, place: usize) -> Result<(), FleetError> {
        self.router_process(place)?.restart()?;
        let address = self.routers[place].node.operator;
        self.operator.wait_for(address, "/readyz").await
    }

    /// Shuts a router down gracefully and waits until the process has exited.
    ///
    /// # Errors
    /// Fails when the process doesn't exit in time.
    pub async fn stop_router(&mut self, place: usize) -> Result<ExitStatus, FleetError> {
        let process = self.router_process(place)?;
        process.signal(Signal::Terminate)?;
        process.ended(SHUTDOWN_TIMEOUT).await
    }

    /// Marks an engine as leaving in the settings tree, then announces the departure to the
    /// engine, which counts new requests after a grace period as breaches.
    ///
    /// # Errors
    /// Fails when the change is refused or the request to the engine fails.
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
        self.operator.announce_departure(engine.address).await
    }

    /// Announces to an engine, without a settings change, that its host is about to be
    /// removed.
    ///
    /// # Errors
    /// Fails when the request to the engine fails.
    pub async fn announce_leaving(&mut self, place: usize) -> Result<(), FleetError> {
        let address = self.back_end(BackEndKind::Engine, place)?.entry.address;
        self.operator.announce_departure(address).await
    }

    /// Fetches the invariant breaches recorded by one engine.
    ///
    /// # Errors
    /// Fails when the request to the engine fails.
    pub async fn engine_witness(&mut self, place: usize) -> Result<WitnessReport, FleetError> {
        let address = self.back_end(BackEndKind::Engine, place)?.entry.address;
        self.operator.witness(address).await
    }

    /// Sums up the invariant breaches recorded by all running engines.
    ///
    /// # Errors
    /// Fails when the request to an engine fails.
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

    /// Shuts all routers and control replicas down gracefully. Returns the names of the
    /// processes that exited with an error.
    ///
    /// # Errors
    /// Fails when a process doesn't exit in time.
    pub async fn stop_daemons(&mut self) -> Result<Vec<String>, FleetError> {
        let routers = self.routers.iter_mut().map(|router| &mut router.process);
        let mut ended_badly = shut_down_all(routers).await?;
        let control = self.control.iter_mut().map(|control| &mut control.process);
        ended_badly.extend(shut_down_all(control).await?);
        Ok(ended_badly)
    }
}

async fn shut_down_all<'a>(
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
        if !process.ended(SHUTDOWN_TIMEOUT).await?.success() {
            ended_badly.push(process.name().to_owned());
        }
    }
    Ok(ended_badly)
}
