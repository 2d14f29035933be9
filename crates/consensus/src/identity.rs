//! Identities of replicas, disks and cluster epochs.

use std::fmt;

use juniper_types::NodeId;
use minicbor::{Decode, Encode};

/// Random number written into a data folder when it is formatted.
///
/// The membership lists each replica with this number. A wiped disk gets a new one, so
/// that it can't vote in place of a replica whose persisted vote and log it has lost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct DiskIdentity(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 16]);

impl DiskIdentity {
    /// Creates an identity from a random number drawn by the caller.
    pub const fn from_random(number: u128) -> Self {
        DiskIdentity(number.to_be_bytes())
    }
}

impl fmt::Display for DiskIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for DiskIdentity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Identity of a replica: a node and the disk that holds its persistent state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// Node that runs the replica.
    #[n(0)]
    pub node: NodeId,
    /// Disk that holds the replica's persistent state.
    #[n(1)]
    pub disk: DiskIdentity,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let short =
            u32::from_be_bytes([self.disk.0[0], self.disk.0[1], self.disk.0[2], self.disk.0[3]]);
        write!(formatter, "{}/{short:08x}", self.node)
    }
}

impl fmt::Debug for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Cluster identity with the number of recoveries from a lost quorum.
///
/// Replicas reject messages with a lower number, so that replicas excluded by a
/// recovery can't bring their state back. Messages of another cluster, or of another
/// recovery with the same number, are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ClusterEpoch {
    /// Random number drawn when the cluster was created; unchanged by recoveries.
    #[n(0)]
    pub cluster: u64,
    /// 0 for a replica that has not joined a cluster, 1 for a new cluster;
    /// incremented by each recovery.
    #[n(1)]
    pub number: u64,
    /// Random number drawn by the recovery that started the epoch.
    #[n(2)]
    pub token: u64,
}

impl ClusterEpoch {
    /// Epoch of a replica that has not joined a cluster yet.
    pub const NONE: ClusterEpoch = ClusterEpoch { cluster: 0, number: 0, token: 0 };

    /// Epoch of a new cluster identified by a random number.
    pub const fn first(cluster: u64) -> Self {
        ClusterEpoch { cluster, number: 1, token: cluster }
    }

    /// Epoch after a recovery that drew `token`.
    pub const fn recovered(self, token: u64) -> Self {
        ClusterEpoch { cluster: self.cluster, number: self.number + 1, token }
    }
}

impl fmt::Display for ClusterEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}/{}", self.cluster, self.number)
    }
}
