//! Changes of the membership: asked for by an operator, by a replica that wants
//! to join, or made by the leader to replace voters that are lost.
//!
//! The log takes one change of one replica at a time, so any majority before a
//! change and any majority after it share a voter. A replacement changes two
//! replicas and is made in two steps, with a joint membership between them.
//!
//! A voter whose node came back with another disk can't return: it is taken out
//! at once, which makes no quorum harder to reach, and the new disk is promoted
//! when it has caught up. A voter that is only silent may return: a standby takes
//! its place. Were the standby promoted first and the voter demoted after that,
//! four voters would count in between, and losing the standby's disk as well
//! would leave two of four; of a joint membership two of three are left.

use juniper_types::ZoneName;

use super::{Leadership, Replica, State};
use crate::entry::{Index, Payload};
use crate::error::{MembersError, ProposeError};
use crate::identity::ReplicaId;
use crate::membership::{MAX_MEMBERS, Member, MemberRole, Membership, MembershipChange};
use crate::message::Message;
use crate::progress::Mode;
use crate::ready::Proposal;

/// Entries by which a learner may lag behind the commit index when it is promoted.
///
/// Under steady load the last few answers are always on their way; a lag that
/// is made up for within a few milliseconds doesn't hold commits back.
const CAUGHT_UP_LAG: Index = 64;

/// Election timeouts for which a voter counts as about to stop after it said so.
const RETIRING_TIMEOUTS: u64 = 6;

/// Heartbeats within which a learner must have been heard from to be promoted.
///
/// A promoted replica counts towards the quorum at once; one that has just been
/// lost must not. Two leave room for one lost message.
const PROMOTION_HEARTBEATS: u64 = 2;

impl Replica {
    pub(super) fn change_members(
        &mut self,
        change: &MembershipChange,
    ) -> Result<Proposal, MembersError> {
        let State::Leader(leadership) = &self.state else {
            let leader = self.leader.map(|leader| leader.node);
            return Err(ProposeError::NotLeader { leader }.into());
        };
        if self.log.membership_index() > self.commit || !self.has_committed_in_term() {
            return Err(MembersError::Pending);
        }
        let own = self.id();
        let takes_leader =
            *change == MembershipChange::Demote(own) || *change == MembershipChange::Remove(own);
        if takes_leader {
            return Err(MembersError::IsLeader);
        }
        let next = self.log.membership().changed(change)?;
        if !self.is_safe(leadership, change, &next) {
            return Err(MembersError::Unsafe);
        }
        Ok(self.propose_payload(Payload::Members(next))?)
    }

    /// Whether enough voters of `next` are heard from to commit, a new voter holds
    /// the log, and no voter is taken away that the target needs. Fewer voters
    /// than the target never make a quorum easier to reach, but let the cluster
    /// end with a voter whose loss the leader has not noticed yet.
    fn is_safe(
        &self,
        leadership: &Leadership,
        change: &MembershipChange,
        next: &Membership,
    ) -> bool {
        let new_voter = match change {
            MembershipChange::Promote(id) => Some(*id),
            MembershipChange::Replace { standby, .. } => Some(*standby),
            _ => None,
        };
        if new_voter.is_some_and(|id| !self.is_caught_up(leadership, id)) {
            return false;
        }
        if self.takes_needed_voter(leadership, change, next) {
            return false;
        }
        let changes_quorum = !matches!(change, MembershipChange::AddLearner { .. });
        let mut active = self.active_in(leadership);
        if let MembershipChange::Replace { standby, .. } = change {
            // The standby may be lost before it has voted once, and another voter
            // may be gone already: the majority that lets it in must do without it.
            active.retain(|id| id != standby);
        }
        !changes_quorum || next.has_majority(|id| active.contains(&id))
    }

    /// Whether the change takes a voter away that the target needs and that may be
    /// alive or come back.
    fn takes_needed_voter(
        &self,
        leadership: &Leadership,
        change: &MembershipChange,
        next: &Membership,
    ) -> bool {
        let (MembershipChange::Demote(id) | MembershipChange::Remove(id)) = change else {
            return false;
        };
        let membership = self.log.membership();
        let scarce = next.voters().count() < self.config.target_voters;
        let active = self.active_in(leadership);
        membership.is_voter(*id) && scarce && !is_superseded(membership, &active, *id)
    }

    fn is_caught_up(&self, leadership: &Leadership, id: ReplicaId) -> bool {
        leadership.progress.get(&id).is_some_and(|progress| {
            let near = progress.matched + CAUGHT_UP_LAG >= self.commit;
            let silence = self.now - progress.heard;
            let heard = silence <= PROMOTION_HEARTBEATS * self.config.heartbeat_ticks;
            let replicates = matches!(progress.mode, Mode::Replicate);
            near && heard && progress.matched > 0 && replicates
        })
    }

    /// Takes a replica in as a learner. The request is repeated until it succeeds,
    /// so failing for now needs no answer.
    pub(super) fn on_join_request(&mut self, id: ReplicaId, zone: ZoneName) {
        let listed = self.config.peers.contains(&id.node) || id.node == self.id().node;
        let allowed = listed || self.config.admits_any_node;
        let membership = self.log.membership();
        if !self.is_leader() || !allowed || membership.contains(id) {
            return;
        }
        let change = match self.replaceable_learner(id) {
            Some(learner) if membership.members.len() >= MAX_MEMBERS => {
                MembershipChange::Remove(learner)
            }
            _ => MembershipChange::AddLearner { id, zone },
        };
        self.change_members(&change).ok();
    }

    /// Hands a request to join to the leader, since a newcomer knows only some
    /// replicas. A request that was handed on names a disk and goes no further.
    pub(super) fn pass_join_request_on(&mut self, request: &Message) {
        let leader = self.leader.filter(|leader| *leader != self.id());
        let Some(leader) = leader.filter(|_| request.to_disk.is_none()) else { return };
        if self.config.admits_any_node && leader.node != request.from.node {
            let mut passed_on = request.clone();
            passed_on.to = leader.node;
            passed_on.to_disk = Some(leader.disk);
            self.send_raw(passed_on);
        }
    }

    /// Notes that a voter is about to stop; a standby may take its place for a while.
    pub(super) fn on_retire(&mut self, id: ReplicaId) {
        let until = self.now + RETIRING_TIMEOUTS * self.config.election_ticks;
        if let State::Leader(leadership) = &mut self.state {
            leadership.retiring.insert(id, until);
        }
    }

    /// A learner that can make room for a newcomer: a silent one, of the same
    /// node if possible.
    fn replaceable_learner(&self, newcomer: ReplicaId) -> Option<ReplicaId> {
        let State::Leader(leadership) = &self.state else { return None };
        let active = self.active_in(leadership);
        let silent = self.log.membership().learners().map(|member| member.id);
        let silent = silent.filter(|id| !active.contains(id));
        silent.max_by_key(|id| id.node == newcomer.node)
    }

    /// Makes the next change that keeps the cluster in shape, if one is due.
    pub(super) fn maintain_membership(&mut self) {
        let State::Leader(leadership) = &self.state else { return };
        let pending = self.log.membership_index() > self.commit;
        if pending || !self.has_committed_in_term() || leadership.transfer.is_some() {
            return;
        }
        let view = View {
            replica: self,
            leadership,
            membership: self.log.membership(),
            active: self.active_in(leadership),
        };
        if let Some(change) = view.due_change() {
            self.change_members(&change).ok();
        }
    }
}

/// The membership as the leader sees it at one tick.
struct View<'a> {
    replica: &'a Replica,
    leadership: &'a Leadership,
    membership: &'a Membership,
    active: Vec<ReplicaId>,
}

impl View<'_> {
    fn due_change(&self) -> Option<MembershipChange> {
        if self.membership.is_joint() {
            return Some(MembershipChange::FinishReplacement);
        }
        self.obsolete_learner()
            .or_else(|| self.superseded_voter())
            .map(MembershipChange::Remove)
            .or_else(|| self.surplus_voter().map(MembershipChange::Demote))
            .or_else(|| self.promotion().map(MembershipChange::Promote))
            .or_else(|| self.replacement())
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        self.active.contains(&id)
    }

    /// Ticks since the member was heard from.
    fn silence(&self, id: ReplicaId) -> u64 {
        let progress = self.leadership.progress.get(&id);
        progress.map_or(0, |progress| self.replica.now - progress.heard)
    }

    fn is_superseded(&self, id: ReplicaId) -> bool {
        is_superseded(self.membership, &self.active, id)
    }

    /// A voter whose disk is gone for good.
    fn superseded_voter(&self) -> Option<ReplicaId> {
        let mut voters = self.membership.voters().map(|member| member.id);
        voters.find(|id| self.is_superseded(*id))
    }

    /// A learner that has been silent for long or whose node has another disk now.
    fn obsolete_learner(&self) -> Option<ReplicaId> {
        let limit = self.replica.config.lost_learner_ticks;
        let mut learners = self.membership.learners().map(|member| member.id);
        learners.find(|id| self.silence(*id) > limit || self.is_superseded(*id))
    }

    /// A voter beyond the target: the one that has been silent longest, or else one
    /// of the zone with the most voters.
    fn surplus_voter(&self) -> Option<ReplicaId> {
        if self.membership.voters().count() <= self.replica.config.target_voters {
            return None;
        }
        let silent = self.other_voters().filter(|member| !self.is_active(member.id));
        let silent = silent.max_by_key(|member| self.silence(member.id));
        let silent = silent.or_else(|| self.retiring_voter());
        silent.or_else(|| self.crowded_voter()).map(|member| member.id)
    }

    fn other_voters(&self) -> impl Iterator<Item = &Member> {
        let own = self.replica.id();
        self.membership.voters().filter(move |member| member.id != own)
    }

    /// The voter that has been silent longest, if that is long enough to replace it.
    fn lost_voter(&self) -> Option<&Member> {
        let lost = self.other_voters().filter(|member| self.is_lost(member.id));
        lost.max_by_key(|member| self.silence(member.id))
    }

    fn retiring_voter(&self) -> Option<&Member> {
        self.other_voters().find(|member| self.is_retiring(member.id))
    }

    /// A voter of the zone with the most voters.
    fn crowded_voter(&self) -> Option<&Member> {
        self.other_voters().max_by_key(|member| self.voters_in(&member.zone))
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        let is_counted = |member: &&Member| member.zone == *zone && !self.is_lost(member.id);
        self.membership.voters().filter(is_counted).count()
    }

    /// Whether a voter has been silent for so long that a standby should take its
    /// place.
    fn is_lost(&self, id: ReplicaId) -> bool {
        self.silence(id) > self.replica.config.lost_voter_ticks
    }

    /// Whether a voter has said that it is about to stop.
    fn is_retiring(&self, id: ReplicaId) -> bool {
        let until = self.leadership.retiring.get(&id);
        until.is_some_and(|until| self.replica.now < *until)
    }

    /// The learner to promote if there are fewer voters than there should be.
    fn promotion(&self) -> Option<ReplicaId> {
        let missing = self.membership.voters().count() < self.replica.config.target_voters;
        self.best_candidate().filter(|_| missing).map(|member| member.id)
    }

    /// A standby for a voter that is lost, about to stop or badly placed.
    fn replacement(&self) -> Option<MembershipChange> {
        let standby = self.best_candidate()?;
        let voter = self.lost_voter().or_else(|| self.retiring_voter());
        let voter = voter.or_else(|| self.badly_placed_voter(standby))?;
        Some(MembershipChange::Replace { voter: voter.id, standby: standby.id })
    }

    /// A voter that shares its zone with another while the standby's zone has none.
    fn badly_placed_voter(&self, standby: &Member) -> Option<&Member> {
        let spreads = self.replica.config.spreads_zones && self.voters_in(&standby.zone) == 0;
        let voter = self.crowded_voter().filter(|_| spreads)?;
        (self.voters_in(&voter.zone) > 1).then_some(voter)
    }

    /// The live learner that holds the log, in the zone with the fewest voters.
    fn best_candidate(&self) -> Option<&Member> {
        let fit = |member: &&Member| {
            member.role == MemberRole::Learner
                && self.is_active(member.id)
                && !self.is_retiring(member.id)
                && self.replica.is_caught_up(self.leadership, member.id)
        };
        let candidates = self.membership.members.iter().filter(fit);
        candidates.min_by_key(|member| self.voters_in(&member.zone))
    }
}

/// Whether the replica is silent and another disk of its node is at work.
fn is_superseded(membership: &Membership, active: &[ReplicaId], id: ReplicaId) -> bool {
    let mut others = membership.on_node(id.node).filter(|member| member.id != id);
    !active.contains(&id) && others.any(|member| active.contains(&member.id))
}
