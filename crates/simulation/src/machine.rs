//! Simulated machine with a disk, a clock and a control process.

use juniper_consensus::{DiskIdentity, Membership, ReplicaConfig, ReplicaId, Status};
use juniper_storage::{FormatError, OpenError, Storage, format};
use juniper_types::{NodeId, ZoneName};

use crate::disk::SimulatedDisk;
use crate::network::{Endpoint, Zone};
use crate::planted::Planted;
use crate::process::{Process, ProcessOptions};
use crate::queue::{Micros, SECOND};
use crate::random::Random;

/// Correct wall clock time at the start of a run, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;

/// Default duration of a sync.
const SYNC_TIME: Micros = 1_500;

/// Simulated machine.
#[derive(Debug)]
pub struct Machine {
    /// Node name.
    pub node: NodeId,
    /// Zone number.
    pub zone: Zone,
    /// Replica identity: the node and its present disk.
    pub id: ReplicaId,
    /// Simulated disk.
    pub disk: SimulatedDisk,
    /// Running process, if any.
    pub process: Option<Process>,
    /// Incarnation of the process; events of earlier incarnations are dropped.
    pub incarnation: u64,
    /// Whether the process is suspended.
    pub frozen: bool,
    /// Whether a fault damaged synced data on the disk.
    pub damaged: bool,
    /// Typical duration of a sync.
    pub sync_time: Micros,
    /// Offset of the wall clock from the correct time, in milliseconds.
    pub clock_error_ms: i64,
    /// Status of the replica when its process last stopped.
    pub last_status: Option<Status>,
    options: ProcessOptions,
    random: Random,
}

/// Converts a zone number to a zone name.
pub fn zone_name(zone: Zone) -> ZoneName {
    let name = ZoneName::new(format!("zone-{zone}"));
    name.unwrap_or_else(|error| unreachable!("zone name is invalid: {error}"))
}

/// Draws a replica identity for a new disk of `node`.
pub fn new_identity(node: NodeId, random: &mut Random) -> ReplicaId {
    ReplicaId { node, disk: DiskIdentity::from_random(random.large_number()) }
}

impl Machine {
    /// Creates a machine with an empty disk.
    pub fn new(id: ReplicaId, zone: Zone, options: ProcessOptions, mut random: Random) -> Self {
        Machine {
            node: id.node,
            zone,
            id,
            disk: SimulatedDisk::new(random.fork()),
            process: None,
            incarnation: 0,
            frozen: false,
            damaged: false,
            sync_time: SYNC_TIME,
            clock_error_ms: 0,
            last_status: None,
            options,
            random,
        }
    }

    /// Number of voters that the leader maintains.
    pub fn target_voters(&self) -> usize {
        self.options.replica.target_voters
    }

    /// Network endpoint of the machine.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint { zone: self.zone, node: Some(self.node) }
    }

    /// Formats the disk with the initial membership of a new cluster, or with `None` to join one.
    ///
    /// # Errors
    /// Fails when the disk does.
    pub fn format(&mut self, initial: Option<&Membership>) -> Result<(), FormatError> {
        format(&mut self.disk, self.id, initial)?;
        if self.options.planted == Some(Planted::NoSync) {
            self.disk.ignore_syncs();
        }
        Ok(())
    }

    /// Replaces the disk with a newly formatted one.
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

    /// Starts a process on the machine.
    ///
    /// # Errors
    /// Fails when the data folder can't be opened.
    pub fn start(&mut self) -> Result<(), OpenError> {
        let (storage, restored) = Storage::open(self.disk.clone(), self.node)?;
        let replica = ReplicaConfig { id: self.id, ..self.options.replica.clone() };
        let options = ProcessOptions { replica, ..self.options.clone() };
        self.process = Some(Process::new(options, storage, restored, self.random.number()));
        self.incarnation += 1;
        self.frozen = false;
        Ok(())
    }

    /// Stops the process. With `power_lost`, unsynced data may be lost.
    pub fn stop(&mut self, power_lost: bool) {
        if let Some(process) = self.process.take() {
            self.last_status = Some(process.replica().status());
        }
        self.incarnation += 1;
        self.frozen = false;
        match power_lost {
            true => self.disk.lose_power(),
            false => self.disk.end_process(),
        }
    }

    /// Status of the running replica, or its last status before the process stopped.
    pub fn status(&self) -> Option<Status> {
        let running = self.process.as_ref().map(|process| process.replica().status());
        running.or_else(|| self.last_status.clone())
    }

    /// Wall clock at virtual time `now`, in milliseconds since the Unix epoch.
    pub fn clock_ms(&self, now: Micros) -> u64 {
        (START_MS + now / 1_000).saturating_add_signed(self.clock_error_ms)
    }

    /// Draws the duration of the next write.
    pub fn draw_sync_time(&mut self) -> Micros {
        self.random.between(self.sync_time / 2, self.sync_time.min(SECOND) * 2)
    }
}
