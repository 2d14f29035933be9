//! A writer: automation that rewrites settings, races with others and resends.

use juniper_control_state::{Answer, Command, WriteAnswer, WriteHeader};
use juniper_settings::{ChangeSet, Edit, SettingsNode, SettingsPath};
use juniper_simulation::{Bench, MILLI, Micros, Reply, Request};
use juniper_types::{ChangeId, Revision, ZoneName};

use super::record::{Answered, Asked, Record, values_of};
use crate::prove::asker::{Asker, Wake};

/// Keys that all writers share.
const KEYS: u64 = 4;

/// Operations of a writer before it only finishes.
const MAX_OPERATIONS: usize = 28;

const THINK_TIME: Micros = 1_200 * MILLI;

/// How far a writer is with finishing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Working,
    /// One more write has to be accepted, then one read made.
    LastWrite,
    LastRead,
    Done,
}

/// One writer.
pub struct Writer {
    client: usize,
    asker: Asker,
    known: Revision,
    /// Writes of its own that were accepted.
    accepted: Vec<(Command, Revision)>,
    /// The command and the place in the record of the operation under way.
    current: Option<(Option<Command>, usize)>,
    operations: usize,
    phase: Phase,
}

impl Writer {
    /// The writer that is client number `client`.
    pub fn new(client: usize) -> Self {
        Writer {
            client,
            asker: Asker::new(client),
            known: Revision::default(),
            accepted: Vec::new(),
            current: None,
            operations: 0,
            phase: Phase::Working,
        }
    }

    /// Begins.
    pub fn start(&mut self, bench: &mut Bench) {
        self.pause(bench);
    }

    /// Asks for the end: one more accepted write and one read.
    pub fn finish(&mut self) {
        self.phase = Phase::LastWrite;
    }

    /// Whether the end is reached.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Done
    }

    fn pause(&mut self, bench: &mut Bench) {
        let time = match self.phase {
            Phase::Working => bench.random.between(5 * MILLI, THINK_TIME),
            _ => bench.random.between(5 * MILLI, 200 * MILLI),
        };
        self.asker.think(bench, time);
    }

    /// A timer is due.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        match self.asker.on_timer(bench, token) {
            Wake::Think => self.begin(bench, record),
            Wake::Resent if self.phase == Phase::Working && bench.random.chance(40) => {
                self.asker.give_up();
                self.current = None;
                self.pause(bench);
            }
            _ => {}
        }
    }

    fn begin(&mut self, bench: &mut Bench, record: &mut Record) {
        self.operations += 1;
        match self.phase {
            Phase::Working if self.operations > MAX_OPERATIONS => self.pause(bench),
            Phase::Working => match bench.random.between(0, 99) {
                0..35 => self.read(bench, record),
                35..45 => self.send_again(bench, record),
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
        // Now and then a writer builds on a revision that it should know is old.
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
        let asked = Asked::Write { id: header.change_id.clone(), base: header.base };
        bench.note(|| format!("writer {} asks {asked:?}", self.client));
        self.current = Some((Some(command.clone()), record.call(asked)));
        self.asker.ask(bench, Request::Propose(command));
    }

    /// Sends an accepted write once more, as automation does that lost the answer.
    fn send_again(&mut self, bench: &mut Bench, record: &mut Record) {
        let Some((command, revision)) = bench.random.pick(&self.accepted) else {
            return self.read(bench, record);
        };
        bench.note(|| format!("writer {} sends {revision} again", self.client));
        self.current = Some((None, record.call(Asked::Again { revision })));
        self.asker.ask(bench, Request::Propose(command));
    }

    fn read(&mut self, bench: &mut Bench, record: &mut Record) {
        bench.note(|| format!("writer {} reads", self.client));
        self.current = Some((None, record.call(Asked::Read)));
        self.asker.ask(bench, Request::Read);
    }

    /// An answer has arrived.
    pub fn on_reply(&mut self, bench: &mut Bench, token: u64, reply: Reply, record: &mut Record) {
        let Some(answer) = self.asker.on_reply(bench, token, reply) else { return };
        let Some((command, place)) = self.current.take() else { return };
        match answer {
            Reply::State(state) => {
                let revision = state.settings().revision();
                bench.note(|| format!("writer {} has read {revision}", self.client));
                let values = values_of(state.settings().tree().tree());
                self.known = self.known.max(revision);
                record.response(place, Answered::Read { revision, values });
                if self.phase == Phase::LastRead {
                    self.phase = Phase::Done;
                }
            }
            Reply::Answer(Answer::Write(answer)) => {
                bench.note(|| format!("writer {} is told {answer:?}", self.client));
                self.learn(&answer, command);
                record.response(place, Answered::Write(answer));
            }
            _ => {}
        }
        self.pause(bench);
    }

    fn learn(&mut self, answer: &WriteAnswer, command: Option<Command>) {
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
