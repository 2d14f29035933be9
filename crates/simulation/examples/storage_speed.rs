//! Benchmark of storage on a real folder: group commit, and start-up after many changes.
//!
//! Usage: cargo run --release -p juniper-simulation --example storage_speed -- FOLDER

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Entry, HardState, Membership, Payload, Position, Replica,
    ReplicaConfig, ReplicaId, Snapshot, SnapshotMeta, Write,
};
use juniper_control_state::{Command, ControlState, WriteHeader, to_bytes};
use juniper_settings::{ChangeSet, Edit, SettingsNode, SettingsPath};
use juniper_storage::{DiskError, Folder, FormatError, OpenError, Storage, StorageError, format};
use juniper_types::{ChangeId, NodeId, Revision, ZoneName};

const NODE: NodeId = NodeId(1);
const TERM: u64 = 1;
const ENTRY_BYTES: usize = 300;
const WRITES: u64 = 400;

/// Minimum bytes of applied commands between snapshots, as in the control daemon.
const SNAPSHOT_INTERVAL_BYTES: usize = 8 << 20;

/// Entries per write while filling the log; large, to save time.
const FILL_BATCH: u64 = 500;

/// Number of distinct nodes in the written settings tree.
const PATHS: u64 = 400;

#[derive(Debug, thiserror::Error)]
enum MeasureError {
    #[error("missing argument: FOLDER")]
    MissingFolder,
    #[error("a zone name or change id is invalid")]
    InvalidName,
    #[error(transparent)]
    Disk(#[from] DiskError),
    #[error(transparent)]
    Format(#[from] FormatError),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error(transparent)]
    Storage(#[from] StorageError),
    #[error("cannot decode a snapshot or command")]
    Decode,
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).map(PathBuf::from).ok_or(MeasureError::MissingFolder);
    match folder.and_then(|folder| measure(&folder)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(folder: &Path) -> Result<(), MeasureError> {
    for batch in [1, 16, 256] {
        measure_commits(&folder.join(format!("commits-{batch}")), batch)?;
    }
    for changes in [1_000, 100_000] {
        measure_startup(&folder.join(format!("start-{changes}")), changes)?;
    }
    Ok(())
}

fn replica_id() -> ReplicaId {
    ReplicaId { node: NODE, disk: DiskIdentity::from_random(1) }
}

fn zone() -> Result<ZoneName, MeasureError> {
    ZoneName::new("zone-1").map_err(|_| MeasureError::InvalidName)
}

fn membership() -> Result<Membership, MeasureError> {
    Ok(Membership::of_voters(ClusterEpoch::first(1), [(replica_id(), zone()?)]))
}

fn new_storage(path: &Path) -> Result<Storage<Folder>, MeasureError> {
    let mut disk = Folder::new(path)?;
    format(&mut disk, replica_id(), Some(&membership()?))?;
    Ok(Storage::open(disk, NODE)?.0)
}

fn write(number: u64, entries: Vec<Entry>, last: Position) -> Write {
    let epoch = ClusterEpoch::first(1);
    let commit = last.index;
    let hard_state = Some(HardState { epoch, term: TERM, vote: None, commit });
    Write { number, hard_state, snapshot: None, entries, last }
}

fn measure_commits(path: &Path, batch: u64) -> Result<(), MeasureError> {
    let mut storage = new_storage(path)?;
    let mut times = Vec::new();
    let start = Instant::now();
    for number in 0..WRITES {
        let payload = Payload::Data(vec![7; ENTRY_BYTES]);
        let first = 2 + number * batch;
        let entry = |index| Entry { term: TERM, index, payload: payload.clone() };
        let entries: Vec<Entry> = (first..first + batch).map(entry).collect();
        let last = Position { term: TERM, index: first + batch - 1 };
        let write_start = Instant::now();
        storage.save(&write(number + 1, entries, last))?;
        times.push(write_start.elapsed().as_micros());
    }
    let seconds = start.elapsed().as_secs_f64();
    times.sort_unstable();
    let percentile = |percent: usize| times[times.len() * percent / 100];
    println!(
        "commits batch={batch} entries_per_s={:.0} syncs_per_s={:.0} p50_us={} p99_us={}",
        (WRITES * batch) as f64 / seconds,
        WRITES as f64 / seconds,
        percentile(50),
        percentile(99)
    );
    Ok(())
}

fn settings_change(number: u64) -> Result<Command, MeasureError> {
    let zone =
        ZoneName::new(format!("zone-{}", number % PATHS)).map_err(|_| MeasureError::InvalidName)?;
    let mut node = SettingsNode::default();
    node.overrides.concurrency = Some((number % 1_000_000) as u32);
    let edit = Edit::Put { path: SettingsPath::Zone(zone), node: Box::new(node) };
    let header = WriteHeader {
        base: Revision(number),
        change_id: ChangeId::new(format!("change-{number}"))
            .map_err(|_| MeasureError::InvalidName)?,
        author: "measure".to_owned(),
        at_ms: number * 1_000,
    };
    Ok(Command::ChangeSettings { header, change: ChangeSet { edits: vec![edit] } })
}

/// Fills a folder with changes and regular snapshots, as a replica does.
fn fill_folder(path: &Path, changes: u64) -> Result<(), MeasureError> {
    let mut storage = new_storage(path)?;
    let mut state = ControlState::default();
    let mut entries = Vec::new();
    let (mut bytes, mut snapshot_bytes) = (0, SNAPSHOT_INTERVAL_BYTES);
    for number in 0..changes {
        let index = number + 2;
        let command = settings_change(number)?;
        let data = to_bytes(&command);
        bytes += data.len();
        entries.push(Entry { term: TERM, index, payload: Payload::Data(data) });
        state.apply(index, command);
        let snapshot_due = bytes >= snapshot_bytes;
        if entries.len() as u64 == FILL_BATCH || snapshot_due || number + 1 == changes {
            let last = Position { term: TERM, index };
            storage.save(&write(number, std::mem::take(&mut entries), last))?;
            if snapshot_due {
                let meta = SnapshotMeta { position: last, membership: membership()? };
                let data = state.to_snapshot();
                (bytes, snapshot_bytes) = (0, SNAPSHOT_INTERVAL_BYTES.max(data.len()));
                let snapshot = Some(Snapshot { meta, data: data.into() });
                storage.save(&Write { snapshot, ..write(number, Vec::new(), last) })?;
            }
        }
    }
    Ok(())
}

fn measure_startup(path: &Path, changes: u64) -> Result<(), MeasureError> {
    fill_folder(path, changes)?;
    let start = Instant::now();
    let (storage, restored) = Storage::open(Folder::new(path)?, NODE)?;
    let open_time = start.elapsed();
    let replayed = restored.entries.len();
    let config = ReplicaConfig::new(storage.id(), zone()?, vec![NODE]);
    let mut replica = Replica::new(config, restored, 1);
    let mut state = ControlState::default();
    let mut applied = 0;
    while applied < changes + 1 {
        replica.tick();
        let ready = replica.ready();
        if let Some(snapshot) = ready.installed {
            state =
                ControlState::from_snapshot(&snapshot.data).map_err(|_| MeasureError::Decode)?;
            applied = snapshot.meta.position.index;
        }
        for entry in ready.committed {
            applied = entry.index;
            if let Payload::Data(data) = entry.payload {
                let command = minicbor::decode(&data).map_err(|_| MeasureError::Decode)?;
                state.apply(entry.index, command);
            }
        }
        if let Some(write) = ready.write {
            replica.persisted(write.number);
        }
    }
    let revision = state.settings().revision();
    println!(
        "start changes={changes} revision={revision} replayed={replayed} open_ms={:.1} total_ms={:.1}",
        open_time.as_secs_f64() * 1e3,
        start.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}
