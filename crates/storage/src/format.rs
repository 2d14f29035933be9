//! Makes and empties data folders.

use juniper_consensus::{DiskIdentity, Entry, HardState, Membership, Payload, ReplicaId};

use crate::disk::{Disk, DiskError};
use crate::error::FormatError;
use crate::frame::{Record, encode_frame};
use crate::identity::{IDENTITY_FILE, write_identity};
use crate::mark::MarkWriter;
use crate::segments::segment_name;

/// Term and index of the entry that a new cluster's log starts with.
const FIRST: u64 = 1;

/// A random identity for a new disk.
pub fn new_disk_identity() -> DiskIdentity {
    DiskIdentity::from_random(rand::random())
}

/// Makes a data folder for a replica.
///
/// Without `initial` the replica joins a running cluster as a learner. The
/// replicas of a new cluster all get the same `initial` membership, which holds
/// them and their disks. This must happen once for a cluster, by an operator's
/// command: a daemon that founded a cluster on finding its disk empty would do
/// it again after losing the disk.
///
/// # Errors
/// Fails when the folder is formatted already or the disk fails.
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

/// Removes everything from a data folder, its identity first, so that a wipe
/// which is interrupted leaves a folder that counts as unformatted.
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
    let rest = files.iter().filter(|file| *file != IDENTITY_FILE && *file != "lock");
    rest.into_iter().try_for_each(|file| disk.remove(file))?;
    disk.sync_folder()
}
