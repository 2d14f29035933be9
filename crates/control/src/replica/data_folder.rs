//! Opening and formatting of the data folder, and founding of new clusters.
//!
//! A cluster is founded once, on one replica, by an operator's command. A replica with configured
//! peers and a blank folder always joins an existing cluster: if an empty disk were enough to found
//! one, the loss of a disk would found a second cluster. A replica without peers founds its own.

use std::path::PathBuf;

use juniper_consensus::{ClusterEpoch, DiskIdentity, Membership, ReplicaId, RestoredState};
use juniper_settings::{ControlSettings, PeerDiscovery};
use juniper_storage::{Disk, Folder, OpenError, Storage, format, new_disk_identity, wipe};
use juniper_types::{NodeId, ZoneName};

use crate::error::ControlError;

/// Subfolder of the data folder that contains only the replica's files.
pub const REPLICA_FOLDER: &str = "replica";

/// Folder of the replica's log, snapshots and identity.
pub fn replica_folder(settings: &ControlSettings) -> PathBuf {
    settings.data_folder.join(REPLICA_FOLDER)
}

fn open_folder(settings: &ControlSettings) -> Result<Folder, ControlError> {
    let folder = Folder::new(replica_folder(settings))?;
    Ok(match settings.tuning.has_stable_inodes {
        true => folder,
        false => folder.without_stable_inodes(),
    })
}

/// Founds a cluster whose only member is this replica; the others join later.
///
/// # Errors
/// Fails if the folder already belongs to a cluster or the disk fails.
pub fn found_cluster(settings: &ControlSettings) -> Result<ReplicaId, ControlError> {
    let mut folder = open_folder(settings)?;
    let id = new_id(settings);
    let epoch = ClusterEpoch::first(rand::random());
    let membership = Membership::of_voters(epoch, [(id, settings.common.zone.clone())]);
    format(&mut folder, id, Some(&membership))?;
    Ok(id)
}

fn new_id(settings: &ControlSettings) -> ReplicaId {
    ReplicaId { node: settings.common.node, disk: new_disk_identity() }
}

/// Opens the replica's folder through `disk`, formatting a blank folder first.
pub(super) fn open<D: Disk>(
    settings: &ControlSettings,
    disk: impl Fn(Folder) -> D,
) -> Result<(Storage<D>, RestoredState), ControlError> {
    let node = settings.common.node;
    match Storage::open(disk(open_folder(settings)?), node) {
        Err(OpenError::NotFormatted) => format_blank(settings)?,
        result => return Ok(result?),
    }
    Ok(Storage::open(disk(open_folder(settings)?), node)?)
}

/// Formats a blank folder. Removes remains of an interrupted wipe or format first, so that no old
/// snapshot appears under the new identity.
fn format_blank(settings: &ControlSettings) -> Result<(), ControlError> {
    let mut folder = open_folder(settings)?;
    wipe(&mut folder)?;
    drop(folder);
    if let PeerDiscovery::Seeded { seeds, bootstrap } = &settings.discovery {
        return format_seeded(settings, seeds, *bootstrap);
    }
    if settings.peers.is_empty() {
        let id = found_cluster(settings)?;
        log::info!("event=cluster_founded replica={id}");
        return Ok(());
    }
    let id = new_id(settings);
    let mut folder = open_folder(settings)?;
    format(&mut folder, id, None)?;
    log::info!("event=joining_cluster replica={id}");
    Ok(())
}

/// Formats a blank folder of a seeded deployment. On the first start of the deployment, seeds found
/// the cluster together; all other replicas join it.
fn format_seeded(
    settings: &ControlSettings,
    seeds: &[NodeId],
    bootstrap: bool,
) -> Result<(), ControlError> {
    let mut folder = open_folder(settings)?;
    let own = settings.common.node;
    if bootstrap && seeds.contains(&own) {
        let membership = founding_membership(seeds);
        let id = ReplicaId { node: own, disk: founding_disk(seeds, own) };
        format(&mut folder, id, Some(&membership))?;
        log::info!("event=cluster_founded replica={id} voters={}", seeds.len());
        return Ok(());
    }
    let id = new_id(settings);
    format(&mut folder, id, None)?;
    log::info!("event=joining_cluster replica={id} seeds={}", seeds.len());
    Ok(())
}

/// First membership of a seeded cluster, the same on all seeds. Zones are unknown, since no seed knows
/// those of the others.
fn founding_membership(seeds: &[NodeId]) -> Membership {
    let epoch = ClusterEpoch::first(founding_hash(seeds, b"cluster") as u64);
    let voters = seeds.iter().map(|seed| {
        let id = ReplicaId { node: *seed, disk: founding_disk(seeds, *seed) };
        (id, ZoneName::unknown())
    });
    Membership::of_voters(epoch, voters)
}

/// Identity of a seed's first disk. A replacement disk gets a random identity, since founding happens
/// only on the first start of the deployment.
fn founding_disk(seeds: &[NodeId], node: NodeId) -> DiskIdentity {
    DiskIdentity::from_random(founding_hash(seeds, &node.0.to_be_bytes()))
}

/// Hash of the set of seeds and `purpose`.
fn founding_hash(seeds: &[NodeId], purpose: &[u8]) -> u128 {
    let mut sorted = seeds.to_vec();
    sorted.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    sorted.iter().for_each(|seed| {
        hasher.update(&seed.0.to_be_bytes());
    });
    hasher.update(purpose);
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_be_bytes(hash)
}
