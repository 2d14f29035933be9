//! Elections: election timeout, pre-vote and vote.

use std::collections::{BTreeMap, BTreeSet};

use super::{LeaderState, Replica, State, USUAL_CAMPAIGNS};
use crate::entry::{Payload, Position, Term};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Member;
use crate::message::{Body, Message};
use crate::progress::Progress;

/// Replicas that granted their vote in an election, identified by node and disk.
#[derive(Clone, Debug, Default)]
pub(super) struct Ballot {
    granted: BTreeSet<ReplicaId>,
}

impl Replica {
    pub(super) fn tick_follower(&mut self) {
        if self.now >= self.election_due {
            self.schedule_election();
            if self.is_electable() {
                self.start_pre_vote();
            } else {
                self.clear_leader();
            }
        }
        self.request_join_if_due();
    }

    /// Whether this replica may start an election: it is a voter, or was one before a
    /// change that isn't known to be committed. If no other replica has received that
    /// change, this replica's log is the longest, and the others can't win without its vote.
    fn is_electable(&self) -> bool {
        let own = self.id();
        self.log.membership().is_voter(own) || self.log.membership_at(self.commit).is_voter(own)
    }

    /// Clears the leader and drops the reads that depend on it.
    fn clear_leader(&mut self) {
        if self.leader.take().is_some() {
            self.drop_all_reads();
        }
    }

    /// Collects pre-votes before an election, so that a replica that was partitioned
    /// doesn't raise the term and depose an active leader when it returns.
    fn start_pre_vote(&mut self) {
        self.clear_leader();
        self.state = State::PreCandidate(Ballot::default());
        let last = self.log.last();
        let term = self.term() + 1;
        for voter in self.other_voters() {
            let mut message = self.message(voter, Body::PreVoteRequest { last });
            message.term = term;
            self.send_raw(message);
        }
        self.send_pre_vote_to_non_voters(last, term);
        self.count_pre_votes();
    }

    /// Sends the pre-vote request to peers that are not voters. Their replies don't count as
    /// votes, but notify a replica excluded by a recovery, whose known voters may all have
    /// been excluded as well.
    fn send_pre_vote_to_non_voters(&mut self, last: Position, term: Term) {
        let own = self.id();
        for node in self.config.peers.clone() {
            let votes = |member: &Member| member.id.node == node;
            if node != own.node && !self.log.membership().voters().any(votes) {
                let mut message = self.message(own, Body::PreVoteRequest { last });
                (message.to, message.to_disk, message.term) = (node, None, term);
                self.send_raw(message);
            }
        }
    }

    /// Starts an election in the next term.
    pub(super) fn campaign(&mut self, transfer: bool) {
        self.clear_leader();
        self.schedule_election();
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id());
        self.output.mark_hard_state_changed();
        self.state = State::Candidate(Ballot::default());
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_when_durable(voter, Body::VoteRequest { last, transfer });
        }
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let own = self.id();
        self.log.membership().voters().map(|member| member.id).filter(|id| *id != own).collect()
    }

    /// Whether this replica is the leader or had contact with the leader within the
    /// election timeout.
    fn has_active_leader(&self) -> bool {
        let recent = self.now - self.last_leader_contact < self.config.election_ticks;
        self.is_leader() || (self.leader.is_some() && recent)
    }

    /// Whether to ignore a vote request in a higher term.
    pub(super) fn ignores_campaign(&self, transfer: bool) -> bool {
        !transfer && self.has_active_leader()
    }

    pub(super) fn on_pre_vote_request(&mut self, from: ReplicaId, term: Term, last: Position) {
        let active_leader = self.has_active_leader();
        if active_leader && !self.log.membership_at(self.commit).contains(from) {
            self.send(from, Body::NotMember);
        }
        let granted = !active_leader && term > self.term() && last >= self.log.last();
        let mut message = self.message(from, Body::PreVoteReply { granted });
        if granted {
            message.term = term;
            // The vote request follows only once the sender's own vote is durable. A campaign in
            // between would split the votes.
            if self.failed_campaigns() > USUAL_CAMPAIGNS && matches!(self.state, State::Follower) {
                self.schedule_election();
            }
        }
        self.send_raw(message);
    }

    pub(super) fn on_pre_vote_reply(&mut self, message: &Message, granted: bool) {
        let requested_term = self.term() + 1;
        if let State::PreCandidate(ballot) = &mut self.state
            && granted
            && message.term == requested_term
        {
            ballot.granted.insert(message.from);
            self.count_pre_votes();
        }
    }

    /// Grants the vote to the first candidate of the term whose log is at least as
    /// up-to-date as this replica's, so that an elected leader has every committed entry.
    pub(super) fn on_vote_request(&mut self, from: ReplicaId, last: Position) {
        let vote_available = self.hard_state.vote.is_none_or(|voted| voted == from);
        let has_leader_or_campaigns =
            self.leader.is_some() || !matches!(self.state, State::Follower);
        let may_vote =
            vote_available && (!has_leader_or_campaigns || self.hard_state.vote == Some(from));
        let granted = may_vote && last >= self.log.last();
        if granted {
            self.hard_state.vote = Some(from);
            self.output.mark_hard_state_changed();
            self.schedule_election();
        }
        self.send_when_durable(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let State::Candidate(ballot) = &mut self.state
            && granted
        {
            ballot.granted.insert(from);
            self.count_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let State::PreCandidate(ballot) = &self.state else { return };
        if self.is_majority(ballot) {
            self.campaign(false);
        }
    }

    /// Becomes leader once a majority has granted its votes. Called when a vote arrives and
    /// when a write is durable. The replica's own vote is counted: vote requests, and the
    /// count of a single voter, wait until that vote is durable.
    pub(super) fn count_votes(&mut self) {
        let State::Candidate(ballot) = &self.state else { return };
        if self.is_majority(ballot) {
            self.become_leader();
        }
    }

    /// Whether this replica and those in `ballot` are a majority of the voters. Votes are
    /// matched by node and disk, because a wiped disk has lost the vote of its node.
    fn is_majority(&self, ballot: &Ballot) -> bool {
        let membership = self.log.membership();
        let granted = |id: ReplicaId| id == self.id() || ballot.granted.contains(&id);
        membership.has_majority(granted)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term() {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.mark_hard_state_changed();
        }
        if leader.is_some() {
            self.latest_led_term = self.term();
        }
        let was_leader = self.is_leader();
        if was_leader || leader != self.leader {
            self.drop_all_reads();
        }
        if was_leader || self.leader != leader {
            self.schedule_election();
        }
        self.state = State::Follower;
        self.leader = leader;
    }

    fn become_leader(&mut self) {
        let first_index = self.log.last().index + 1;
        let own = self.id();
        let others = self.log.membership().members.iter().map(|m| m.id).filter(|id| *id != own);
        let progress = others.map(|id| (id, Progress::new(first_index - 1, self.now))).collect();
        let uncommitted_bytes = self.log.bytes_between(self.commit, first_index);
        self.leader = Some(own);
        self.latest_led_term = self.term();
        self.incoming = None;
        self.state = State::Leader(LeaderState {
            progress,
            first_index,
            until_heartbeat: self.config.heartbeat_ticks,
            quorum_check_due: self.now + self.config.election_ticks,
            transfer: None,
            uncommitted_bytes,
            retiring: BTreeMap::new(),
        });
        self.append_as_leader(Payload::Empty);
    }

    /// Joins the cluster of the first sender that addresses this node and disk.
    pub(super) fn adopt_epoch(&mut self, epoch: ClusterEpoch) {
        self.hard_state.epoch = epoch;
        self.output.mark_hard_state_changed();
    }

    /// Sends join requests to all peers if this replica has no leader and is not a voter,
    /// or was reported as a non-member.
    fn request_join_if_due(&mut self) {
        let may_not_be_member =
            self.reported_as_non_member || !self.log.membership().is_voter(self.id());
        if !may_not_be_member || self.leader.is_some() || self.now < self.join_due {
            return;
        }
        self.join_due = self.now + self.config.election_ticks;
        let own = self.id();
        for node in self.config.peers.clone() {
            if node != own.node {
                let body = Body::JoinRequest { zone: self.config.zone.clone() };
                let mut message = self.message(own, body);
                message.to = node;
                message.to_disk = None;
                self.send_raw(message);
            }
        }
    }
}
