//! Identities, memberships and writes for the storage tests.

use std::path::Path;

use juniper_consensus::{
    ClusterEpoch, DiskIdentity, Entry, HardState, Membership, Payload, Position, ReplicaId,
    RestoredState, Write,
};
use juniper_storage::{Folder, OpenError, Storage};
use juniper_types::{NodeId, ZoneName};

pub const NODE: NodeId = NodeId(1);

pub fn id(disk: u128) -> ReplicaId {
    ReplicaId { node: NODE, disk: DiskIdentity::from_random(disk) }
}

pub fn initial_membership() -> Membership {
    Membership::of_voters(ClusterEpoch::first(5), [(id(1), ZoneName::new("taf").unwrap())])
}

pub fn open(folder: &Path) -> Result<(Storage<Folder>, RestoredState), OpenError> {
    Storage::open(Folder::new(folder).unwrap(), NODE)
}

pub fn data(bytes: usize) -> Payload {
    Payload::Data(vec![7; bytes])
}

/// Builds a write of entries at `indexes` in `term`.
pub fn write(number: u64, term: u64, indexes: &[u64]) -> Write {
    let entries = indexes.iter().map(|index| Entry { term, index: *index, payload: data(40) });
    let entries: Vec<Entry> = entries.collect();
    let last = entries.last().map_or(Position::default(), Entry::position);
    let epoch = ClusterEpoch::first(5);
    let hard_state = Some(HardState { epoch, term, vote: None, commit: 1 });
    Write { number, hard_state, snapshot: None, entries, last }
}
