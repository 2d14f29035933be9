//! Formatting and wiping of data folders.

use juniper_consensus::{DiskIdentity, Entry, HardState, Membership, Payload, ReplicaId};

use crate::disk::{Disk, DiskError};
use crate::error::FormatError;
use crate::frame::{Record, encode_frame};
use crate::identity::{IDENTITY_FILE, write_identity};
use crate::mark::MarkWriter;
use crate::segments::segment_name;

/// Term and index of the first entry in the log of a new cluster.
const FIRST: u64 = 1;

/// Generates a random identity for a new disk.
pub fn new_disk_identity() -> DiskIdentity {
    DiskIdentity::from_random(rand::random())
}

/// Formats a data folder for a replica.
///
/// Without `initial` the replica joins a running cluster as a learner. All replicas
/// of a new cluster are given the same `initial` membership, which lists them and
/// their disks. An operator must do this once per cluster: a daemon that bootstrapped
/// a cluster whenever its disk is empty would do so again after losing the disk.
///
/// # Errors
/// Fails when the folder is already formatted or the disk fails.
pub fn format(
    disk: &mut impl Disk,
    id: ReplicaId,
    initial: Option<&Membership>,
) -> Result<(), FormatError> {
    disk.lock()?;
    let files = disk.list()?;
    if files.iter().any(|file| file == IDENTITY_FILE) {
        return Err(FormatError::NotEmpty);
    }
    let record = first_record(initial);
    let segment = segment_name(1);
    disk.create(&segment)?;
    disk.write_at(&segment, 0, &encode_frame(1, 0, &record))?;
    disk.sync(&segment)?;
    MarkWriter::create(disk)?;
    disk.sync_folder()?;
    Ok(write_identity(disk, id)?)
}

fn first_record(initial: Option<&Membership>) -> Record {
    let Some(membership) = initial else {
        return Record {
            continues: Some(Default::default()),
            hard_state: Some(HardState::default()),
            ..Record::default()
        };
    };
    let payload = Payload::Membership(membership.clone());
    let hard_state = HardState { epoch: membership.epoch, term: FIRST, vote: None, commit: FIRST };
    Record {
        continues: Some(Default::default()),
        snapshot: None,
        entries: vec![Entry { term: FIRST, index: FIRST, payload }],
        hard_state: Some(hard_state),
    }
}

/// Removes all files of a data folder. The identity is removed first, so that an
/// interrupted wipe leaves an unformatted folder.
///
/// # Errors
/// Fails when the folder is in use or the disk fails.
pub fn wipe(disk: &mut impl Disk) -> Result<(), DiskError> {
    disk.lock()?;
    let files = disk.list()?;
    if files.iter().any(|file| file == IDENTITY_FILE) {
        disk.remove(IDENTITY_FILE)?;
        disk.sync_folder()?;
    }
    let remaining = files.iter().filter(|file| *file != IDENTITY_FILE && *file != "lock");
    remaining.into_iter().try_for_each(|file| disk.remove(file))?;
    disk.sync_folder()
}
