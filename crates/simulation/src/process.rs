//! Control process: the production replica, storage and state, driven in the same
//! order as in the control daemon.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use juniper_consensus::{
    Entry, Index, Message, Payload, Position, Proposal, Replica, ReplicaConfig, RestoredState,
    Snapshot, Term, Write,
};
use juniper_control_state::{Answer, Command, ControlState, SnapshotError, to_bytes};
use juniper_storage::{Storage, StorageError};
use juniper_types::ClaimAnswer;

use crate::disk::SimulatedDisk;
use crate::planted::Planted;
use crate::request::{Call, Reply, Request};
use crate::snapshots;

/// Error that ends a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// Storage failed, so no further write may be acknowledged.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A stored or received snapshot can't be decoded.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A committed command can't be decoded.
    #[error("cannot decode the command at index {0}")]
    Command(Index),
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Replica settings.
    pub replica: ReplicaConfig,
    /// Number of applied entries between snapshots.
    pub snapshot_every: u64,
    /// Planted fault, if any.
    pub planted: Option<Planted>,
}

/// Results of [`Process::run`].
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages to other replicas.
    pub messages: Vec<Message>,
    /// Replies to clients.
    pub replies: Vec<(Call, Reply)>,
    /// Numbers of the writes started on the disk.
    pub writes: Vec<u64>,
    /// Positions of applied entries, with a checksum of their payloads.
    pub applied: Vec<(Position, u32)>,
}

/// A running control process.
#[derive(Debug)]
pub struct Process {
    replica: Replica,
    storage: Storage<SimulatedDisk>,
    state: Rc<ControlState>,
    options: ProcessOptions,
    /// Calls that wait for a proposed command, by log index.
    pending_proposals: BTreeMap<Index, (Term, Call)>,
    /// Calls that wait for a linearizable read, by read context.
    pending_reads: BTreeMap<u64, Call>,
    last_read_context: u64,
    /// Writes acknowledged before they are saved, for [`Planted::EarlyAcknowledgement`].
    unsaved_writes: VecDeque<Write>,
    clock_ms: u64,
}

impl Process {
    /// Creates a process from the state restored by storage.
    pub fn new(
        options: ProcessOptions,
        storage: Storage<SimulatedDisk>,
        mut restored: RestoredState,
        seed: u64,
    ) -> Self {
        if options.planted == Some(Planted::VoteForgotten) {
            restored.hard_state.vote = None;
        }
        Process {
            replica: Replica::new(options.replica.clone(), restored, seed),
            storage,
            state: Rc::default(),
            options,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            last_read_context: 0,
            unsaved_writes: VecDeque::new(),
            clock_ms: 0,
        }
    }

    /// Consensus replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Mutable replica, for operator commands.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Control state with all applied entries.
    pub fn state(&self) -> &Rc<ControlState> {
        &self.state
    }

    /// Sets the wall clock, in milliseconds since the Unix epoch.
    pub fn set_clock(&mut self, clock_ms: u64) {
        self.clock_ms = clock_ms;
    }

    /// Syncs the log's mark, see [`Storage::sync_mark`].
    ///
    /// # Errors
    /// Fails when the disk does.
    pub fn seal(&mut self) -> Result<(), StorageError> {
        self.storage.sync_mark()
    }

    /// Advances the replica by one tick.
    pub fn tick(&mut self) {
        self.replica.tick();
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, message: Message) {
        self.replica.step(message);
    }

    /// Handles the completion of a disk write.
    ///
    /// # Errors
    /// Fails when a write that was acknowledged early can't be saved.
    pub fn complete_write(&mut self, number: u64) -> Result<(), ProcessError> {
        while self.unsaved_writes.front().is_some_and(|write| write.number <= number) {
            if let Some(write) = self.unsaved_writes.pop_front() {
                self.storage.save(&write)?;
            }
        }
        self.replica.persisted(number);
        Ok(())
    }

    /// Handles a client request; returns the reply if one is available immediately.
    pub fn handle_request(&mut self, call: Call, request: Request) -> Option<Reply> {
        match request {
            Request::Propose(command) => self.propose(call, command),
            Request::Look => Some(Reply::State(Rc::clone(&self.state))),
            Request::Read if self.options.planted == Some(Planted::LocalRead) => {
                Some(Reply::State(Rc::clone(&self.state)))
            }
            Request::Read => self.read(call),
        }
    }

    fn refusal(&self) -> Option<Reply> {
        Some(Reply::Refused { leader: self.replica.status().leader_node() })
    }

    fn read(&mut self, call: Call) -> Option<Reply> {
        self.last_read_context += 1;
        if self.replica.read(self.last_read_context).is_err() {
            return self.refusal();
        }
        self.pending_reads.insert(self.last_read_context, call);
        None
    }

    fn propose(&mut self, call: Call, command: Command) -> Option<Reply> {
        let command = self.set_timestamp(command);
        if let Some(answer) = self.grant_uncommitted_claim(&command) {
            self.replica.propose(to_bytes(&command)).ok();
            return Some(Reply::Answer(answer));
        }
        let Ok(Proposal { term, index }) = self.replica.propose(to_bytes(&command)) else {
            return self.refusal();
        };
        self.pending_proposals.insert(index, (term, call));
        None
    }

    /// Grants a claim without a committed entry, if such a fault is planted.
    fn grant_uncommitted_claim(&self, command: &Command) -> Option<Answer> {
        let is_leader = self.replica.is_leader();
        let planted = match self.options.planted {
            Some(Planted::GrantBeforeCommit) => is_leader,
            Some(Planted::GrantWithoutLog) => !is_leader,
            _ => false,
        };
        if !planted || !matches!(command, Command::Claim { .. }) {
            return None;
        }
        let mut state = ControlState::clone(&self.state);
        let answer = state.apply(self.state.applied() + 1, command.clone());
        (answer == Answer::Claim(ClaimAnswer::Granted)).then_some(answer)
    }

    /// Sets the timestamp of a command to the machine's wall clock.
    fn set_timestamp(&self, mut command: Command) -> Command {
        match &mut command {
            Command::ChangeSettings { header, .. } | Command::Rollback { header, .. } => {
                header.at_ms = self.clock_ms;
            }
            Command::Claim { now, .. } => *now = self.clock_ms / 1_000,
            _ => {}
        }
        command
    }

    /// Handles the replica's pending work until none is left.
    ///
    /// # Errors
    /// The process must end after any error.
    pub fn run(&mut self) -> Result<Effects, ProcessError> {
        let mut effects = Effects::default();
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                return Ok(effects);
            }
            if let Some(write) = ready.write {
                effects.writes.push(write.number);
                self.save(write)?;
            }
            effects.messages.extend(ready.messages);
            if let Some(snapshot) = ready.installed {
                self.install(&snapshot)?;
            }
            for entry in ready.committed {
                self.apply(entry, &mut effects)?;
            }
            for read in ready.reads {
                let call = self.pending_reads.remove(&read.context);
                let reply = Reply::State(Rc::clone(&self.state));
                effects.replies.extend(call.map(|call| (call, reply)));
            }
            for context in ready.dropped_reads {
                let call = self.pending_reads.remove(&context);
                let reply = Reply::Refused { leader: None };
                effects.replies.extend(call.map(|call| (call, reply)));
            }
            self.compact();
        }
    }

    fn save(&mut self, write: Write) -> Result<(), ProcessError> {
        if self.options.planted == Some(Planted::EarlyAcknowledgement) {
            self.replica.persisted(write.number);
            self.unsaved_writes.push_back(write);
            return Ok(());
        }
        Ok(self.storage.save(&write)?)
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), ProcessError> {
        self.state = match snapshot.data.is_empty() {
            true => Rc::default(),
            false => Rc::new(ControlState::from_snapshot(&snapshot.data)?),
        };
        // Entries covered by the snapshot won't be applied here; their clients retry.
        self.pending_proposals.retain(|index, _| *index > snapshot.meta.position.index);
        Ok(())
    }

    fn apply(&mut self, entry: Entry, effects: &mut Effects) -> Result<(), ProcessError> {
        let position = entry.position();
        effects.applied.push((position, snapshots::checksum(&entry.payload)));
        let pending = self.pending_proposals.remove(&position.index);
        let Payload::Data(data) = entry.payload else { return Ok(()) };
        let command = minicbor::decode(&data).map_err(|_| ProcessError::Command(position.index))?;
        let answer = Rc::make_mut(&mut self.state).apply(position.index, command);
        if let Some((term, call)) = pending
            && term == position.term
        {
            effects.replies.push((call, Reply::Answer(answer)));
        }
        Ok(())
    }

    fn compact(&mut self) {
        let status = self.replica.status();
        if status.applied < status.snapshot.index + self.options.snapshot_every {
            return;
        }
        let data = snapshots::encode(&self.state, self.options.planted);
        self.replica.compact(status.applied, data).ok();
    }
}
