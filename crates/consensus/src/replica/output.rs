//! What the replica wants done, gathered until its driver asks.

use std::mem;

use super::{Replica, State};
use crate::entry::{Position, Snapshot};
use crate::identity::ReplicaId;
use crate::message::{Body, Message};
use crate::ready::{Ready, Write};

/// The write that storage works on.
#[derive(Clone, Debug)]
struct InFlight {
    number: u64,
    /// Last entry in it.
    last: Option<Position>,
    /// A leader's snapshot in it, which the state machine gets afterwards.
    installed: Option<Snapshot>,
}

/// Work and messages that wait for the driver or for storage.
#[derive(Clone, Debug, Default)]
pub(super) struct Output {
    last_number: u64,
    in_flight: Option<InFlight>,
    /// The hard state differs from what storage was handed.
    hard_state_changed: bool,
    /// Snapshot for the next write.
    snapshot: Option<Snapshot>,
    /// Whether that snapshot came from a leader.
    snapshot_is_foreign: bool,
    /// Messages that may go now.
    messages: Vec<Message>,
    /// Messages that wait for the write with the number.
    held: Vec<(u64, Message)>,
    /// Snapshot for the state machine.
    installed: Option<Snapshot>,
}

impl Output {
    /// Output of a replica whose state machine starts from `installed`.
    pub(super) fn starting_from(installed: Option<Snapshot>) -> Self {
        Output { installed, ..Output::default() }
    }

    /// Drops everything: a stopped replica says nothing more.
    pub(super) fn discard(&mut self) {
        *self = Output { last_number: self.last_number, ..Output::default() };
    }

    /// The hard state must be written again.
    pub(super) fn change_hard_state(&mut self) {
        self.hard_state_changed = true;
    }

    /// Keeps `snapshot` with the next write. `is_foreign` says that it came from a
    /// leader and replaces the state machine.
    pub(super) fn keep_snapshot(&mut self, snapshot: Snapshot, is_foreign: bool) {
        self.snapshot = Some(snapshot);
        self.snapshot_is_foreign = is_foreign;
    }

    /// Whether a leader's snapshot has yet to replace the state machine.
    pub(super) fn is_installing(&self) -> bool {
        let in_flight = || self.in_flight.as_ref().is_some_and(|write| write.installed.is_some());
        self.snapshot_is_foreign || in_flight()
    }
}

impl Replica {
    /// Sends a message that relies on nothing that isn't on disk.
    pub(super) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.output.messages.push(message);
    }

    /// Sends a message once everything that has happened so far is on disk.
    ///
    /// Guards against a crash after which the replica would have forgotten a
    /// vote or an entry that it has told others about.
    pub(super) fn send_when_durable(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        let waits_for = if self.has_unwritten() {
            Some(self.output.last_number + 1)
        } else {
            self.output.in_flight.as_ref().map(|write| write.number)
        };
        match waits_for {
            Some(number) => self.output.held.push((number, message)),
            None => self.output.messages.push(message),
        }
    }

    /// Sends a message as it is.
    pub(super) fn send_raw(&mut self, message: Message) {
        self.output.messages.push(message);
    }

    pub(super) fn message(&self, to: ReplicaId, body: Body) -> Message {
        Message {
            from: self.id(),
            to: to.node,
            to_disk: Some(to.disk),
            epoch: self.hard_state.epoch,
            term: self.term(),
            body,
        }
    }

    fn has_unwritten(&self) -> bool {
        let output = &self.output;
        output.hard_state_changed || output.snapshot.is_some() || self.log.has_unhanded()
    }

    pub(super) fn take_ready(&mut self) -> Ready {
        let write = self.next_write();
        let installed = self.output.installed.take();
        let committed = self.next_committed();
        let (reads, dropped_reads) = self.finished_reads();
        let messages = mem::take(&mut self.output.messages);
        Ready { write, messages, installed, committed, reads, dropped_reads }
    }

    fn next_write(&mut self) -> Option<Write> {
        let stopped = matches!(self.state, State::Stopped(_));
        if stopped || self.output.in_flight.is_some() || !self.has_unwritten() {
            return None;
        }
        self.output.last_number += 1;
        let number = self.output.last_number;
        self.hard_state.commit = self.commit;
        let write = Write {
            number,
            hard_state: Some(self.hard_state),
            snapshot: self.output.snapshot.take(),
            entries: self.log.take_unhanded(),
            last: self.log.last(),
        };
        let is_foreign = mem::take(&mut self.output.snapshot_is_foreign);
        self.output.hard_state_changed = false;
        let snapshot_end = write.snapshot.as_ref().map(|snapshot| snapshot.meta.position);
        self.output.in_flight = Some(InFlight {
            number,
            last: write.entries.last().map(|entry| entry.position()).or(snapshot_end),
            installed: write.snapshot.clone().filter(|_| is_foreign),
        });
        Some(write)
    }

    pub(super) fn finish_write(&mut self, number: u64) {
        match self.output.in_flight.take_if(|write| write.number == number) {
            Some(write) => self.apply_finished(write),
            None => return,
        }
        self.release_messages(number);
        self.after_persisted();
    }

    fn apply_finished(&mut self, write: InFlight) {
        if let Some(last) = write.last {
            self.log.mark_persisted(last);
        }
        if let Some(snapshot) = write.installed {
            let index = snapshot.meta.position.index;
            if index > self.applied {
                self.applied = index;
                self.output.installed = Some(snapshot);
            }
        }
    }

    /// Lets go the messages that waited for a write. What an earlier term said is
    /// dropped: nobody acts on it.
    fn release_messages(&mut self, number: u64) {
        let term = self.term();
        for (waits_for, message) in mem::take(&mut self.output.held) {
            if waits_for > number {
                self.output.held.push((waits_for, message));
            } else if message.term == term {
                self.output.messages.push(message);
            }
        }
    }

    /// Entries that are committed, on this disk and not applied yet.
    fn next_committed(&mut self) -> Vec<crate::entry::Entry> {
        if self.output.is_installing() || self.stop_reason().is_some() {
            return Vec::new();
        }
        let through = self.commit.min(self.log.persisted());
        if through <= self.applied {
            return Vec::new();
        }
        let entries = self.log.entries_between(self.applied, through);
        self.applied = through;
        entries
    }
}
