//! Versions of weights: what servers should run, and what they run.

use juniper_registry::{
    InstanceId, InstanceName, StartTime, join_incarnations, split_incarnations,
};
use minicbor::{Decode, Encode};

/// Target version of a model's weights, with the time for which a replica has known it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct WeightsAge {
    /// Name of the model.
    #[n(0)]
    pub model: String,
    /// Version of the weights.
    #[n(1)]
    pub version: u64,
    /// Time since the replica applied the version, in milliseconds. A replica that has restarted
    /// since knows a shorter time.
    #[n(2)]
    pub age_ms: u64,
}

/// Rollout state as known to the order dispatcher, ahead of the servers' own reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RenewalUpdate {
    /// Servers that take no new requests until their weights are replaced.
    #[n(0)]
    pub renewing: Vec<InstanceName>,
    /// Known versions of the weights on servers.
    #[n(1)]
    pub versions: Vec<KnownVersion>,
    /// Servers that take new requests again.
    #[n(2)]
    pub ended: Vec<InstanceName>,
    /// Whether this is the complete state rather than a change.
    #[n(3)]
    pub is_complete: bool,
    /// Start times of the incarnations in `renewing`; empty from a peer of an earlier version.
    #[n(4)]
    #[cbor(default)]
    pub renewing_starts: Vec<StartTime>,
    /// Start times of the incarnations in `ended`; empty from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub ended_starts: Vec<StartTime>,
}

impl RenewalUpdate {
    /// Whether the update lists no servers.
    pub fn is_empty(&self) -> bool {
        self.renewing.is_empty() && self.ended.is_empty() && self.versions.is_empty()
    }

    /// Replaces the servers being renewed and those whose renewal has ended.
    pub fn with_servers<'a>(
        self,
        renewing: impl IntoIterator<Item = &'a InstanceId>,
        ended: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Self {
        let (renewing, renewing_starts) = split_incarnations(renewing);
        let (ended, ended_starts) = split_incarnations(ended);
        RenewalUpdate { renewing, renewing_starts, ended, ended_starts, ..self }
    }

    /// Incarnations in `renewing`.
    pub fn renewing_ids(&self) -> Vec<InstanceId> {
        join_incarnations(self.renewing.clone(), &self.renewing_starts)
    }

    /// Incarnations in `ended`.
    pub fn ended_ids(&self) -> Vec<InstanceId> {
        join_incarnations(self.ended.clone(), &self.ended_starts)
    }
}

/// Version of a model's weights on a server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownVersion {
    /// Server with the weights.
    #[n(0)]
    pub instance: InstanceName,
    /// Name of the model.
    #[n(1)]
    pub model: String,
    /// Version of the weights.
    #[n(2)]
    pub version: u64,
    /// Start time of the server's incarnation; unknown from a peer of an earlier version.
    #[n(3)]
    #[cbor(default)]
    pub started: StartTime,
}

impl KnownVersion {
    /// Incarnation with the weights.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}
