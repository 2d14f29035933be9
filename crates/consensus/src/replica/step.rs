//! Incoming messages: who may speak, whose term counts, and where they go.

use super::{Replica, State};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::message::{Body, Message};
use crate::ready::StopReason;

impl Replica {
    /// Takes a message from another replica. Messages may be lost, repeated,
    /// late and out of order.
    pub fn step(&mut self, message: Message) {
        let stopped = matches!(self.state, State::Stopped(_));
        if stopped || !self.is_addressee(&message) || !message.is_in_bounds() {
            return;
        }
        if let Body::JoinRequest { zone } = &message.body {
            let zone = zone.clone();
            self.pass_join_request_on(&message);
            self.on_join_request(message.from, zone);
            return;
        }
        if !self.check_epoch(&message) || self.is_stranger(&message) {
            return;
        }
        if self.check_term(&message) {
            self.dispatch(message);
        }
    }

    /// A message for another node, or for a disk that this node had before, is dropped.
    fn is_addressee(&self, message: &Message) -> bool {
        let own = self.id();
        message.to == own.node && message.to_disk.is_none_or(|disk| disk == own.disk)
    }

    /// Compares epochs. Guards against replicas that a recovery left out: they
    /// are told so, and stop once they hear it.
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

    /// Whether a leader gets an answer from a replica that isn't in its membership,
    /// such as one whose disk was replaced. Such an answer counts for nothing.
    fn is_stranger(&self, message: &Message) -> bool {
        let State::Leader(leadership) = &self.state else { return false };
        let is_reply = matches!(
            message.body,
            Body::AppendReply { .. }
                | Body::AppendReject { .. }
                | Body::HeartbeatReply { .. }
                | Body::SnapshotReply { .. }
                | Body::VoteReply { .. }
        );
        is_reply && !leadership.progress.contains_key(&message.from)
    }

    /// Settles differences in term. Returns whether the message still counts.
    fn check_term(&mut self, message: &Message) -> bool {
        if message.term > self.term() {
            self.meet_higher_term(message)
        } else if message.term < self.term() {
            self.answer_lower_term(message);
            false
        } else {
            true
        }
    }

    fn meet_higher_term(&mut self, message: &Message) -> bool {
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

    /// Tells senders of an earlier term about this one, so that a leader that was
    /// frozen or cut off steps down, and a replica that ran ahead in terms is
    /// caught up with.
    fn answer_lower_term(&mut self, message: &Message) {
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
            self.hear_leader(from);
        }
        self.hear_member(from);
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
            Body::NotMember => self.told_not_member = true,
            Body::Retire => self.on_retire(from),
            Body::JoinRequest { .. } | Body::Fenced => {}
        }
    }

    /// Notes a sign of life from the leader of the current term.
    fn hear_leader(&mut self, from: ReplicaId) {
        if self.leader != Some(from) || !matches!(self.state, State::Follower) {
            self.become_follower(self.term(), Some(from));
        }
        self.heard_leader = self.now;
        self.told_not_member = false;
        self.schedule_election();
    }

    fn on_take_over(&mut self) {
        if self.log.membership().is_voter(self.id()) && !self.is_leader() {
            self.campaign(true);
        }
    }
}
