//! Handling of entries and heartbeats on followers.

use super::Replica;
use crate::entry::{Entry, Index, Position};
use crate::identity::ReplicaId;
use crate::message::Body;
use crate::ready::StopReason;

impl Replica {
    pub(super) fn on_append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        if self.is_leader() || !are_consecutive(previous, &entries) {
            return;
        }
        let here = self.log.position(previous.index);
        if previous.index <= self.commit && here.is_some_and(|here| here != previous) {
            self.stop(StopReason::Diverged);
            return;
        }
        // The log matches the leader's up to this replica's commit index.
        if previous.index < self.commit && !self.log.contains(previous) {
            self.send_when_durable(from, Body::AppendReply { matched: self.commit });
            return;
        }
        if !self.log.contains(previous) {
            self.reject_append(from, previous);
            return;
        }
        let matched = previous.index + entries.len() as u64;
        if self.log.merge(entries, self.commit).is_err() {
            self.stop(StopReason::Diverged);
            return;
        }
        self.advance_commit(commit.min(matched));
        self.send_when_durable(from, Body::AppendReply { matched });
    }

    /// Sends the leader the last position at which the logs may match. Whole terms are
    /// skipped to find the matching position in few round trips.
    fn reject_append(&mut self, from: ReplicaId, previous: Position) {
        let before = Position { term: previous.term, index: previous.index.saturating_sub(1) };
        let hint = self.log.last_not_after(before);
        self.send(from, Body::AppendReject { previous: previous.index, hint });
    }

    pub(super) fn on_heartbeat(&mut self, from: ReplicaId, commit: Index, read_round: u64) {
        if self.is_leader() {
            return;
        }
        self.advance_commit(commit.min(self.log.last().index));
        self.send_when_durable(from, Body::HeartbeatReply { read_round });
    }

    pub(super) fn advance_commit(&mut self, commit: Index) {
        self.commit = self.commit.max(commit);
    }
}

/// Whether the entries follow `previous` without gaps and with non-decreasing terms. Messages
/// from peers are not trusted to guarantee this.
fn are_consecutive(previous: Position, entries: &[Entry]) -> bool {
    let mut last = previous;
    entries.iter().all(|entry| {
        let follows = entry.index == last.index + 1 && entry.term >= last.term;
        last = entry.position();
        follows
    })
}
