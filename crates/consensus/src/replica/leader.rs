//! Leader: replication, commit, quorum check and leadership transfer.

use super::{LeaderState, Replica, State};
use crate::entry::{Entry, Index, Payload, Position, Snapshot};
use crate::error::{ProposeError, TransferError};
use crate::identity::ReplicaId;
use crate::message::Body;
use crate::progress::{Mode, Progress};
use crate::ready::Proposal;
use juniper_types::NodeId;

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        if !self.check_quorum() {
            self.become_follower(self.term(), None);
            return;
        }
        let now = self.now;
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.transfer.take_if(|(_, until)| now >= *until);
        leader_state.until_heartbeat -= 1;
        if leader_state.until_heartbeat == 0 {
            leader_state.until_heartbeat = self.config.heartbeat_ticks;
            self.broadcast_heartbeat();
        }
        self.maintain_membership();
    }

    /// Checks once per election timeout for recent contact with a quorum. A partitioned
    /// leader steps down, so that clients turn to other replicas.
    fn check_quorum(&mut self) -> bool {
        let (now, timeout) = (self.now, self.config.election_ticks);
        let State::Leader(leader_state) = &mut self.state else { return false };
        if now < leader_state.quorum_check_due {
            return true;
        }
        leader_state.quorum_check_due = now + timeout;
        let State::Leader(leader_state) = &self.state else { return false };
        let active = self.recently_active(leader_state);
        let membership = self.log.membership();
        membership.has_majority(|id| active.contains(&id))
    }

    /// Members in contact within the last election timeout, the leader included.
    pub(super) fn recently_active(&self, leader_state: &LeaderState) -> Vec<ReplicaId> {
        let timeout = self.config.election_ticks;
        let is_active = |progress: &Progress| self.now - progress.last_contact <= timeout;
        let followers = leader_state.progress.iter().filter(|(_, progress)| is_active(progress));
        followers.map(|(id, _)| *id).chain([self.id()]).collect()
    }

    pub(super) fn record_member_contact(&mut self, from: ReplicaId) {
        let now = self.now;
        if let Some(progress) = self.progress_mut(from) {
            progress.last_contact = now;
        }
    }

    pub(super) fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut Progress> {
        match &mut self.state {
            State::Leader(leader_state) => leader_state.progress.get_mut(&id),
            _ => None,
        }
    }

    pub(super) fn followers(&self) -> Vec<ReplicaId> {
        match &self.state {
            State::Leader(leader_state) => leader_state.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    pub(super) fn propose_payload(&mut self, payload: Payload) -> Result<Proposal, ProposeError> {
        let State::Leader(leader_state) = &self.state else {
            return Err(ProposeError::NotLeader { leader: self.leader.map(|leader| leader.node) });
        };
        if leader_state.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        if leader_state.uncommitted_bytes > self.config.max_uncommitted_bytes {
            return Err(ProposeError::Overloaded);
        }
        Ok(self.append_as_leader(payload))
    }

    /// Appends a new entry and sends it to all followers.
    pub(super) fn append_as_leader(&mut self, payload: Payload) -> Proposal {
        let index = self.log.last().index + 1;
        let term = self.term();
        let changes_members = matches!(payload, Payload::Membership(_));
        let entry = Entry { term, index, payload };
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.uncommitted_bytes += entry.size();
        }
        self.log.push(entry);
        if changes_members {
            self.sync_progress_with_membership();
        }
        self.broadcast_append();
        Proposal { term, index }
    }

    /// Adds and removes progress entries to match the membership in force.
    fn sync_progress_with_membership(&mut self) {
        let own = self.id();
        let (last, now) = (self.log.last().index, self.now);
        let members: Vec<_> = self.log.membership().members.iter().map(|m| m.id).collect();
        let State::Leader(leader_state) = &mut self.state else { return };
        leader_state.progress.retain(|id, _| members.contains(id));
        for id in members.into_iter().filter(|id| *id != own) {
            leader_state.progress.entry(id).or_insert_with(|| Progress::new(last - 1, now));
        }
    }

    pub(super) fn broadcast_append(&mut self) {
        for id in self.followers() {
            self.send_append(id, false);
        }
    }

    /// Sends missing entries to a follower, within its window. With `even_empty`, a message
    /// without entries is sent as well to convey the commit index.
    pub(super) fn send_append(&mut self, to: ReplicaId, even_empty: bool) {
        let config = (self.config.max_append_bytes, self.config.max_in_flight_entries);
        let Some(progress) = self.progress_mut(to) else { return };
        let window = progress.window(config.1);
        let (next, probing) = (progress.next, matches!(progress.mode, Mode::Probe { .. }));
        let in_snapshot = matches!(progress.mode, Mode::Snapshot { .. });
        if in_snapshot || (window == 0 && !even_empty) {
            return;
        }
        let Some(previous) = self.log.position(next - 1) else {
            self.start_snapshot_transfer(to);
            return;
        };
        let entries = self.log.entries_from(next, config.0, window);
        if entries.is_empty() && !even_empty && !probing {
            return;
        }
        let last = entries.last().map_or(previous.index, |entry| entry.index);
        if let Some(progress) = self.progress_mut(to) {
            progress.record_sent(last);
        }
        let commit = self.commit;
        self.send(to, Body::Append { previous, entries, commit });
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, matched: Index) {
        let last = self.log.last().index;
        let Some(progress) = self.progress_mut(from) else { return };
        let advanced = progress.acknowledge(matched.min(last));
        if advanced {
            self.update_leader_commit();
            self.finish_transfer_if_ready();
        }
        self.send_append(from, false);
    }

    pub(super) fn on_append_reject(&mut self, from: ReplicaId, previous: Index, hint: Position) {
        let common = self.log.last_not_after(hint);
        let Some(progress) = self.progress_mut(from) else { return };
        if progress.reject(previous, common) {
            self.send_append(from, false);
        }
    }

    pub(super) fn broadcast_heartbeat(&mut self) {
        self.send_heartbeats(&self.followers());
    }

    pub(super) fn send_heartbeats(&mut self, members: &[ReplicaId]) {
        let read_round = self.reads.last_round_sent();
        for id in members.iter().copied() {
            let Some(progress) = self.progress_mut(id) else { continue };
            let matched = progress.matched;
            let commit = self.commit.min(matched);
            self.send(id, Body::Heartbeat { commit, read_round });
        }
    }

    pub(super) fn on_heartbeat_reply(&mut self, from: ReplicaId, read_round: u64) {
        let Some(progress) = self.progress_mut(from) else { return };
        progress.read_round = progress.read_round.max(read_round);
        progress.record_heartbeat_reply();
        let in_snapshot = matches!(progress.mode, Mode::Snapshot { .. });
        let behind = progress.matched < self.log.last().index;
        if in_snapshot {
            self.send_snapshot_chunk(from);
        } else if behind {
            self.send_append(from, false);
        }
        self.confirm_reads();
    }

    /// Commits entries that are durable on a majority. Requires an entry of the current
    /// term: an older entry on a majority could still be replaced by a later leader.
    pub(super) fn update_leader_commit(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let own = self.id();
        let durable_index = |id: ReplicaId| match id == own {
            true => self.log.persisted(),
            false => leader_state.progress.get(&id).map_or(0, |progress| progress.matched),
        };
        let membership = self.log.membership();
        let reached = membership.reached_by_majority(durable_index);
        if reached > self.commit && reached >= leader_state.first_index {
            let committed_bytes = self.log.bytes_between(self.commit, reached);
            self.commit = reached;
            self.after_commit(committed_bytes);
        }
    }

    /// Sends the commit index to followers without waiting for a heartbeat, and starts reads
    /// that waited for the first commit of the term.
    fn after_commit(&mut self, bytes: usize) {
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.uncommitted_bytes = leader_state.uncommitted_bytes.saturating_sub(bytes);
        }
        for id in self.followers() {
            self.send_append(id, true);
        }
        self.start_waiting_reads();
        self.step_down_if_not_voter();
    }

    /// Transfers leadership once a membership is committed in which this leader is not a voter.
    fn step_down_if_not_voter(&mut self) {
        let is_pending = self.log.membership_index() > self.commit;
        if is_pending || self.log.membership().is_voter(self.id()) {
            return;
        }
        let last = self.log.last().index;
        let State::Leader(leader_state) = &self.state else { return };
        let has_complete_log = |id: &ReplicaId| {
            leader_state.progress.get(id).is_some_and(|progress| progress.matched == last)
        };
        let successor =
            self.log.membership().voters().map(|member| member.id).find(has_complete_log);
        if let Some(successor) = successor {
            self.send(successor, Body::TakeOver);
        }
        self.become_follower(self.term(), None);
    }

    /// Counts votes and commits again after a write became durable.
    pub(super) fn after_persisted(&mut self) {
        self.count_votes();
        self.update_leader_commit();
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        match &self.state {
            State::Leader(leader_state) => self.commit >= leader_state.first_index,
            _ => false,
        }
    }

    pub(super) fn start_transfer(&mut self, node: NodeId) -> Result<(), TransferError> {
        let own = self.id();
        let until = self.now + self.config.election_ticks;
        let target = self.log.membership().voters().map(|member| member.id);
        let target = target.filter(|id| id.node == node && *id != own).last();
        let State::Leader(leader_state) = &mut self.state else {
            return Err(TransferError::NotLeader);
        };
        let target = target.ok_or(TransferError::NotVoter(node))?;
        leader_state.transfer = Some((target, until));
        self.finish_transfer_if_ready();
        Ok(())
    }

    fn finish_transfer_if_ready(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let Some((target, _)) = leader_state.transfer else { return };
        let matched = leader_state.progress.get(&target).map_or(0, |progress| progress.matched);
        if matched == self.log.last().index {
            self.send(target, Body::TakeOver);
        }
    }

    /// Starts sending the latest snapshot to a follower that needs compacted entries.
    fn start_snapshot_transfer(&mut self, to: ReplicaId) {
        let snapshot: Option<Snapshot> = self.log.snapshot().cloned();
        let (Some(snapshot), Some(progress)) = (snapshot, self.progress_mut(to)) else { return };
        progress.mode = Mode::Snapshot { snapshot, offset: 0 };
        self.send_snapshot_chunk(to);
    }
}
