//! Recovery of a cluster that has permanently lost its quorum.
//!
//! An operator inspects the remaining data folders, makes a plan and applies it to
//! one of them. The chosen replica becomes the only voter of a new epoch. All other
//! replicas are fenced off by the epoch and must be wiped before they rejoin.

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

/// Summary of the content of a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FolderReport {
    /// Replica that the folder belongs to.
    pub id: ReplicaId,
    /// Cluster epoch.
    pub epoch: ClusterEpoch,
    /// Current term.
    pub term: Term,
    /// Position of the last entry. In one epoch, the highest marks the latest state.
    pub last: Position,
    /// Highest index known to be committed; the actual commit index may be higher.
    pub commit: Index,
    /// End of the snapshot.
    pub snapshot: Position,
    /// Latest known membership.
    pub membership: Membership,
}

impl FolderReport {
    /// Sort key by which the latest state is highest.
    fn rank(&self) -> (u64, Position) {
        (self.epoch.number, self.last)
    }
}

/// Error when a recovery is planned or applied.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// No folder was given.
    #[error("no readable data folder was given")]
    NoFolder,
    /// The folders belong to different clusters.
    #[error("the folders of {0} and {1} belong to different clusters")]
    DifferentClusters(ReplicaId, ReplicaId),
    /// No folder has been part of a cluster.
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

/// Outcome of a recovery, for an operator to confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryPlan {
    /// Folder with the latest state, whose replica becomes the only voter.
    pub chosen: FolderReport,
    /// Other folders, whose state is discarded.
    pub discarded: Vec<FolderReport>,
    /// Voters of the chosen folder's membership without a given folder. Later entries
    /// that only they hold are lost.
    pub missing_voters: Vec<ReplicaId>,
    /// Whether the given folders are a majority of the voters, which guarantees that the
    /// chosen one holds every committed entry.
    pub is_complete: bool,
    /// Epoch after the recovery.
    pub epoch: ClusterEpoch,
    /// Membership after the recovery.
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

/// Makes a plan that keeps the folder with the latest state. `token` is a random
/// number that makes the new epoch unique.
///
/// # Errors
/// Fails when no folder has been part of a cluster, or the clusters differ.
pub fn plan(reports: Vec<FolderReport>, token: u64) -> Result<RecoveryPlan, RecoveryError> {
    let mut reports = reports;
    reports.sort_by_key(|report| std::cmp::Reverse(report.rank()));
    let mut reports = reports.into_iter().filter(|report| report.epoch != ClusterEpoch::NONE);
    let chosen = reports.next().ok_or(RecoveryError::NoFolder)?;
    let discarded: Vec<FolderReport> = reports.collect();
    let foreign = discarded.iter().find(|other| other.epoch.cluster != chosen.epoch.cluster);
    if let Some(foreign) = foreign {
        return Err(RecoveryError::DifferentClusters(chosen.id, foreign.id));
    }
    let epoch = chosen.epoch.recovered(token);
    let zone = recovered_zone(&chosen)?;
    let membership = Membership::of_voters(epoch, [(chosen.id, zone)]);
    let given = |id: ReplicaId| id == chosen.id || discarded.iter().any(|other| other.id == id);
    let voters = chosen.membership.voters().map(|member| member.id);
    let missing_voters: Vec<ReplicaId> = voters.filter(|id| !given(*id)).collect();
    let is_complete = chosen.membership.has_majority(given);
    Ok(RecoveryPlan { chosen, discarded, missing_voters, is_complete, epoch, membership })
}

/// Zone of the chosen replica, or of the first member if the replica isn't in its own
/// membership yet.
fn recovered_zone(chosen: &FolderReport) -> Result<ZoneName, RecoveryError> {
    let membership = &chosen.membership;
    let own = membership.get(chosen.id).or_else(|| membership.members.first());
    own.map(|member| member.zone.clone()).ok_or(RecoveryError::NoMembership)
}

/// Applies a plan to the chosen folder.
///
/// All entries in its log become committed: some of them may have been, and no other
/// replica remains to find out.
///
/// # Errors
/// Fails when the folder has changed since the plan was made, or the disk fails.
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
    storage.sync_mark()?;
    Ok(())
}
