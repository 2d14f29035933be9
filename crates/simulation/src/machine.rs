//! A machine: its disk, its clock and the control process on it.

use juniper_consensus::{DiskIdentity, Membership, ReplicaConfig, ReplicaId, Status};
use juniper_storage::{FormatError, OpenError, Storage, format};
use juniper_types::{NodeId, ZoneName};

use crate::disk::SimulatedDisk;
use crate::network::{Place, Zone};
use crate::planted::Planted;
use crate::process::{Process, ProcessOptions};
use crate::queue::{Micros, SECOND};
use crate::random::Random;

/// Wall clock of a correct machine at the start of a run, in milliseconds since
/// the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

/// Ordinary time of a sync.
const SYNC_TIME: Micros = 1_500;

/// One machine.
#[derive(Debug)]
pub struct Machine {
    /// Its node.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Who it is, with the disk that it has now.
    pub id: ReplicaId,
    /// The disk.
    pub disk: SimulatedDisk,
    /// The process, while it runs.
    pub process: Option<Process>,
    /// Counts the process's lives, so that events of an earlier one are dropped.
    pub life: u64,
    /// Whether the process stands still.
    pub frozen: bool,
    /// Whether the disk's synced data was damaged on purpose.
    pub damaged: bool,
    /// Time that a sync takes.
    pub sync_time: Micros,
    /// What the clock is wrong by, in milliseconds.
    pub clock_error_ms: i64,
    /// Last known standing of the replica.
    pub last_status: Option<Status>,
    options: ProcessOptions,
    random: Random,
}

/// Name of a zone.
pub fn zone_name(zone: Zone) -> ZoneName {
    let name = ZoneName::new(format!("zone-{zone}"));
    name.unwrap_or_else(|error| unreachable!("a valid name: {error}"))
}

/// The identity of a new disk of `node`.
pub fn new_identity(node: NodeId, random: &mut Random) -> ReplicaId {
    ReplicaId { node, disk: DiskIdentity::from_random(random.large_number()) }
}

impl Machine {
    /// A machine with an empty disk.
    pub fn new(id: ReplicaId, zone: Zone, options: ProcessOptions, mut random: Random) -> Self {
        Machine {
            node: id.node,
            zone,
            id,
            disk: SimulatedDisk::new(random.fork()),
            process: None,
            life: 0,
            frozen: false,
            damaged: false,
            sync_time: SYNC_TIME,
            clock_error_ms: 0,
            last_status: None,
            options,
            random,
        }
    }

    /// Voters that the leader keeps up.
    pub fn target_voters(&self) -> usize {
        self.options.replica.target_voters
    }

    /// Where it stands in the network.
    pub fn place(&self) -> Place {
        Place { zone: self.zone, node: Some(self.node) }
    }

    /// Formats the disk, for a new cluster or to join one.
    ///
    /// # Errors
    /// Fails when the disk does.
    pub fn format(&mut self, initial: Option<&Membership>) -> Result<(), FormatError> {
        format(&mut self.disk, self.id, initial)?;
        if self.options.planted == Some(Planted::NoSync) {
            self.disk.lie_about_syncs();
        }
        Ok(())
    }

    /// Puts an empty disk in the place of the one it has.
    ///
    /// # Errors
    /// Fails when the new disk does.
    pub fn replace_disk(&mut self) -> Result<(), FormatError> {
        if self.options.planted != Some(Planted::WipedDiskVotes) {
            self.id = new_identity(self.node, &mut self.random);
        }
        self.disk = SimulatedDisk::new(self.random.fork());
        self.damaged = false;
        self.last_status = None;
        self.format(None)
    }

    /// Starts the process.
    ///
    /// # Errors
    /// Fails when the data folder can't be opened.
    pub fn start(&mut self) -> Result<(), OpenError> {
        let (storage, restored) = Storage::open(self.disk.clone(), self.node)?;
        let replica = ReplicaConfig { id: self.id, ..self.options.replica.clone() };
        let options = ProcessOptions { replica, ..self.options.clone() };
        self.process = Some(Process::new(options, storage, restored, self.random.number()));
        self.life += 1;
        self.frozen = false;
        Ok(())
    }

    /// Ends the process. With `power`, what was not synced may be lost.
    pub fn stop(&mut self, power: bool) {
        if let Some(process) = self.process.take() {
            self.last_status = Some(process.replica().status());
        }
        self.life += 1;
        self.frozen = false;
        match power {
            true => self.disk.lose_power(),
            false => self.disk.end_process(),
        }
    }

    /// Where its replica stands, or stood when it ended.
    pub fn status(&self) -> Option<Status> {
        let running = self.process.as_ref().map(|process| process.replica().status());
        running.or_else(|| self.last_status.clone())
    }

    /// The machine's wall clock, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self, now: Micros) -> u64 {
        (START_MS + now / 1_000).saturating_add_signed(self.clock_error_ms)
    }

    /// Time that the next write takes.
    pub fn draw_sync_time(&mut self) -> Micros {
        self.random.between(self.sync_time / 2, self.sync_time.min(SECOND) * 2)
    }
}
