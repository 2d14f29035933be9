//! Who a replica is: its node number together with the identity of its disk.

use std::fmt;

use juniper_types::NodeId;
use minicbor::{Decode, Encode};

/// Random number written into a data folder when it is formatted.
///
/// It is part of the membership. A disk that was wiped gets a new one, so it
/// can't vote under the name of a replica whose promises it has forgotten.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct DiskIdentity(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; 16]);

impl DiskIdentity {
    /// Makes an identity of a random number drawn by the caller.
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

/// One replica: a node and the disk it keeps its promises on.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReplicaId {
    /// The node.
    #[n(0)]
    pub node: NodeId,
    /// The disk in the node.
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

/// A cluster, and how often it was recovered from a lost quorum.
///
/// A message of a lower number is never obeyed, so replicas that a recovery left
/// out can't bring their state back. Replicas ignore messages of another
/// cluster, and of another recovery with the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct ClusterEpoch {
    /// Random number drawn when the cluster was made; recoveries keep it.
    #[n(0)]
    pub cluster: u64,
    /// Zero for a replica that has not joined a cluster, one for a new cluster;
    /// each recovery adds one.
    #[n(1)]
    pub number: u64,
    /// Random number drawn by the recovery that began the epoch.
    #[n(2)]
    pub token: u64,
}

impl ClusterEpoch {
    /// Epoch of a replica that has not joined a cluster yet.
    pub const NONE: ClusterEpoch = ClusterEpoch { cluster: 0, number: 0, token: 0 };

    /// Epoch of a new cluster named by a random number.
    pub const fn first(cluster: u64) -> Self {
        ClusterEpoch { cluster, number: 1, token: cluster }
    }

    /// Epoch that follows a recovery which drew `token`.
    pub const fn recovered(self, token: u64) -> Self {
        ClusterEpoch { cluster: self.cluster, number: self.number + 1, token }
    }
}

impl fmt::Display for ClusterEpoch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}/{}", self.cluster, self.number)
    }
}
