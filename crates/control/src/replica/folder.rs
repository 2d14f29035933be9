//! Opens the data folder, formats a blank one and founds new clusters.
//!
//! A cluster is founded once, on one replica, by an operator's command. A blank
//! folder next to configured peers only ever joins: a daemon that founded a
//! cluster on finding its disk empty would do it again after losing the disk.
//! A deployment of a single replica has nobody to join and founds by itself.

use std::path::PathBuf;

use juniper_consensus::{ClusterEpoch, DiskIdentity, Membership, ReplicaId, Restored};
use juniper_settings::{ControlSettings, PeerDiscovery};
use juniper_storage::{Disk, Folder, OpenError, Storage, format, new_disk_identity, wipe};
use juniper_types::{NodeId, ZoneName};

use crate::error::ControlError;

/// Folder below the data folder that holds the replica's files and no others.
pub const REPLICA_FOLDER: &str = "replica";

/// Where a replica keeps its log, snapshots and identity.
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

/// Makes a new cluster whose only member is this replica; the others join it.
///
/// # Errors
/// Fails when the folder belongs to a cluster already or the disk fails.
pub fn found(settings: &ControlSettings) -> Result<ReplicaId, ControlError> {
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

/// Opens the replica's folder as `disk` shows it; a blank one is formatted first.
pub(super) fn open<D: Disk>(
    settings: &ControlSettings,
    disk: impl Fn(Folder) -> D,
) -> Result<(Storage<D>, Restored), ControlError> {
    let node = settings.common.node;
    match Storage::open(disk(open_folder(settings)?), node) {
        Err(OpenError::NotFormatted) => format_blank(settings)?,
        opened => return Ok(opened?),
    }
    Ok(Storage::open(disk(open_folder(settings)?), node)?)
}

/// What an interrupted wipe or format left behind is removed first, so that no
/// old snapshot appears under the new identity.
fn format_blank(settings: &ControlSettings) -> Result<(), ControlError> {
    let mut folder = open_folder(settings)?;
    wipe(&mut folder)?;
    drop(folder);
    if let PeerDiscovery::Seeded { seeds, bootstrap } = &settings.discovery {
        return format_seeded(settings, seeds, *bootstrap);
    }
    if settings.peers.is_empty() {
        let id = found(settings)?;
        log::info!("event=cluster_founded replica={id}");
        return Ok(());
    }
    let id = new_id(settings);
    let mut folder = open_folder(settings)?;
    format(&mut folder, id, None)?;
    log::info!("event=joining_cluster replica={id}");
    Ok(())
}

/// A seed of a deployment that starts for the first time founds the cluster
/// together with the other seeds. Every other blank folder joins.
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

/// The first membership, which every seed works out alike. Which zones the other
/// seeds are in isn't known to any of them.
fn founding_membership(seeds: &[NodeId]) -> Membership {
    let epoch = ClusterEpoch::first(founding_number(seeds, b"cluster") as u64);
    let voters = seeds.iter().map(|seed| {
        let id = ReplicaId { node: *seed, disk: founding_disk(seeds, *seed) };
        (id, ZoneName::unknown())
    });
    Membership::of_voters(epoch, voters)
}

/// The identity of a seed's first disk. A disk that was lost later gets a random
/// one, since a deployment starts for the first time only once.
fn founding_disk(seeds: &[NodeId], node: NodeId) -> DiskIdentity {
    DiskIdentity::from_random(founding_number(seeds, &node.0.to_be_bytes()))
}

fn founding_number(seeds: &[NodeId], what: &[u8]) -> u128 {
    let mut sorted = seeds.to_vec();
    sorted.sort_unstable();
    let mut hasher = blake3::Hasher::new();
    sorted.iter().for_each(|seed| {
        hasher.update(&seed.0.to_be_bytes());
    });
    hasher.update(what);
    let mut number = [0; 16];
    number.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_be_bytes(number)
}
