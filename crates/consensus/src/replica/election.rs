//! Elections: pre-vote, vote, and the clock that starts them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Leadership, Replica, State};
use crate::entry::{Payload, Position, Term};
use crate::identity::{ClusterEpoch, ReplicaId};
use crate::membership::Member;
use crate::message::{Body, Message};
use crate::progress::Progress;

/// Votes gathered in one campaign, by replica and disk.
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
                self.lose_leader();
            }
        }
        self.ask_to_join_if_due();
    }

    /// Whether this replica may campaign: it is a voter, or was one before a change
    /// that isn't known to be committed. If only it has received that change, its
    /// log is the longest and the others, which need its vote, can't win.
    fn is_electable(&self) -> bool {
        let own = self.id();
        self.log.membership().is_voter(own) || self.log.membership_at(self.commit).is_voter(own)
    }

    /// Forgets a leader that has been silent for too long.
    fn lose_leader(&mut self) {
        if self.leader.take().is_some() {
            self.drop_all_reads();
        }
    }

    /// Asks for promises first, so that a replica that was cut off doesn't raise
    /// the term and depose a working leader when it returns.
    fn start_pre_vote(&mut self) {
        self.lose_leader();
        self.state = State::PreCandidate(Ballot::default());
        let last = self.log.last();
        let term = self.term() + 1;
        for voter in self.other_voters() {
            let mut message = self.message(voter, Body::PreVoteRequest { last });
            message.term = term;
            self.send_raw(message);
        }
        self.ask_other_peers(last, term);
        self.count_pre_votes();
    }

    /// Asks peers without a vote too. Their answers don't count, but a peer that
    /// knows of a recovery since tells a replica that was left out: the voters it
    /// remembers may all have been left out as well.
    fn ask_other_peers(&mut self, last: Position, term: Term) {
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
        self.lose_leader();
        self.schedule_election();
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id());
        self.output.change_hard_state();
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

    /// Whether the leader was heard from so lately that it must still be there.
    /// A leader itself knows through its quorum check.
    fn leader_is_fresh(&self) -> bool {
        let recent = self.now - self.heard_leader < self.config.election_ticks;
        self.is_leader() || (self.leader.is_some() && recent)
    }

    /// Whether a vote request in a higher term has to be ignored.
    pub(super) fn ignores_campaign(&self, transfer: bool) -> bool {
        !transfer && self.leader_is_fresh()
    }

    pub(super) fn on_pre_vote_request(&mut self, from: ReplicaId, term: Term, last: Position) {
        let fresh = self.leader_is_fresh();
        if fresh && !self.log.membership_at(self.commit).contains(from) {
            self.send(from, Body::NotMember);
        }
        let granted = !fresh && term > self.term() && last >= self.log.last();
        let mut message = self.message(from, Body::PreVoteReply { granted });
        if granted {
            message.term = term;
        }
        self.send_raw(message);
    }

    pub(super) fn on_pre_vote_reply(&mut self, message: &Message, granted: bool) {
        let asked = self.term() + 1;
        if let State::PreCandidate(ballot) = &mut self.state
            && granted
            && message.term == asked
        {
            ballot.granted.insert(message.from);
            self.count_pre_votes();
        }
    }

    /// Gives the vote to the first candidate of the term whose log is at least as
    /// up-to-date as this one's: an elected leader holds every committed entry.
    pub(super) fn on_vote_request(&mut self, from: ReplicaId, last: Position) {
        let free = self.hard_state.vote.is_none_or(|voted| voted == from);
        let following = self.leader.is_some() || !matches!(self.state, State::Follower);
        let may_vote = free && (!following || self.hard_state.vote == Some(from));
        let granted = may_vote && last >= self.log.last();
        if granted {
            self.hard_state.vote = Some(from);
            self.output.change_hard_state();
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

    /// Takes office once a majority has voted. It is called when votes arrive and
    /// when a write is done; the own vote counts because requests and the lone
    /// voter's count both wait until it is on disk.
    pub(super) fn count_votes(&mut self) {
        let State::Candidate(ballot) = &self.state else { return };
        if self.is_majority(ballot) {
            self.become_leader();
        }
    }

    /// Whether this replica and those that granted make a majority of the voters.
    /// Only a vote of the very replica in the membership counts, disk included: a
    /// wiped disk has forgotten whom its node voted for.
    fn is_majority(&self, ballot: &Ballot) -> bool {
        let membership = self.log.membership();
        let granted = |id: ReplicaId| id == self.id() || ballot.granted.contains(&id);
        membership.has_majority(granted)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term() {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.output.change_hard_state();
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
        self.incoming = None;
        self.state = State::Leader(Leadership {
            progress,
            first_index,
            until_heartbeat: self.config.heartbeat_ticks,
            quorum_check_due: self.now + self.config.election_ticks,
            transfer: None,
            uncommitted_bytes,
            retiring: BTreeMap::new(),
        });
        self.append_own(Payload::Empty);
    }

    /// Joins the cluster of the first leader or candidate that addresses this very disk.
    pub(super) fn adopt_epoch(&mut self, epoch: ClusterEpoch) {
        self.hard_state.epoch = epoch;
        self.output.change_hard_state();
    }

    /// A replica that is no voter, or that was told it is no member, asks to join
    /// while it hears no leader.
    fn ask_to_join_if_due(&mut self) {
        let outside = self.told_not_member || !self.log.membership().is_voter(self.id());
        if !outside || self.leader.is_some() || self.now < self.join_due {
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
