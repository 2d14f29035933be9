//! Set of replicas in a cluster, stored in the log and changed one replica at a time.
//!
//! Replacing a voter by a standby changes two replicas and goes through a joint
//! membership, in which decisions need a majority of the outgoing voter set and a
//! majority of the incoming voter set.

use juniper_types::{NodeId, ZoneName};
use minicbor::{Decode, Encode};

use crate::identity::{ClusterEpoch, ReplicaId};

/// Maximum number of replicas in a membership, learners included.
///
/// Bounds the fan-out of the leader, which sends each member every entry and ten
/// heartbeats a second. docs/CAPACITY.md lists the cost per member.
pub const MAX_MEMBERS: usize = 64;

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberRole {
    /// Votes and counts towards the quorum.
    #[n(0)]
    Voter,
    /// Receives the log without voting. A standby that may be promoted to a voter.
    #[n(1)]
    Learner,
    /// Standby that is replacing a voter. Votes in the incoming voter set only.
    #[n(2)]
    Incoming,
    /// Voter that is being replaced by a standby. Votes in the outgoing voter set only.
    #[n(3)]
    Outgoing,
}

impl MemberRole {
    /// Name of the role for status output and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            MemberRole::Voter => "voter",
            MemberRole::Learner => "learner",
            MemberRole::Incoming => "incoming voter",
            MemberRole::Outgoing => "outgoing voter",
        }
    }

    /// Whether members with this role vote.
    pub const fn votes(self) -> bool {
        !matches!(self, MemberRole::Learner)
    }

    /// Whether members with this role vote in `set`.
    const fn votes_in(self, set: VoterSet) -> bool {
        match self {
            MemberRole::Voter => true,
            MemberRole::Learner => false,
            MemberRole::Incoming => matches!(set, VoterSet::Incoming),
            MemberRole::Outgoing => matches!(set, VoterSet::Outgoing),
        }
    }
}

/// Voter set before (`Outgoing`) or after (`Incoming`) a replacement. Both are equal if no
/// replacement is in progress.
#[derive(Clone, Copy, Debug)]
enum VoterSet {
    Outgoing,
    Incoming,
}

const VOTER_SETS: [VoterSet; 2] = [VoterSet::Outgoing, VoterSet::Incoming];

/// Replica in a membership.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Identity of the replica.
    #[n(0)]
    pub id: ReplicaId,
    /// Zone of the replica; voters are spread over zones.
    #[n(1)]
    pub zone: ZoneName,
    /// Role of the replica.
    #[n(2)]
    pub role: MemberRole,
}

/// Change of a membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log without voting.
    AddLearner {
        /// Identity of the replica.
        id: ReplicaId,
        /// Zone of the replica.
        zone: ZoneName,
    },
    /// Promotes a learner to a voter.
    Promote(ReplicaId),
    /// Demotes a voter to a learner.
    Demote(ReplicaId),
    /// Removes a replica.
    Remove(ReplicaId),
    /// Starts replacing a voter by a learner; the membership becomes joint.
    Replace {
        /// Voter to replace.
        voter: ReplicaId,
        /// Learner that becomes a voter.
        standby: ReplicaId,
    },
    /// Finishes a replacement; the incoming voter set becomes the only one.
    FinishReplacement,
}

/// Reason why a change is invalid for a membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The replica is already a member.
    #[error("{0} is already a member")]
    AlreadyMember(ReplicaId),
    /// The replica is not a member with the role required by the change.
    #[error("{0} does not have the role required by the change")]
    WrongRole(ReplicaId),
    /// The replacement of a voter must finish first.
    #[error("a voter is being replaced")]
    ReplacementInProgress,
    /// No voter is being replaced.
    #[error("no voter is being replaced")]
    NoReplacement,
    /// The last voter can't be removed or demoted.
    #[error("the last voter can't be removed or demoted")]
    LastVoter,
    /// The membership has [`MAX_MEMBERS`] replicas.
    #[error("the membership is limited to {MAX_MEMBERS} replicas")]
    Full,
}

/// Replicas of a cluster with their roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Membership {
    /// Epoch of the membership.
    #[n(0)]
    pub epoch: ClusterEpoch,
    /// Members in ascending order of their ids.
    #[n(1)]
    pub members: Vec<Member>,
}

impl Membership {
    /// Creates a membership that consists of voters.
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

    /// Returns the member with this id.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the replica with this node and disk is a voter.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|member| member.role.votes())
    }

    /// Whether the replica with this node and disk is a member.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.get(id).is_some()
    }

    /// Members that vote, including both the outgoing and the incoming one of a replacement.
    pub fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role.votes())
    }

    /// Whether a voter is being replaced.
    pub fn is_joint(&self) -> bool {
        let replaced =
            |member: &Member| matches!(member.role, MemberRole::Incoming | MemberRole::Outgoing);
        self.members.iter().any(replaced)
    }

    fn voters_in(&self, set: VoterSet) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role.votes_in(set))
    }

    /// Members with the learner role.
    pub fn learners(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| member.role == MemberRole::Learner)
    }

    /// Members on `node`. There are two while a replaced disk is catching up.
    pub fn on_node(&self, node: NodeId) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.id.node == node)
    }

    /// Whether the replicas for which `counts` returns true are a majority of each voter set.
    pub fn has_majority(&self, counts: impl Fn(ReplicaId) -> bool) -> bool {
        self.reached_by_majority(|id| u64::from(counts(id))) > 0
    }

    /// Highest number that a majority of each voter set has reached; 0 without voters.
    pub fn reached_by_majority(&self, reached: impl Fn(ReplicaId) -> u64) -> u64 {
        let reached_in = |set: VoterSet| {
            let mut numbers: Vec<u64> = self.voters_in(set).map(|m| reached(m.id)).collect();
            numbers.sort_unstable_by(|left, right| right.cmp(left));
            numbers.get(numbers.len() / 2).copied().unwrap_or(0)
        };
        VOTER_SETS.into_iter().map(reached_in).min().unwrap_or(0)
    }

    /// Returns the membership after `change`.
    ///
    /// # Errors
    /// Fails if the change is invalid for this membership.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        let changes_votes = !matches!(
            change,
            MembershipChange::AddLearner { .. } | MembershipChange::FinishReplacement
        );
        if changes_votes && self.is_joint() {
            return Err(MembershipError::ReplacementInProgress);
        }
        match change {
            MembershipChange::AddLearner { id, zone } => next.add_learner(*id, zone.clone())?,
            MembershipChange::Promote(id) => {
                next.change_role(*id, MemberRole::Learner, MemberRole::Voter)?;
            }
            MembershipChange::Demote(id) => {
                next.change_role(*id, MemberRole::Voter, MemberRole::Learner)?;
            }
            MembershipChange::Remove(id) => next.remove(*id)?,
            MembershipChange::Replace { voter, standby } => {
                next.change_role(*voter, MemberRole::Voter, MemberRole::Outgoing)?;
                next.change_role(*standby, MemberRole::Learner, MemberRole::Incoming)?;
            }
            MembershipChange::FinishReplacement => next.finish_replacement()?,
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

    fn change_role(
        &mut self,
        id: ReplicaId,
        from: MemberRole,
        to: MemberRole,
    ) -> Result<(), MembershipError> {
        let found = self.members.iter_mut().find(|member| member.id == id && member.role == from);
        found.ok_or(MembershipError::WrongRole(id))?.role = to;
        Ok(())
    }

    fn finish_replacement(&mut self) -> Result<(), MembershipError> {
        if !self.is_joint() {
            return Err(MembershipError::NoReplacement);
        }
        for member in &mut self.members {
            member.role = match member.role {
                MemberRole::Incoming => MemberRole::Voter,
                MemberRole::Outgoing => MemberRole::Learner,
                role => role,
            };
        }
        Ok(())
    }

    fn remove(&mut self, id: ReplicaId) -> Result<(), MembershipError> {
        let position = self.members.iter().position(|member| member.id == id);
        self.members.remove(position.ok_or(MembershipError::WrongRole(id))?);
        Ok(())
    }
}
