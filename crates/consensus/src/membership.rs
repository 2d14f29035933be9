//! The set of replicas, kept in the log and changed one replica at a time.

use juniper_types::{NodeId, ZoneName};
use minicbor::{Decode, Encode};

use crate::identity::{ClusterEpoch, ReplicaId};

/// Most replicas in a membership, learners included.
///
/// Nine leaves room for five voters, a standby for each of four and bounds the
/// leader's fan-out.
pub const MAX_MEMBERS: usize = 9;

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    #[n(0)]
    Voter,
    /// Receives the log only; a standby that may be promoted to a voter.
    #[n(1)]
    Learner,
}

/// One replica of a membership.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Which replica.
    #[n(0)]
    pub id: ReplicaId,
    /// The zone it runs in; voters are spread over zones.
    #[n(1)]
    pub zone: ZoneName,
    /// What it does.
    #[n(2)]
    pub role: MemberRole,
}

/// A change of one replica's part in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner {
        /// The replica.
        id: ReplicaId,
        /// Its zone.
        zone: ZoneName,
    },
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Makes a voter a learner.
    Demote(ReplicaId),
    /// Takes a replica out.
    Remove(ReplicaId),
}

/// Why a change doesn't fit the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The replica is in the membership already.
    #[error("{0} is a member already")]
    AlreadyMember(ReplicaId),
    /// The replica isn't in the membership in the role that the change needs.
    #[error("{0} does not have the role that the change needs")]
    WrongRole(ReplicaId),
    /// The last voter can't be taken away.
    #[error("a membership needs a voter")]
    LastVoter,
    /// There are [`MAX_MEMBERS`] already.
    #[error("a membership has at most {MAX_MEMBERS} replicas")]
    Full,
}

/// All replicas of a cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// The epoch that the membership belongs to.
    #[n(0)]
    pub epoch: ClusterEpoch,
    /// The replicas, in order of their ids.
    #[n(1)]
    pub members: Vec<Member>,
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(
        epoch: ClusterEpoch,
        voters: impl IntoIterator<Item = (ReplicaId, ZoneName)>,
    ) -> Self {
        let make = |(id, zone)| Member { id, zone, role: MemberRole::Voter };
        let mut members: Vec<Member> = voters.into_iter().map(make).collect();
        members.sort_by_key(|member| member.id);
        members.dedup_by_key(|member| member.id);
        Membership { epoch, members }
    }

    /// The member with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether this very replica, disk included, votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// Whether this very replica, disk included, is a member.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.get(id).is_some()
    }

    /// Members whose role is voter.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == MemberRole::Voter)
    }

    /// Members whose role is learner.
    pub fn learners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == MemberRole::Learner)
    }

    /// Members that live on `node`; two while a repaired disk takes over.
    pub fn on_node(&self, node: NodeId) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.id.node == node)
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The membership after `change`.
    ///
    /// # Errors
    /// Fails when the change doesn't fit.
    pub fn changed(&self, change: &MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner { id, zone } => next.add_learner(*id, zone.clone())?,
            MembershipChange::Promote(id) => next.set_role(*id, MemberRole::Voter)?,
            MembershipChange::Demote(id) => next.set_role(*id, MemberRole::Learner)?,
            MembershipChange::Remove(id) => next.remove(*id)?,
        }
        if next.voters().next().is_none() {
            return Err(MembershipError::LastVoter);
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: ReplicaId, zone: ZoneName) -> Result<(), MembershipError> {
        if self.contains(id) {
            return Err(MembershipError::AlreadyMember(id));
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err(MembershipError::Full);
        }
        self.members.push(Member { id, zone, role: MemberRole::Learner });
        self.members.sort_by_key(|member| member.id);
        Ok(())
    }

    fn set_role(&mut self, id: ReplicaId, role: MemberRole) -> Result<(), MembershipError> {
        let found = self.members.iter_mut().find(|member| member.id == id && member.role != role);
        found.ok_or(MembershipError::WrongRole(id))?.role = role;
        Ok(())
    }

    fn remove(&mut self, id: ReplicaId) -> Result<(), MembershipError> {
        let position = self.members.iter().position(|member| member.id == id);
        self.members.remove(position.ok_or(MembershipError::WrongRole(id))?);
        Ok(())
    }
}
