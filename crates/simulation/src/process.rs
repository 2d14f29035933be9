//! One control process: the real replica, storage and state, driven as the daemon drives them.

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

/// Why a process ends by itself.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// Storage failed; nothing may be acknowledged any more.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A snapshot that was stored or received can't be read.
    #[error(transparent)]
    Snapshot(#[from] SnapshotError),
    /// A committed command can't be read.
    #[error("the command at index {0} can't be decoded")]
    Command(Index),
}

/// How a process is set up.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Settings of the replica.
    pub replica: ReplicaConfig,
    /// Applied entries between snapshots.
    pub snapshot_every: u64,
    /// The planted fault, if any.
    pub planted: Option<Planted>,
}

/// What a process did.
#[derive(Debug, Default)]
pub struct Effects {
    /// Messages for other replicas.
    pub messages: Vec<Message>,
    /// Answers for clients.
    pub replies: Vec<(Call, Reply)>,
    /// Writes handed to the disk.
    pub writes: Vec<u64>,
    /// Entries applied to the state, with a checksum of their content.
    pub applied: Vec<(Position, u32)>,
}

/// A running control process.
#[derive(Debug)]
pub struct Process {
    replica: Replica,
    storage: Storage<SimulatedDisk>,
    state: Rc<ControlState>,
    options: ProcessOptions,
    /// Commands proposed here, by index, and who waits for the answer.
    waiting: BTreeMap<Index, (Term, Call)>,
    reads: BTreeMap<u64, Call>,
    next_read: u64,
    /// Writes acted on before they are saved: only with a planted fault.
    unsaved: VecDeque<Write>,
    clock_ms: u64,
}

impl Process {
    /// Starts from what storage kept.
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
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            unsaved: VecDeque::new(),
            clock_ms: 0,
        }
    }

    /// The replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The replica, for an operator's orders.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// The applied state.
    pub fn state(&self) -> &Rc<ControlState> {
        &self.state
    }

    /// Sets the machine's wall clock, in milliseconds since the Unix epoch.
    pub fn set_clock(&mut self, clock_ms: u64) {
        self.clock_ms = clock_ms;
    }

    /// Syncs the mark of the log.
    ///
    /// # Errors
    /// Fails when the disk does.
    pub fn seal(&mut self) -> Result<(), StorageError> {
        self.storage.sync_mark()
    }

    /// One tick has passed.
    pub fn tick(&mut self) {
        self.replica.tick();
    }

    /// A message has arrived.
    pub fn step(&mut self, message: Message) {
        self.replica.step(message);
    }

    /// The disk is done with a write.
    ///
    /// # Errors
    /// Fails when a write that was acted on early can't be saved.
    pub fn saved(&mut self, number: u64) -> Result<(), ProcessError> {
        while self.unsaved.front().is_some_and(|write| write.number <= number) {
            if let Some(write) = self.unsaved.pop_front() {
                self.storage.save(&write)?;
            }
        }
        self.replica.persisted(number);
        Ok(())
    }

    /// Takes a client's question; returns the answer if there is one at once.
    pub fn ask(&mut self, call: Call, request: Request) -> Option<Reply> {
        match request {
            Request::Propose(command) => self.propose(call, command),
            Request::Look => Some(Reply::State(Rc::clone(&self.state))),
            Request::Read if self.options.planted == Some(Planted::LocalRead) => {
                Some(Reply::State(Rc::clone(&self.state)))
            }
            Request::Read => self.read(call),
        }
    }

    fn refuse(&self) -> Option<Reply> {
        Some(Reply::Refused { leader: self.replica.status().leader_node() })
    }

    fn read(&mut self, call: Call) -> Option<Reply> {
        self.next_read += 1;
        if self.replica.read(self.next_read).is_err() {
            return self.refuse();
        }
        self.reads.insert(self.next_read, call);
        None
    }

    fn propose(&mut self, call: Call, command: Command) -> Option<Reply> {
        let command = self.stamp(command);
        if let Some(answer) = self.grant_early(&command) {
            self.replica.propose(to_bytes(&command)).ok();
            return Some(Reply::Answer(answer));
        }
        let Ok(Proposal { term, index }) = self.replica.propose(to_bytes(&command)) else {
            return self.refuse();
        };
        self.waiting.insert(index, (term, call));
        None
    }

    /// Grants a claim before the log has it, if that fault is planted.
    fn grant_early(&self, command: &Command) -> Option<Answer> {
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

    /// Puts this machine's time on a command.
    fn stamp(&self, mut command: Command) -> Command {
        match &mut command {
            Command::ChangeSettings { header, .. } | Command::Rollback { header, .. } => {
                header.at_ms = self.clock_ms;
            }
            Command::Claim { now, .. } => *now = self.clock_ms / 1_000,
            _ => {}
        }
        command
    }

    /// Does everything that the replica asks for.
    ///
    /// # Errors
    /// After an error the process must end.
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
                let call = self.reads.remove(&read.context);
                let reply = Reply::State(Rc::clone(&self.state));
                effects.replies.extend(call.map(|call| (call, reply)));
            }
            for context in ready.dropped_reads {
                let call = self.reads.remove(&context);
                let reply = Reply::Refused { leader: None };
                effects.replies.extend(call.map(|call| (call, reply)));
            }
            self.compact();
        }
    }

    fn save(&mut self, write: Write) -> Result<(), ProcessError> {
        if self.options.planted == Some(Planted::EarlyAcknowledgement) {
            self.replica.persisted(write.number);
            self.unsaved.push_back(write);
            return Ok(());
        }
        Ok(self.storage.save(&write)?)
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<(), ProcessError> {
        self.state = match snapshot.data.is_empty() {
            true => Rc::default(),
            false => Rc::new(ControlState::from_snapshot(&snapshot.data)?),
        };
        // What the snapshot covers comes out of the log no more; its askers ask again.
        self.waiting.retain(|index, _| *index > snapshot.meta.position.index);
        Ok(())
    }

    fn apply(&mut self, entry: Entry, effects: &mut Effects) -> Result<(), ProcessError> {
        let position = entry.position();
        effects.applied.push((position, snapshots::checksum(&entry.payload)));
        let waiting = self.waiting.remove(&position.index);
        let Payload::Data(data) = entry.payload else { return Ok(()) };
        let command = minicbor::decode(&data).map_err(|_| ProcessError::Command(position.index))?;
        let answer = Rc::make_mut(&mut self.state).apply(position.index, command);
        if let Some((term, call)) = waiting
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
