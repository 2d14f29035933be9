//! Recovery of a cluster that has lost its quorum for good.
//!
//! An operator inspects the data folders that are left, plans, and applies the
//! plan to one of them. The chosen replica becomes the only voter of a new
//! epoch; whatever was left out is fenced off by the epoch and has to be wiped
//! before its node joins again.

use juniper_consensus::{
    ClusterEpoch, Entry, HardState, Index, Membership, Payload, Position, ReplicaId, Term, Write,
};
use juniper_types::{NodeId, ZoneName};

use crate::disk::Disk;
use crate::error::{OpenError, StorageError};
use crate::identity::read_identity;
use crate::mark::read_mark;
use crate::segments::read_segments;
use crate::snapshot;
use crate::storage::Storage;

/// What a data folder holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderReport {
    /// The replica.
    pub id: ReplicaId,
    /// Its epoch.
    pub epoch: ClusterEpoch,
    /// Its term.
    pub term: Term,
    /// Its last entry. Among folders of one epoch, the highest is the latest state.
    pub last: Position,
    /// An index that it knew to be committed; the true one may be higher.
    pub commit: Index,
    /// End of its snapshot.
    pub snapshot: Position,
    /// The latest membership that it knew.
    pub membership: Membership,
}

impl FolderReport {
    /// Orders folders by how late their state is.
    fn rank(&self) -> (u64, Position) {
        (self.epoch.number, self.last)
    }
}

/// Why a recovery can't be planned or applied.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// No folder was given.
    #[error("no readable data folder was given")]
    NoFolder,
    /// The folders belong to different clusters.
    #[error("the folders of {0} and {1} belong to different clusters")]
    DifferentClusters(ReplicaId, ReplicaId),
    /// No folder was ever part of a cluster.
    #[error("no folder has a membership")]
    NoMembership,
    /// The folder has changed since the plan was made.
    #[error("the folder has changed since the plan was made")]
    Changed,
    /// The folder can't be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The folder can't be written.
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// What a recovery would do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryPlan {
    /// The folder with the latest state, which becomes the only voter.
    pub chosen: FolderReport,
    /// Other folders, whose state is given up.
    pub given_up: Vec<FolderReport>,
    /// Voters of the chosen folder's membership of which no folder was given. If one
    /// of them held later entries, these are lost.
    pub missing_voters: Vec<ReplicaId>,
    /// Whether the given folders hold a majority of the voters, so that every
    /// committed entry is sure to be in the chosen one.
    pub is_complete: bool,
    /// The epoch that follows.
    pub epoch: ClusterEpoch,
    /// The membership that follows.
    pub membership: Membership,
}

/// Reads a data folder without changing it.
///
/// # Errors
/// Fails when the folder can't be opened.
pub fn inspect(disk: &mut impl Disk) -> Result<FolderReport, OpenError> {
    disk.lock()?;
    let id = read_identity(disk)?;
    let mark = read_mark(disk)?;
    let snapshot = snapshot::read_latest(disk)?;
    let replay = read_segments(disk, snapshot.as_ref(), mark)?.replay;
    let position = snapshot.as_ref().map_or(Position::default(), |s| s.meta.position);
    let (hard_state, entries) = replay.into_parts();
    let restored = juniper_consensus::RestoredState { hard_state, snapshot, entries };
    Ok(FolderReport {
        id,
        epoch: hard_state.epoch,
        term: hard_state.term,
        last: restored.last(),
        commit: hard_state.commit,
        snapshot: position,
        membership: restored.membership().cloned().unwrap_or_default(),
    })
}

/// Chooses the folder with the latest state. `token` is a random number.
///
/// # Errors
/// Fails when there is nothing to choose from.
pub fn plan(reports: Vec<FolderReport>, token: u64) -> Result<RecoveryPlan, RecoveryError> {
    let mut reports = reports;
    reports.sort_by_key(|report| std::cmp::Reverse(report.rank()));
    let mut reports = reports.into_iter().filter(|report| report.epoch != ClusterEpoch::NONE);
    let chosen = reports.next().ok_or(RecoveryError::NoFolder)?;
    let given_up: Vec<FolderReport> = reports.collect();
    let stranger = given_up.iter().find(|other| other.epoch.cluster != chosen.epoch.cluster);
    if let Some(stranger) = stranger {
        return Err(RecoveryError::DifferentClusters(chosen.id, stranger.id));
    }
    let epoch = chosen.epoch.recovered(token);
    let zone = zone_of(&chosen)?;
    let membership = Membership::of_voters(epoch, [(chosen.id, zone)]);
    let given = |id: ReplicaId| id == chosen.id || given_up.iter().any(|other| other.id == id);
    let voters = chosen.membership.voters().map(|member| member.id);
    let missing_voters: Vec<ReplicaId> = voters.filter(|id| !given(*id)).collect();
    let is_complete = chosen.membership.has_majority(given);
    Ok(RecoveryPlan { chosen, given_up, missing_voters, is_complete, epoch, membership })
}

/// The zone of the chosen replica, or that of any member if it isn't in its own
/// membership yet.
fn zone_of(chosen: &FolderReport) -> Result<ZoneName, RecoveryError> {
    let membership = &chosen.membership;
    let own = membership.get(chosen.id).or_else(|| membership.members.first());
    own.map(|member| member.zone.clone()).ok_or(RecoveryError::NoMembership)
}

/// Carries out a plan on the chosen folder.
///
/// Everything in its log counts as committed from then on: some of it may have
/// been, and there is nobody left to ask.
///
/// # Errors
/// Fails when the folder isn't as it was when the plan was made, or the disk fails.
pub fn apply(disk: impl Disk, plan: &RecoveryPlan) -> Result<(), RecoveryError> {
    let node: NodeId = plan.chosen.id.node;
    let (mut storage, restored) = Storage::open(disk, node)?;
    if storage.id() != plan.chosen.id || restored.last() != plan.chosen.last {
        return Err(RecoveryError::Changed);
    }
    let term = restored.hard_state.term.max(restored.last().term) + 1;
    let index = restored.last().index + 1;
    let payload = Payload::Membership(plan.membership.clone());
    let write = Write {
        number: 1,
        hard_state: Some(HardState { epoch: plan.epoch, term, vote: None, commit: index }),
        snapshot: None,
        entries: vec![Entry { term, index, payload }],
        last: Position { term, index },
    };
    storage.save(&write)?;
    storage.seal()?;
    Ok(())
}
