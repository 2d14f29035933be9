//! Recovery of a lost quorum: choice of the latest folder, report to the operator, fencing.

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Entry, HardState, MemberRole, Membership, Payload, Position,
    ReplicaId, Write,
};
use juniper_storage::{Folder, FolderReport, RecoveryError, Storage, apply, format, inspect, plan};
use juniper_types::{NodeId, ZoneName};
use tempfile::TempDir;

const TOKEN: u64 = 4_711;

fn id(node: u64) -> ReplicaId {
    ReplicaId { node: NodeId(node), disk: DiskIdentity::from_random(node.into()) }
}

fn membership(cluster: u64) -> Membership {
    let zone = |node: u64| ZoneName::new(format!("zone-{node}")).unwrap();
    let voters = (1..=3).map(|node| (id(node), zone(node)));
    Membership::of_voters(ClusterEpoch::first(cluster), voters)
}

/// Creates a folder of `node` whose log ends at `last` and is written in that term.
fn folder(node: u64, cluster: u64, last: Position) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    let mut disk = Folder::new(folder.path()).unwrap();
    format(&mut disk, id(node), Some(&membership(cluster))).unwrap();
    let (mut storage, _) = Storage::open(disk, NodeId(node)).unwrap();
    let entry = |index| Entry { term: last.term, index, payload: Payload::Data(vec![1]) };
    let epoch = ClusterEpoch::first(cluster);
    let hard_state = HardState { epoch, term: last.term, vote: Some(id(1)), commit: 1 };
    let entries = (2..=last.index).map(entry).collect();
    let write = Write { number: 1, hard_state: Some(hard_state), snapshot: None, entries, last };
    storage.save(&write).unwrap();
    folder
}

fn report(folder: &TempDir) -> FolderReport {
    inspect(&mut Folder::new(folder.path()).unwrap()).unwrap()
}

#[test]
fn folder_with_highest_term_is_chosen_over_longer_log() {
    let longer = folder(1, 5, Position { term: 2, index: 9 });
    let later = folder(2, 5, Position { term: 3, index: 4 });
    let plan = plan(vec![report(&longer), report(&later)], TOKEN).unwrap();
    assert_eq!(plan.chosen.id, id(2));
    assert_eq!(plan.discarded.iter().map(|other| other.id).collect::<Vec<_>>(), [id(1)]);
    assert_eq!((plan.missing_voters, plan.is_complete), (vec![id(3)], true));
}

#[test]
fn plan_from_a_minority_reports_missing_voters() {
    let only = folder(2, 5, Position { term: 3, index: 4 });
    let plan = plan(vec![report(&only)], TOKEN).unwrap();
    assert_eq!((plan.missing_voters, plan.is_complete), (vec![id(1), id(3)], false));
}

#[test]
fn planning_changes_nothing_and_applying_leaves_one_voter_in_a_new_epoch() {
    let chosen = folder(2, 5, Position { term: 3, index: 4 });
    let before = report(&chosen);
    let plan = plan(vec![before.clone()], TOKEN).unwrap();
    assert_eq!(report(&chosen), before);
    apply(Folder::new(chosen.path()).unwrap(), &plan).unwrap();
    let after = report(&chosen);
    assert_eq!(after.epoch, ClusterEpoch::first(5).recovered(TOKEN));
    assert_eq!((after.last, after.commit), (Position { term: 4, index: 5 }, 5));
    let voters: Vec<_> = after.membership.members.iter().map(|m| (m.id, m.role)).collect();
    assert_eq!(voters, [(id(2), MemberRole::Voter)]);
    let again = apply(Folder::new(chosen.path()).unwrap(), &plan);
    assert!(matches!(again, Err(RecoveryError::Changed)));
}

#[test]
fn folders_of_different_clusters_or_without_cluster_are_rejected() {
    let first_cluster = folder(1, 5, Position { term: 2, index: 9 });
    let second_cluster = folder(2, 6, Position { term: 2, index: 9 });
    let mixed = plan(vec![report(&first_cluster), report(&second_cluster)], TOKEN);
    assert!(matches!(mixed, Err(RecoveryError::DifferentClusters(..))));
    let empty = tempfile::tempdir().unwrap();
    format(&mut Folder::new(empty.path()).unwrap(), id(3), None).unwrap();
    assert!(matches!(plan(vec![report(&empty)], TOKEN), Err(RecoveryError::NoFolder)));
    assert!(matches!(plan(Vec::new(), TOKEN), Err(RecoveryError::NoFolder)));
}

#[test]
fn folder_of_later_epoch_is_chosen_over_longer_log() {
    let recovered = folder(1, 5, Position { term: 2, index: 3 });
    let first = plan(vec![report(&recovered)], TOKEN).unwrap();
    apply(Folder::new(recovered.path()).unwrap(), &first).unwrap();
    let fenced = folder(2, 5, Position { term: 9, index: 50 });
    let second = plan(vec![report(&fenced), report(&recovered)], TOKEN + 1).unwrap();
    assert_eq!(second.chosen.id, id(1));
}
