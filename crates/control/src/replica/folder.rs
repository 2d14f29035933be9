//! Opens the data folder, formats a blank one and founds new clusters.
//!
//! A cluster is founded once, on one replica, by an operator's command. A blank
//! folder next to configured peers only ever joins: a daemon that founded a
//! cluster on finding its disk empty would do it again after losing the disk.
//! A deployment of a single replica has nobody to join and founds by itself.

use std::path::PathBuf;

use juniper_consensus::{ClusterEpoch, Membership, ReplicaId, Restored};
use juniper_settings::ControlSettings;
use juniper_storage::{Disk, Folder, OpenError, Storage, format, new_disk_identity, wipe};

use crate::error::ControlError;

/// Folder below the data folder that holds the replica's files and no others.
pub const REPLICA_FOLDER: &str = "replica";

/// Where a replica keeps its log, snapshots and identity.
pub fn replica_folder(settings: &ControlSettings) -> PathBuf {
    settings.data_folder.join(REPLICA_FOLDER)
}

/// Makes a new cluster whose only member is this replica; the others join it.
///
/// # Errors
/// Fails when the folder belongs to a cluster already or the disk fails.
pub fn found(settings: &ControlSettings) -> Result<ReplicaId, ControlError> {
    let mut folder = Folder::new(replica_folder(settings))?;
    let id = new_id(settings);
    let epoch = ClusterEpoch::first(rand::random());
    let membership = Membership::of_voters(epoch, [(id, settings.common.zone.clone())]);
    format(&mut folder, id, Some(&membership))?;
    Ok(id)
}

fn new_id(settings: &ControlSettings) -> ReplicaId {
    ReplicaId { node: settings.common.node, disk: new_disk_identity() }
}

/// Opens the replica's folder as `disk` shows it; a blank one is formatted first.
pub(super) fn open<D: Disk>(
    settings: &ControlSettings,
    disk: impl Fn(Folder) -> D,
) -> Result<(Storage<D>, Restored), ControlError> {
    let node = settings.common.node;
    let path = replica_folder(settings);
    match Storage::open(disk(Folder::new(&path)?), node) {
        Err(OpenError::NotFormatted) => format_blank(settings)?,
        opened => return Ok(opened?),
    }
    Ok(Storage::open(disk(Folder::new(&path)?), node)?)
}

/// What an interrupted wipe or format left behind is removed first, so that no
/// old snapshot appears under the new identity.
fn format_blank(settings: &ControlSettings) -> Result<(), ControlError> {
    let mut folder = Folder::new(replica_folder(settings))?;
    wipe(&mut folder)?;
    drop(folder);
    if settings.peers.is_empty() {
        let id = found(settings)?;
        log::info!("event=cluster_founded replica={id}");
        return Ok(());
    }
    let id = new_id(settings);
    let mut folder = Folder::new(replica_folder(settings))?;
    format(&mut folder, id, None)?;
    log::info!("event=joining_cluster replica={id}");
    Ok(())
}
