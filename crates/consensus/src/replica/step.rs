//! Handling of incoming messages: epoch and term checks, and dispatch by message type.

use super::{Replica, State};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::message::{Body, Message};
use crate::ready::StopReason;

impl Replica {
    /// Handles a message from another replica. Messages may be lost, duplicated, delayed
    /// and reordered.
    pub fn step(&mut self, message: Message) {
        let stopped = matches!(self.state, State::Stopped(_));
        if stopped || !self.is_addressee(&message) || !message.is_in_bounds() {
            return;
        }
        if let Body::JoinRequest { zone } = &message.body {
            let zone = zone.clone();
            self.forward_join_request(&message);
            self.on_join_request(message.from, zone);
            return;
        }
        if !self.check_epoch(&message) || self.is_reply_from_non_member(&message) {
            return;
        }
        if self.check_term(&message) {
            self.dispatch(message);
        }
    }

    /// Whether the message is addressed to this node and, if it names a disk, to this disk.
    fn is_addressee(&self, message: &Message) -> bool {
        let own = self.id();
        message.to == own.node && message.to_disk.is_none_or(|disk| disk == own.disk)
    }

    /// Checks the sender's epoch. Replicas excluded by a recovery are notified with
    /// [`Body::Fenced`], and stop when they receive a message of the new epoch.
    fn check_epoch(&mut self, message: &Message) -> bool {
        let own = self.hard_state.epoch;
        let theirs = message.epoch;
        if theirs == own {
            return true;
        }
        if own == ClusterEpoch::NONE {
            if message.to_disk.is_some() {
                self.adopt_epoch(theirs);
                return true;
            }
            return false;
        }
        if theirs.cluster == own.cluster && theirs.number > own.number {
            self.stop(StopReason::Fenced);
        } else if theirs.cluster == own.cluster && theirs.number < own.number {
            self.send(message.from, Body::Fenced);
        }
        false
    }

    /// Whether this leader received a reply from a replica outside the membership, such as
    /// one whose disk was replaced. Such replies are ignored.
    fn is_reply_from_non_member(&self, message: &Message) -> bool {
        let State::Leader(leader_state) = &self.state else { return false };
        let is_reply = matches!(
            message.body,
            Body::AppendReply { .. }
                | Body::AppendReject { .. }
                | Body::HeartbeatReply { .. }
                | Body::SnapshotReply { .. }
                | Body::VoteReply { .. }
        );
        is_reply && !leader_state.progress.contains_key(&message.from)
    }

    /// Handles a difference in terms. Returns whether the message must still be processed.
    fn check_term(&mut self, message: &Message) -> bool {
        if message.term > self.term() {
            self.handle_higher_term(message)
        } else if message.term < self.term() {
            self.handle_lower_term(message);
            false
        } else {
            true
        }
    }

    fn handle_higher_term(&mut self, message: &Message) -> bool {
        match &message.body {
            Body::PreVoteRequest { .. } | Body::PreVoteReply { granted: true } => return true,
            Body::VoteRequest { transfer, .. } if self.ignores_campaign(*transfer) => return false,
            Body::NotMember | Body::Fenced => return true,
            _ => {}
        }
        let leader = message.body.is_from_leader().then_some(message.from);
        self.become_follower(message.term, leader);
        true
    }

    /// Replies to a message of an earlier term with the current term, so that a leader that
    /// was suspended or partitioned steps down and the cluster adopts the higher term.
    fn handle_lower_term(&mut self, message: &Message) {
        match message.body {
            Body::PreVoteRequest { .. } => {
                self.send_when_durable(message.from, Body::PreVoteReply { granted: false });
            }
            Body::VoteRequest { .. } => {
                self.send_when_durable(message.from, Body::VoteReply { granted: false });
            }
            Body::Append { .. } | Body::Heartbeat { .. } | Body::SnapshotChunk { .. } => {
                self.send_when_durable(message.from, Body::HeartbeatReply { read_round: 0 });
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, message: Message) {
        let from = message.from;
        if message.body.is_from_leader() {
            self.record_leader_contact(from);
        }
        self.record_member_contact(from);
        match message.body {
            Body::PreVoteRequest { last } => self.on_pre_vote_request(from, message.term, last),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(&message, granted),
            Body::VoteRequest { last, .. } => self.on_vote_request(from, last),
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::Append { previous, entries, commit } => {
                self.on_append(from, previous, entries, commit);
            }
            Body::AppendReply { matched } => self.on_append_reply(from, matched),
            Body::AppendReject { previous, hint } => self.on_append_reject(from, previous, hint),
            Body::Heartbeat { commit, read_round } => self.on_heartbeat(from, commit, read_round),
            Body::HeartbeatReply { read_round } => self.on_heartbeat_reply(from, read_round),
            Body::SnapshotChunk { meta, total, offset, data } => {
                self.on_snapshot_chunk(from, meta, total, offset, data);
            }
            Body::SnapshotReply { index, offset } => self.on_snapshot_reply(from, index, offset),
            Body::TakeOver => self.on_take_over(),
            Body::ReadRequest { session, context } => {
                self.on_read_request(from, session, context);
            }
            Body::ReadReply { session, context, index } => {
                self.on_read_reply(session, context, index);
            }
            Body::NotMember => self.reported_as_non_member = true,
            Body::Retire => self.on_retire(from),
            Body::JoinRequest { .. } | Body::Fenced => {}
        }
    }

    /// Records contact from the leader of the current term and postpones the election.
    fn record_leader_contact(&mut self, from: ReplicaId) {
        if self.leader != Some(from) || !matches!(self.state, State::Follower) {
            self.become_follower(self.term(), Some(from));
        }
        self.last_leader_contact = self.now;
        self.reported_as_non_member = false;
        self.schedule_election();
    }

    fn on_take_over(&mut self) {
        if self.log.membership().is_voter(self.id()) && !self.is_leader() {
            self.campaign(true);
        }
    }
}
