//! Storage on a simulated disk with power loss at any operation, failed syncs, a full disk and
//! corrupted data.

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Entry, HardState, Membership, Payload, Position, ReplicaId,
    RestoredState, Snapshot, SnapshotMeta, Write,
};
use juniper_simulation::{Random, SimulatedDisk};
use juniper_storage::{OpenError, Storage, StorageError, format};
use juniper_types::{NodeId, ZoneName};

const NODE: NodeId = NodeId(1);
const ENTRIES: u64 = 24;

fn replica_id() -> ReplicaId {
    ReplicaId { node: NODE, disk: DiskIdentity::from_random(1) }
}

fn membership() -> Membership {
    Membership::of_voters(ClusterEpoch::first(5), [(replica_id(), ZoneName::new("taf").unwrap())])
}

fn new_disk(seed: u64) -> SimulatedDisk {
    let mut disk = SimulatedDisk::new(Random::new(seed));
    format(&mut disk, replica_id(), Some(&membership())).unwrap();
    disk
}

fn open(disk: &SimulatedDisk) -> Result<(Storage<SimulatedDisk>, RestoredState), OpenError> {
    Storage::open(disk.clone(), NODE)
}

/// Opens storage, with one retry after a disk error, as a restarted daemon does.
fn open_with_retry(
    disk: &SimulatedDisk,
) -> Result<(Storage<SimulatedDisk>, RestoredState), OpenError> {
    match open(disk) {
        Err(OpenError::Disk(_)) => open(disk),
        opened => opened,
    }
}

/// Returns the write after `last`; every eighth entry has a snapshot.
fn next_write(number: u64, last: Position) -> Write {
    let index = last.index + 1;
    let payload = Payload::Data(vec![index as u8; 300]);
    let entry = Entry { term: 1, index, payload };
    let meta = SnapshotMeta { position: last, membership: membership() };
    let snapshot = Snapshot { meta, data: vec![last.index as u8; 700].into() };
    let epoch = ClusterEpoch::first(5);
    Write {
        number,
        hard_state: Some(HardState { epoch, term: 1, vote: None, commit: last.index }),
        snapshot: index.is_multiple_of(8).then_some(snapshot),
        last: entry.position(),
        entries: vec![entry],
    }
}

/// Writes up to `ENTRIES` entries or to the first failure; returns the last acknowledged position.
fn write_all(disk: &SimulatedDisk, acknowledged: Position) -> Position {
    let Ok((mut storage, restored)) = open(disk) else { return acknowledged };
    let mut last = restored.last();
    for number in 1.. {
        if last.index >= ENTRIES {
            break;
        }
        let write = next_write(number, last);
        if storage.save(&write).is_err() {
            assert!(matches!(storage.save(&write), Err(StorageError::Stopped)));
            return last;
        }
        last = write.last;
    }
    last
}

fn assert_restored(restored: &RestoredState, acknowledged: Position, context: &str) {
    assert!(
        restored.last() >= acknowledged,
        "{context}: acknowledged entry {acknowledged:?} is lost"
    );
    let start = restored.snapshot.as_ref().map_or(0, |s| s.meta.position.index);
    for (offset, entry) in restored.entries.iter().enumerate() {
        assert_eq!(entry.index, start + offset as u64 + 1, "{context}: gap in the log");
        if let Payload::Data(data) = &entry.payload {
            assert!(
                data.iter().all(|byte| u64::from(*byte) == entry.index),
                "{context}: wrong payload"
            );
        }
    }
}

#[test]
fn power_loss_at_any_operation_keeps_acknowledged_entries() {
    for cut in 0..160 {
        for seed in 0..6 {
            let disk = new_disk(seed);
            disk.cut_power_after(cut);
            let mut acknowledged = write_all(&disk, Position::default());
            disk.lose_power();
            disk.cut_power_after(cut % 13);
            acknowledged = write_all(&disk, acknowledged).max(acknowledged);
            disk.lose_power();
            let context = format!("cut {cut} seed {seed}");
            let (_, restored) = open(&disk).unwrap_or_else(|error| panic!("{context}: {error}"));
            assert_restored(&restored, acknowledged, &context);
        }
    }
}

#[test]
fn failed_sync_stops_writes_and_keeps_acknowledged_entries() {
    for failing in 0..60 {
        for cut in 0..24 {
            let disk = new_disk(failing * 31 + cut);
            disk.fail_sync_after(failing);
            let acknowledged = write_all(&disk, Position::default());
            disk.end_process();
            disk.cut_power_after(cut);
            let acknowledged = write_all(&disk, acknowledged).max(acknowledged);
            disk.lose_power();
            let context = format!("failing {failing} cut {cut}");
            let (_, restored) =
                open_with_retry(&disk).unwrap_or_else(|error| panic!("{context}: {error}"));
            assert_restored(&restored, acknowledged, &context);
        }
    }
}

#[test]
fn full_disk_stops_writes_until_space_is_available() {
    for free_space in (0..6_000).step_by(97) {
        let disk = new_disk(free_space as u64);
        disk.limit_free_space(Some(free_space));
        let acknowledged = write_all(&disk, Position::default());
        disk.end_process();
        disk.limit_free_space(None);
        let context = format!("free space {free_space}");
        let (_, restored) = open(&disk).unwrap_or_else(|error| panic!("{context}: {error}"));
        assert_restored(&restored, acknowledged, &context);
        assert_eq!(write_all(&disk, Position::default()).index, ENTRIES);
    }
}

#[test]
fn corruption_of_sealed_data_is_always_detected() {
    for seed in 0..200 {
        let disk = new_disk(seed);
        write_all(&disk, Position::default());
        let (mut storage, _) = open(&disk).unwrap();
        storage.sync_mark().unwrap();
        disk.lose_power();
        let prefix = if seed % 2 == 0 { "segment-" } else { "snapshot-" };
        let newest = disk.files(prefix).pop().unwrap();
        assert!(disk.corrupt(&newest));
        assert!(matches!(open(&disk), Err(OpenError::Damaged { .. })), "seed {seed}");
    }
}

#[test]
fn ignored_syncs_lose_acknowledged_entries() {
    let lost = (0..50).any(|seed| {
        let disk = new_disk(seed);
        disk.ignore_syncs();
        let acknowledged = write_all(&disk, Position::default());
        disk.lose_power();
        open(&disk).map_or(true, |(_, restored)| restored.last() < acknowledged)
    });
    assert!(lost, "the simulated disk kept all unsynced data");
}
