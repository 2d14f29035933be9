//! Storage on a real folder: formatting, restarts, torn writes, damage, copies and wipes.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use juniper_consensus::{Position, Snapshot, SnapshotMeta};
use juniper_storage::{
    Damage, DiskError, Folder, FormatError, OpenError, Storage, format, inspect, wipe,
};
use juniper_types::NodeId;
use support::{NODE, data, id, initial_membership, open, write};
use tempfile::TempDir;

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let matches = |path: &PathBuf| path.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut found: Vec<PathBuf> = paths.filter(matches).collect();
    found.sort();
    found
}

fn snapshot(index: u64) -> Snapshot {
    let position = Position { term: 1, index };
    let meta = SnapshotMeta { position, membership: initial_membership() };
    Snapshot { meta, data: Arc::new(vec![3; 50]) }
}

fn new_folder() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    format(&mut Folder::new(folder.path()).unwrap(), id(1), Some(&initial_membership())).unwrap();
    folder
}

/// Creates a folder with entries up to index `count + 1`, each saved separately.
fn folder_with_entries(count: u64) -> TempDir {
    let folder = new_folder();
    let (mut storage, _) = open(folder.path()).unwrap();
    (1..=count).for_each(|n| storage.save(&write(n, 1, &[n + 1])).unwrap());
    folder
}

#[test]
fn new_folder_starts_with_initial_membership_or_empty() {
    let folder = new_folder();
    let (storage, restored) = open(folder.path()).unwrap();
    assert_eq!((storage.id(), restored.membership()), (id(1), Some(&initial_membership())));
    drop(storage);
    let joining = tempfile::tempdir().unwrap();
    let mut disk = Folder::new(joining.path()).unwrap();
    let open_empty = Storage::open(Folder::new(joining.path()).unwrap(), NODE);
    assert!(matches!(open_empty, Err(OpenError::NotFormatted)));
    drop(open_empty);
    format(&mut disk, id(2), None).unwrap();
    drop(disk);
    let (_, restored) = open(joining.path()).unwrap();
    assert_eq!((restored.last(), restored.membership()), (Position::default(), None));
}

#[test]
fn folder_that_is_locked_formatted_or_of_another_node_is_rejected() {
    let folder = new_folder();
    let mut disk = Folder::new(folder.path()).unwrap();
    assert!(matches!(format(&mut disk, id(1), None), Err(FormatError::NotEmpty)));
    assert!(matches!(open(folder.path()), Err(OpenError::Disk(DiskError::Locked))));
    drop(disk);
    let other = Storage::open(Folder::new(folder.path()).unwrap(), NodeId(9));
    assert!(matches!(other, Err(OpenError::WrongNode { found: NODE, expected: NodeId(9) })));
}

#[test]
fn saved_entries_survive_repeated_restarts() {
    let folder = new_folder();
    for round in 1..=30 {
        let (mut storage, restored) = open(folder.path()).unwrap();
        assert_eq!(restored.last().index, round);
        storage.save(&write(1, round, &[round + 1])).unwrap();
    }
    let (mut storage, restored) = open(folder.path()).unwrap();
    assert_eq!((restored.hard_state.term, restored.entries.len()), (30, 31));
    storage.save(&write(1, 31, &[5, 6])).unwrap();
    drop(storage);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.last(), Position { term: 31, index: 6 }, "later entries are discarded");
}

#[test]
fn snapshot_replaces_covered_entries_and_older_snapshots() {
    let folder = folder_with_entries(10);
    let (mut storage, _) = open(folder.path()).unwrap();
    let mut with_snapshot = write(1, 1, &[]);
    with_snapshot.snapshot = Some(snapshot(8));
    with_snapshot.last = Position { term: 1, index: 11 };
    storage.save(&with_snapshot).unwrap();
    storage.save(&write(2, 1, &[12])).unwrap();
    drop(storage);
    let (mut storage, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.snapshot, Some(snapshot(8)));
    assert_eq!(restored.entries.iter().map(|e| e.index).collect::<Vec<_>>(), [9, 10, 11, 12]);
    let mut foreign = write(1, 3, &[]);
    foreign.snapshot = Some(snapshot(40));
    foreign.last = snapshot(40).meta.position;
    storage.save(&foreign).unwrap();
    drop(storage);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!((restored.snapshot, restored.entries.len()), (Some(snapshot(40)), 0));
    assert_eq!(files(folder.path(), "snapshot-").len(), 1);
}

#[test]
fn entry_replaced_after_restart_and_covered_by_snapshot_is_not_a_gap() {
    let folder = folder_with_entries(10);
    let (mut storage, _) = open(folder.path()).unwrap();
    let mut early = write(1, 1, &[]);
    (early.snapshot, early.last) = (Some(snapshot(5)), Position { term: 1, index: 11 });
    storage.save(&early).unwrap();
    drop(storage);
    let (mut storage, _) = open(folder.path()).unwrap();
    storage.save(&write(1, 2, &[11, 12])).unwrap();
    let mut covering = write(2, 2, &[]);
    covering.snapshot = Some(snapshot(11));
    covering.snapshot.as_mut().unwrap().meta.position.term = 2;
    covering.last = Position { term: 2, index: 12 };
    storage.save(&covering).unwrap();
    drop(storage);
    let (_, restored) = open(folder.path()).unwrap();
    assert_eq!(restored.snapshot, covering.snapshot);
    assert_eq!(restored.entries.iter().map(|e| e.index).collect::<Vec<_>>(), [12]);
}

#[test]
fn unsynced_torn_write_is_truncated() {
    for torn in [1, 3, 20, 200] {
        let folder = folder_with_entries(5);
        let newest = files(folder.path(), "segment-").pop().unwrap();
        let mut content = fs::read(&newest).unwrap();
        content.extend(vec![0xa5; torn]);
        fs::write(&newest, content).unwrap();
        let (mut storage, restored) = open(folder.path()).unwrap();
        assert_eq!(restored.last().index, 6);
        storage.save(&write(1, 1, &[7])).unwrap();
        drop(storage);
        assert_eq!(open(folder.path()).unwrap().1.last().index, 7);
    }
}

#[test]
fn every_damaged_byte_of_synced_data_is_reported() {
    let folder = folder_with_entries(5);
    for kind in ["segment-", "identity"] {
        let file = files(folder.path(), kind).pop().unwrap();
        let whole = fs::read(&file).unwrap();
        for at in 0..whole.len() {
            let mut damaged = whole.clone();
            damaged[at] ^= 0x10;
            fs::write(&file, damaged).unwrap();
            let opened = open(folder.path());
            assert!(matches!(opened, Err(OpenError::Damaged { .. })), "{kind} byte {at}");
        }
        fs::write(&file, &whole).unwrap();
    }
}

#[test]
fn missing_synced_data_is_reported() {
    let folder = folder_with_entries(5);
    let newest = files(folder.path(), "segment-").pop().unwrap();
    let whole = fs::read(&newest).unwrap();
    fs::write(&newest, &whole[..whole.len() - 1]).unwrap();
    assert!(matches!(open(folder.path()), Err(OpenError::Damaged { .. })));
    fs::remove_file(&newest).unwrap();
    let opened = open(folder.path());
    let kind = match opened {
        Err(OpenError::Damaged { kind, .. }) => kind,
        other => panic!("unexpected {:?}", other.map(|_| ())),
    };
    assert_eq!(kind, Damage::Missing);
}

#[test]
fn damaged_snapshot_is_reported() {
    let folder = folder_with_entries(10);
    let (mut storage, _) = open(folder.path()).unwrap();
    let mut with_snapshot = write(1, 1, &[]);
    with_snapshot.snapshot = Some(snapshot(8));
    with_snapshot.last = Position { term: 1, index: 11 };
    storage.save(&with_snapshot).unwrap();
    drop(storage);
    let file = files(folder.path(), "snapshot-").pop().unwrap();
    let whole = fs::read(&file).unwrap();
    for at in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[at] ^= 1;
        fs::write(&file, &damaged).unwrap();
        assert!(matches!(open(folder.path()), Err(OpenError::Damaged { .. })), "byte {at}");
    }
    fs::remove_file(&file).unwrap();
    assert!(matches!(open(folder.path()), Err(OpenError::Damaged { kind: Damage::Gap, .. })));
}

#[test]
fn copied_folder_is_rejected() {
    let folder = folder_with_entries(3);
    let copy = tempfile::tempdir().unwrap();
    for file in files(folder.path(), "") {
        fs::copy(&file, copy.path().join(file.file_name().unwrap())).unwrap();
    }
    assert!(matches!(open(copy.path()), Err(OpenError::Copied)));
    assert!(open(folder.path()).is_ok());
}

#[test]
fn wiped_folder_is_unformatted_and_accepts_a_new_identity() {
    let folder = folder_with_entries(3);
    let mut disk = Folder::new(folder.path()).unwrap();
    wipe(&mut disk).unwrap();
    assert!(matches!(inspect(&mut disk), Err(OpenError::NotFormatted)));
    format(&mut disk, id(77), None).unwrap();
    drop(disk);
    let (storage, restored) = open(folder.path()).unwrap();
    assert_eq!((storage.id(), restored.last()), (id(77), Position::default()));
}

#[test]
fn segments_are_rotated_and_read_in_order() {
    let folder = new_folder();
    let (mut storage, _) = open(folder.path()).unwrap();
    for n in 1..=12 {
        let mut large = write(n, 1, &[n + 1]);
        large.entries[0].payload = data(3 << 20);
        storage.save(&large).unwrap();
    }
    drop(storage);
    assert!(files(folder.path(), "segment-").len() >= 4);
    assert_eq!(open(folder.path()).unwrap().1.entries.len(), 13);
}
