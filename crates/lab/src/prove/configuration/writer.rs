//! Writer that changes settings concurrently with others and resends writes.

use juniper_control_state::{Answer, Command, WriteAnswer, WriteHeader};
use juniper_settings::{ChangeSet, Edit, SettingsNode, SettingsPath};
use juniper_simulation::{Bench, MILLI, Micros, Reply, Request};
use juniper_types::{ChangeId, Revision, ZoneName};

use super::record::{Invocation, Record, Response, values_of};
use crate::prove::retrying_client::{RetryingClient, TimerEvent};

/// Number of keys, shared by all writers.
const KEYS: u64 = 4;

/// Maximum number of operations of a writer before the final phase.
const MAX_OPERATIONS: usize = 28;

const THINK_TIME: Micros = 1_200 * MILLI;

/// Phase of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Working,
    /// One more write must be accepted before the final read.
    LastWrite,
    LastRead,
    Done,
}

/// Simulated writer.
pub struct Writer {
    client: usize,
    requests: RetryingClient,
    /// Highest revision in an answer to this writer.
    known: Revision,
    /// Accepted writes of this writer, with their revisions.
    accepted: Vec<(Command, Revision)>,
    /// Pending operation: the command, if it is a new write, and the index in the record.
    current: Option<(Option<Command>, usize)>,
    operations: usize,
    phase: Phase,
}

impl Writer {
    /// Creates the writer with client number `client`.
    pub fn new(client: usize) -> Self {
        Writer {
            client,
            requests: RetryingClient::new(client),
            known: Revision::default(),
            accepted: Vec::new(),
            current: None,
            operations: 0,
            phase: Phase::Working,
        }
    }

    /// Schedules the first operation.
    pub fn start(&mut self, bench: &mut Bench) {
        self.schedule_next(bench);
    }

    /// Starts the final phase: one more accepted write and one read.
    pub fn finish(&mut self) {
        self.phase = Phase::LastWrite;
    }

    /// Whether the final phase is complete.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Done
    }

    fn schedule_next(&mut self, bench: &mut Bench) {
        let time = match self.phase {
            Phase::Working => bench.random.between(5 * MILLI, THINK_TIME),
            _ => bench.random.between(5 * MILLI, 200 * MILLI),
        };
        self.requests.schedule_next(bench, time);
    }

    /// Handles a timer: starts an operation, or abandons a pending one at random.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        match self.requests.on_timer(bench, token) {
            TimerEvent::ThinkTimeOver => self.start_operation(bench, record),
            TimerEvent::Resent if self.phase == Phase::Working && bench.random.chance(40) => {
                self.requests.abandon();
                self.current = None;
                self.schedule_next(bench);
            }
            _ => {}
        }
    }

    fn start_operation(&mut self, bench: &mut Bench, record: &mut Record) {
        self.operations += 1;
        match self.phase {
            Phase::Working if self.operations > MAX_OPERATIONS => self.schedule_next(bench),
            Phase::Working => match bench.random.between(0, 99) {
                0..35 => self.read(bench, record),
                35..45 => self.resend_accepted_write(bench, record),
                45..55 => self.roll_back(bench, record),
                _ => self.write(bench, record),
            },
            Phase::LastWrite => self.write(bench, record),
            Phase::LastRead => self.read(bench, record),
            Phase::Done => {}
        }
    }

    fn header(&self, bench: &mut Bench) -> WriteHeader {
        let id = ChangeId::new(format!("w{}-{}", self.client, self.operations));
        let id = id.unwrap_or_else(|error| unreachable!("a valid id: {error}"));
        // Some writes are based on a revision that is known to be stale.
        let stale = bench.random.chance(80);
        let base = if stale { Revision(self.known.0.saturating_sub(1)) } else { self.known };
        WriteHeader { base, change_id: id, author: format!("writer-{}", self.client), at_ms: 0 }
    }

    fn write(&mut self, bench: &mut Bench, record: &mut Record) {
        let header = self.header(bench);
        let path = key(bench.random.between(0, KEYS - 1));
        let mut node = SettingsNode::default();
        node.overrides.concurrency = Some((self.client * 1_000 + self.operations) as u32);
        let edit = match bench.random.chance(80) && header.base.0 > 0 {
            true => Edit::Remove { path },
            false => Edit::Put { path, node: Box::new(node) },
        };
        let change = ChangeSet { edits: vec![edit] };
        self.send(bench, record, Command::ChangeSettings { header, change });
    }

    fn roll_back(&mut self, bench: &mut Bench, record: &mut Record) {
        let header = self.header(bench);
        let to = Revision(bench.random.between(0, header.base.0));
        self.send(bench, record, Command::Rollback { header, to });
    }

    fn send(&mut self, bench: &mut Bench, record: &mut Record, command: Command) {
        let (Command::ChangeSettings { header, .. } | Command::Rollback { header, .. }) = &command
        else {
            return;
        };
        let invocation = Invocation::Write { id: header.change_id.clone(), base: header.base };
        bench.note(|| format!("writer {} sends {invocation:?}", self.client));
        self.current = Some((Some(command.clone()), record.record_invocation(invocation)));
        self.requests.send_new(bench, Request::Propose(command));
    }

    /// Resends an accepted write, as after a lost answer.
    fn resend_accepted_write(&mut self, bench: &mut Bench, record: &mut Record) {
        let Some((command, revision)) = bench.random.pick(&self.accepted) else {
            return self.read(bench, record);
        };
        bench.note(|| format!("writer {} resends the write of revision {revision}", self.client));
        self.current = Some((None, record.record_invocation(Invocation::Resend { revision })));
        self.requests.send_new(bench, Request::Propose(command));
    }

    fn read(&mut self, bench: &mut Bench, record: &mut Record) {
        bench.note(|| format!("writer {} reads", self.client));
        self.current = Some((None, record.record_invocation(Invocation::Read)));
        self.requests.send_new(bench, Request::Read);
    }

    /// Handles the answer to the pending operation.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        let Some(answer) = self.requests.on_reply(bench, token, reply) else { return };
        let Some((command, index)) = self.current.take() else { return };
        match answer {
            Reply::State(state) => {
                let revision = state.settings().revision();
                bench.note(|| format!("writer {} received revision {revision}", self.client));
                let values = values_of(state.settings().tree().tree());
                self.known = self.known.max(revision);
                record.record_response(index, Response::Read { revision, values });
                if self.phase == Phase::LastRead {
                    self.phase = Phase::Done;
                }
            }
            Reply::Answer(Answer::Write(answer)) => {
                bench.note(|| format!("writer {} received {answer:?}", self.client));
                self.apply_answer(&answer, command);
                record.record_response(index, Response::Write(answer));
            }
            _ => {}
        }
        self.schedule_next(bench);
    }

    fn apply_answer(&mut self, answer: &WriteAnswer, command: Option<Command>) {
        match answer {
            WriteAnswer::Accepted { revision } => {
                self.known = self.known.max(*revision);
                if let Some(command) = command {
                    self.accepted.push((command, *revision));
                    if self.phase == Phase::LastWrite {
                        self.phase = Phase::LastRead;
                    }
                }
            }
            WriteAnswer::Conflict { current, .. } => self.known = self.known.max(*current),
            _ => {}
        }
    }
}

fn key(number: u64) -> SettingsPath {
    let zone = ZoneName::new(format!("key-{number}"));
    SettingsPath::Zone(zone.unwrap_or_else(|error| unreachable!("a valid name: {error}")))
}
