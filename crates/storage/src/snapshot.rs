//! Snapshot files, which get their final name only after their content is durable.

use std::sync::Arc;

use juniper_consensus::{Index, Snapshot, SnapshotMeta};

use crate::codec::{encode, read_u32};
use crate::disk::{Disk, DiskError};
use crate::error::{Damage, OpenError};

const PREFIX: &str = "snapshot-";
const NEW_FILE: &str = "snapshot.new";

/// Checksum and length of the metadata.
const HEADER_BYTES: usize = 4 + 4;

fn file_name(index: Index) -> String {
    format!("{PREFIX}{index:020}")
}

/// Indexes of the snapshot files among `files`, in ascending order.
fn snapshot_indexes(files: &[String]) -> Vec<Index> {
    let index = |file: &String| file.strip_prefix(PREFIX)?.parse().ok();
    let mut found: Vec<Index> = files.iter().filter_map(index).collect();
    found.sort_unstable();
    found
}

/// Writes a snapshot file durably.
pub(crate) fn write_snapshot(disk: &mut impl Disk, snapshot: &Snapshot) -> Result<(), DiskError> {
    let meta = encode(&snapshot.meta);
    let mut bytes = vec![0; HEADER_BYTES];
    bytes.extend_from_slice(&meta);
    bytes.extend_from_slice(&snapshot.data);
    bytes[4..8].copy_from_slice(&(meta.len() as u32).to_be_bytes());
    let checksum = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&checksum.to_be_bytes());
    disk.create(NEW_FILE)?;
    disk.write_at(NEW_FILE, 0, &bytes)?;
    disk.sync(NEW_FILE)?;
    disk.rename(NEW_FILE, &file_name(snapshot.meta.position.index))?;
    disk.sync_folder()
}

/// Reads the latest snapshot, if there is one.
pub(crate) fn read_latest(disk: &mut impl Disk) -> Result<Option<Snapshot>, OpenError> {
    let Some(index) = snapshot_indexes(&disk.list()?).last().copied() else { return Ok(None) };
    let file = file_name(index);
    let bytes = disk.read(&file)?;
    match decode(&bytes) {
        Ok(snapshot) if snapshot.meta.position.index == index => Ok(Some(snapshot)),
        Ok(_) => Err(OpenError::Damaged { file, offset: 0, kind: Damage::Malformed }),
        Err(kind) => Err(OpenError::Damaged { file, offset: 0, kind }),
    }
}

fn decode(bytes: &[u8]) -> Result<Snapshot, Damage> {
    let covered = bytes.get(4..).ok_or(Damage::Missing)?;
    if read_u32(bytes, 0) != Some(crc32fast::hash(covered)) {
        return Err(Damage::Checksum);
    }
    let length = read_u32(bytes, 4).ok_or(Damage::Malformed)? as usize;
    let end = HEADER_BYTES.checked_add(length).ok_or(Damage::Malformed)?;
    let meta = bytes.get(HEADER_BYTES..end).ok_or(Damage::Malformed)?;
    let meta: SnapshotMeta = minicbor::decode(meta).map_err(|_| Damage::Malformed)?;
    if !meta.position.is_in_bounds() {
        return Err(Damage::Malformed);
    }
    Ok(Snapshot { meta, data: Arc::new(bytes[end..].to_vec()) })
}

/// Removes all snapshots before `index`. No sync is needed, since a leftover is harmless.
pub(crate) fn remove_older(disk: &mut impl Disk, index: Index) -> Result<(), DiskError> {
    let files = disk.list()?;
    let older = snapshot_indexes(&files).into_iter().filter(|other| *other < index);
    older.map(file_name).try_for_each(|file| disk.remove(&file))
}
