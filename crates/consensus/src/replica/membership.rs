//! Membership changes, requested by an operator or a joining replica, or made by the
//! leader to replace lost voters.
//!
//! Only one change of one replica is in progress at a time, so that any majority before
//! the change and any majority after it overlap. A replacement changes two replicas in
//! two steps, with a joint membership in between.
//!
//! A voter whose node has another disk now can't return. The leader removes it
//! immediately, which makes no quorum harder to reach, and promotes the new disk once
//! that has caught up. A voter that is only inactive may return, so a standby replaces
//! it through a joint membership: losing the standby as well leaves two of three voters.
//! With a promotion followed by a demotion, it would leave two of four, no majority.

use juniper_types::ZoneName;

use super::{LeaderState, Replica, State};
use crate::entry::{Index, Payload};
use crate::error::{MembershipChangeError, ProposeError};
use crate::identity::ReplicaId;
use crate::membership::{MAX_MEMBERS, Member, MemberRole, Membership, MembershipChange};
use crate::message::Message;
use crate::progress::Mode;
use crate::ready::Proposal;

/// Maximum number of entries by which a learner may lag behind the commit index when promoted.
///
/// Not zero, because some acknowledgements are always in flight under load.
const MAX_PROMOTION_LAG: Index = 64;

/// Time until a shutdown announcement expires, in election timeouts.
const RETIRING_ELECTION_TIMEOUTS: u64 = 6;

/// Maximum time since the last contact with a learner when promoted, in heartbeat intervals.
///
/// Prevents the promotion of a replica that has just been lost. Tolerates one lost message.
const PROMOTION_HEARTBEATS: u64 = 2;

impl Replica {
    pub(super) fn change_members(
        &mut self,
        change: &MembershipChange,
    ) -> Result<Proposal, MembershipChangeError> {
        let State::Leader(leader_state) = &self.state else {
            let leader = self.leader.map(|leader| leader.node);
            return Err(ProposeError::NotLeader { leader }.into());
        };
        if self.log.membership_index() > self.commit || !self.has_committed_in_term() {
            return Err(MembershipChangeError::Pending);
        }
        let own = self.id();
        let removes_leader =
            *change == MembershipChange::Demote(own) || *change == MembershipChange::Remove(own);
        if removes_leader {
            return Err(MembershipChangeError::IsLeader);
        }
        let next = self.log.membership().with_change(change)?;
        if !self.is_safe(leader_state, change, &next) {
            return Err(MembershipChangeError::Unsafe);
        }
        Ok(self.propose_payload(Payload::Membership(next))?)
    }

    /// Whether the active voters of `next` can commit, a new voter has caught up, and no
    /// voter is removed or demoted that the target number requires. With fewer voters than
    /// the target, a loss that the leader has not detected yet could be the loss of the quorum.
    fn is_safe(
        &self,
        leader_state: &LeaderState,
        change: &MembershipChange,
        next: &Membership,
    ) -> bool {
        let new_voter = match change {
            MembershipChange::Promote(id) => Some(*id),
            MembershipChange::Replace { standby, .. } => Some(*standby),
            _ => None,
        };
        if new_voter.is_some_and(|id| !self.is_caught_up(leader_state, id)) {
            return false;
        }
        if self.removes_required_voter(leader_state, change, next) {
            return false;
        }
        let changes_quorum = !matches!(change, MembershipChange::AddLearner { .. });
        let mut active = self.recently_active(leader_state);
        if let MembershipChange::Replace { standby, .. } = change {
            // The standby could be lost before it acknowledges an entry, so the majority
            // must not depend on it.
            active.retain(|id| id != standby);
        }
        !changes_quorum || next.has_majority(|id| active.contains(&id))
    }

    /// Whether the change removes or demotes a voter that the target number requires and
    /// that is active or may return.
    fn removes_required_voter(
        &self,
        leader_state: &LeaderState,
        change: &MembershipChange,
        next: &Membership,
    ) -> bool {
        let (MembershipChange::Demote(id) | MembershipChange::Remove(id)) = change else {
            return false;
        };
        let membership = self.log.membership();
        let below_target = next.voters().count() < self.config.target_voters;
        let active = self.recently_active(leader_state);
        membership.is_voter(*id) && below_target && !is_superseded(membership, &active, *id)
    }

    fn is_caught_up(&self, leader_state: &LeaderState, id: ReplicaId) -> bool {
        leader_state.progress.get(&id).is_some_and(|progress| {
            let within_lag = progress.matched + MAX_PROMOTION_LAG >= self.commit;
            let silence = self.now - progress.last_contact;
            let active = silence <= PROMOTION_HEARTBEATS * self.config.heartbeat_ticks;
            let replicates = matches!(progress.mode, Mode::Replicate);
            within_lag && active && progress.matched > 0 && replicates
        })
    }

    /// Adds a replica as a learner. Failures are not reported, because the replica repeats
    /// the request until it succeeds.
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

    /// Forwards a join request to the leader, which the joining replica may not know. A
    /// forwarded request names a disk and isn't forwarded again.
    pub(super) fn forward_join_request(&mut self, request: &Message) {
        let leader = self.leader.filter(|leader| *leader != self.id());
        let Some(leader) = leader.filter(|_| request.to_disk.is_none()) else { return };
        if self.config.admits_any_node && leader.node != request.from.node {
            let mut forwarded = request.clone();
            forwarded.to = leader.node;
            forwarded.to_disk = Some(leader.disk);
            self.send_raw(forwarded);
        }
    }

    /// Records that a replica is about to stop, so that a standby replaces it if it is a voter.
    pub(super) fn on_retire(&mut self, id: ReplicaId) {
        let until = self.now + RETIRING_ELECTION_TIMEOUTS * self.config.election_ticks;
        if let State::Leader(leader_state) = &mut self.state {
            leader_state.retiring.insert(id, until);
        }
    }

    /// Selects an inactive learner to remove in favor of `newcomer`, preferably of the same node.
    fn replaceable_learner(&self, newcomer: ReplicaId) -> Option<ReplicaId> {
        let State::Leader(leader_state) = &self.state else { return None };
        let active = self.recently_active(leader_state);
        let inactive = self.log.membership().learners().map(|member| member.id);
        let inactive = inactive.filter(|id| !active.contains(id));
        inactive.max_by_key(|id| id.node == newcomer.node)
    }

    /// Proposes the next membership change required to maintain the cluster, if any.
    pub(super) fn maintain_membership(&mut self) {
        let State::Leader(leader_state) = &self.state else { return };
        let pending = self.log.membership_index() > self.commit;
        if pending || !self.has_committed_in_term() || leader_state.transfer.is_some() {
            return;
        }
        let view = MembershipView {
            replica: self,
            leader_state,
            membership: self.log.membership(),
            active: self.recently_active(leader_state),
        };
        if let Some(change) = view.required_change() {
            self.change_members(&change).ok();
        }
    }
}

/// Membership and activity of members at one tick, as seen by the leader.
struct MembershipView<'a> {
    replica: &'a Replica,
    leader_state: &'a LeaderState,
    membership: &'a Membership,
    active: Vec<ReplicaId>,
}

impl MembershipView<'_> {
    fn required_change(&self) -> Option<MembershipChange> {
        if self.membership.is_joint() {
            return Some(MembershipChange::FinishReplacement);
        }
        self.obsolete_learner()
            .or_else(|| self.superseded_voter())
            .map(MembershipChange::Remove)
            .or_else(|| self.surplus_voter().map(MembershipChange::Demote))
            .or_else(|| self.learner_to_promote().map(MembershipChange::Promote))
            .or_else(|| self.replacement())
    }

    fn is_active(&self, id: ReplicaId) -> bool {
        self.active.contains(&id)
    }

    /// Ticks since the last contact with the member.
    fn silence(&self, id: ReplicaId) -> u64 {
        let progress = self.leader_state.progress.get(&id);
        progress.map_or(0, |progress| self.replica.now - progress.last_contact)
    }

    fn is_superseded(&self, id: ReplicaId) -> bool {
        is_superseded(self.membership, &self.active, id)
    }

    /// Returns a voter whose disk has been replaced.
    fn superseded_voter(&self) -> Option<ReplicaId> {
        let mut voters = self.membership.voters().map(|member| member.id);
        voters.find(|id| self.is_superseded(*id))
    }

    /// Returns a learner that has been inactive for too long or whose disk has been replaced.
    fn obsolete_learner(&self) -> Option<ReplicaId> {
        let limit = self.replica.config.lost_learner_ticks;
        let mut learners = self.membership.learners().map(|member| member.id);
        learners.find(|id| self.silence(*id) > limit || self.is_superseded(*id))
    }

    /// Returns a voter to demote if there are more than the target number: the one inactive
    /// for the longest time, else one that is about to stop, else one of the zone with the
    /// most voters.
    fn surplus_voter(&self) -> Option<ReplicaId> {
        if self.membership.voters().count() <= self.replica.config.target_voters {
            return None;
        }
        let inactive = self.other_voters().filter(|member| !self.is_active(member.id));
        let surplus = inactive.max_by_key(|member| self.silence(member.id));
        let surplus = surplus.or_else(|| self.retiring_voter());
        surplus.or_else(|| self.voter_in_fullest_zone()).map(|member| member.id)
    }

    fn other_voters(&self) -> impl Iterator<Item = &Member> {
        let own = self.replica.id();
        self.membership.voters().filter(move |member| member.id != own)
    }

    /// Returns the lost voter that has been inactive for the longest time.
    fn lost_voter(&self) -> Option<&Member> {
        let lost = self.other_voters().filter(|member| self.is_lost(member.id));
        lost.max_by_key(|member| self.silence(member.id))
    }

    fn retiring_voter(&self) -> Option<&Member> {
        self.other_voters().find(|member| self.is_retiring(member.id))
    }

    /// Returns a voter of the zone with the most voters.
    fn voter_in_fullest_zone(&self) -> Option<&Member> {
        self.other_voters().max_by_key(|member| self.voters_in(&member.zone))
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        let is_counted = |member: &&Member| member.zone == *zone && !self.is_lost(member.id);
        self.membership.voters().filter(is_counted).count()
    }

    /// Whether a voter has been inactive for so long that a standby should replace it.
    fn is_lost(&self, id: ReplicaId) -> bool {
        self.silence(id) > self.replica.config.lost_voter_ticks
    }

    /// Whether a member has announced that it is about to stop.
    fn is_retiring(&self, id: ReplicaId) -> bool {
        let until = self.leader_state.retiring.get(&id);
        until.is_some_and(|until| self.replica.now < *until)
    }

    /// Returns the learner to promote if there are fewer voters than the target number.
    fn learner_to_promote(&self) -> Option<ReplicaId> {
        let below_target = self.membership.voters().count() < self.replica.config.target_voters;
        self.best_standby().filter(|_| below_target).map(|member| member.id)
    }

    /// Returns the replacement of a voter that is lost, is about to stop or shares a zone
    /// with another voter.
    fn replacement(&self) -> Option<MembershipChange> {
        let standby = self.best_standby()?;
        let voter = self.lost_voter().or_else(|| self.retiring_voter());
        let voter = voter.or_else(|| self.voter_in_shared_zone(standby))?;
        Some(MembershipChange::Replace { voter: voter.id, standby: standby.id })
    }

    /// Returns a voter that shares its zone with another one if the standby's zone has no voter.
    fn voter_in_shared_zone(&self, standby: &Member) -> Option<&Member> {
        let spreads = self.replica.config.spreads_zones && self.voters_in(&standby.zone) == 0;
        let voter = self.voter_in_fullest_zone().filter(|_| spreads)?;
        (self.voters_in(&voter.zone) > 1).then_some(voter)
    }

    /// Returns the active learner that has caught up and whose zone has the fewest voters.
    fn best_standby(&self) -> Option<&Member> {
        let is_eligible = |member: &&Member| {
            member.role == MemberRole::Learner
                && self.is_active(member.id)
                && !self.is_retiring(member.id)
                && self.replica.is_caught_up(self.leader_state, member.id)
        };
        let standbys = self.membership.members.iter().filter(is_eligible);
        standbys.min_by_key(|member| self.voters_in(&member.zone))
    }
}

/// Whether the replica is inactive and its node has an active replica with another disk.
fn is_superseded(membership: &Membership, active: &[ReplicaId], id: ReplicaId) -> bool {
    let mut others = membership.on_node(id.node).filter(|member| member.id != id);
    !active.contains(&id) && others.any(|member| active.contains(&member.id))
}
