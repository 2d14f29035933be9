//! Pending output of a replica, collected for the driver's next call of `ready`.

use std::mem;

use super::{Replica, State};
use crate::entry::{Position, Snapshot};
use crate::identity::ReplicaId;
use crate::message::{Body, Message};
use crate::ready::{Ready, Write};

/// Write that has been passed to storage and isn't durable yet.
#[derive(Clone, Debug)]
struct InFlightWrite {
    number: u64,
    /// Position of the last entry, or the snapshot's end if there are no entries.
    last: Option<Position>,
    /// Snapshot from a leader, installed in the state machine after the write.
    installed: Option<Snapshot>,
}

/// Output that waits for the driver or for storage.
#[derive(Clone, Debug, Default)]
pub(super) struct Output {
    last_number: u64,
    in_flight: Option<InFlightWrite>,
    /// Whether the hard state has changed since the last write.
    hard_state_changed: bool,
    /// Snapshot for the next write.
    snapshot: Option<Snapshot>,
    /// Whether `snapshot` came from a leader.
    snapshot_from_leader: bool,
    /// Messages that may be sent immediately.
    messages: Vec<Message>,
    /// Messages deferred until the write with the given number is durable.
    deferred: Vec<(u64, Message)>,
    /// Snapshot to install in the state machine.
    installed: Option<Snapshot>,
}

impl Output {
    /// Output of a starting replica, whose state machine is initialized from `installed`.
    pub(super) fn with_installed(installed: Option<Snapshot>) -> Self {
        Output { installed, ..Output::default() }
    }

    /// Drops all pending output of a stopped replica.
    pub(super) fn discard(&mut self) {
        *self = Output { last_number: self.last_number, ..Output::default() };
    }

    /// Marks the hard state as changed, so that the next write includes it.
    pub(super) fn mark_hard_state_changed(&mut self) {
        self.hard_state_changed = true;
    }

    /// Adds `snapshot` to the next write. A snapshot with `from_leader` also replaces the
    /// state machine.
    pub(super) fn queue_snapshot(&mut self, snapshot: Snapshot, from_leader: bool) {
        self.snapshot = Some(snapshot);
        self.snapshot_from_leader = from_leader;
    }

    /// Whether a leader's snapshot is waiting to replace the state machine.
    pub(super) fn is_installing(&self) -> bool {
        let in_flight = || self.in_flight.as_ref().is_some_and(|write| write.installed.is_some());
        self.snapshot_from_leader || in_flight()
    }
}

impl Replica {
    /// Sends a message that doesn't depend on pending writes.
    pub(super) fn send(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        self.output.messages.push(message);
    }

    /// Sends a message once all state changes so far are durable.
    ///
    /// Otherwise the replica could lose a vote or an entry in a crash after reporting it.
    pub(super) fn send_when_durable(&mut self, to: ReplicaId, body: Body) {
        let message = self.message(to, body);
        let waits_for = if self.has_unwritten() {
            Some(self.output.last_number + 1)
        } else {
            self.output.in_flight.as_ref().map(|write| write.number)
        };
        match waits_for {
            Some(number) => self.output.deferred.push((number, message)),
            None => self.output.messages.push(message),
        }
    }

    /// Sends a complete message that doesn't depend on pending writes.
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
        output.hard_state_changed || output.snapshot.is_some() || self.log.has_unsubmitted()
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
            entries: self.log.take_unsubmitted(),
            last: self.log.last(),
        };
        let from_leader = mem::take(&mut self.output.snapshot_from_leader);
        self.output.hard_state_changed = false;
        let snapshot_end = write.snapshot.as_ref().map(|snapshot| snapshot.meta.position);
        self.output.in_flight = Some(InFlightWrite {
            number,
            last: write.entries.last().map(|entry| entry.position()).or(snapshot_end),
            installed: write.snapshot.clone().filter(|_| from_leader),
        });
        Some(write)
    }

    pub(super) fn finish_write(&mut self, number: u64) {
        match self.output.in_flight.take_if(|write| write.number == number) {
            Some(write) => self.record_durable_write(write),
            None => return,
        }
        self.release_messages(number);
        self.after_persisted();
    }

    fn record_durable_write(&mut self, write: InFlightWrite) {
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

    /// Releases messages that waited for a write. Messages of an earlier term are dropped,
    /// since receivers would ignore them.
    fn release_messages(&mut self, number: u64) {
        let term = self.term();
        for (waits_for, message) in mem::take(&mut self.output.deferred) {
            if waits_for > number {
                self.output.deferred.push((waits_for, message));
            } else if message.term == term {
                self.output.messages.push(message);
            }
        }
    }

    /// Returns entries that are committed, durable here and not applied yet, and marks them
    /// as applied.
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
