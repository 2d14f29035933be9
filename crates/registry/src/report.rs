//! Heartbeats of servers.

use std::net::SocketAddrV4;

use juniper_types::SoftwareVersion;
use minicbor::{Decode, Encode};

use crate::incarnation::{InstanceId, InstanceName, StartTime};

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum InstanceState {
    /// The server accepts new requests.
    #[n(0)]
    Ready,
    /// The server is departing.
    #[n(1)]
    Draining,
}

/// Model that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct LoadedModel {
    /// Name of the model.
    #[n(0)]
    pub model: String,
    /// Version of the loaded weights.
    #[n(1)]
    pub version: u64,
}

/// Heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// Name of the server.
    #[n(0)]
    pub name: InstanceName,
    /// Service that the server belongs to.
    #[n(1)]
    pub service: String,
    /// Address for requests.
    #[cbor(n(2), with = "juniper_catalog::address")]
    pub address: SocketAddrV4,
    /// Zone of the server.
    #[n(3)]
    pub zone: String,
    /// Number of requests that the server executes concurrently.
    #[n(4)]
    pub slots: u32,
    /// Whether the server accepts new requests.
    #[n(5)]
    pub state: InstanceState,
    /// Remaining time of slow service after a start, in milliseconds.
    #[n(6)]
    pub cold_remaining_ms: u64,
    /// Loaded models.
    #[n(7)]
    pub models: Vec<LoadedModel>,
    /// Sequence number of the heartbeat within its incarnation.
    #[n(8)]
    pub sequence: u64,
    /// Start time of the incarnation; unknown in heartbeats of earlier builds.
    #[n(9)]
    #[cbor(default)]
    pub started: StartTime,
    /// Version of the software of the incarnation; `None` if the server states none, or if the
    /// heartbeat passed through a replica of an earlier build.
    #[n(10)]
    #[cbor(default)]
    pub software: Option<SoftwareVersion>,
}

impl InstanceReport {
    /// Incarnation that sent the heartbeat.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.name.clone(), self.started)
    }

    /// Whether `known` is at least as recent: of two incarnations the one that started later, of
    /// two reports of one incarnation the one with the higher sequence number. A report without a
    /// start time is older than one with a start time.
    pub fn is_superseded_by(&self, known: &InstanceReport) -> bool {
        (self.started, self.sequence) <= (known.started, known.sequence)
    }

    /// Whether both reports have the same content, except for the sequence number and the remaining
    /// time of slow service.
    pub fn has_same_content(&self, other: &InstanceReport) -> bool {
        let is_cold = |report: &InstanceReport| report.cold_remaining_ms > 0;
        self.started == other.started
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
            && self.software == other.software
            && is_cold(self) == is_cold(other)
    }

    /// Version of `model` that the server has loaded, if any.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let loaded = self.models.iter().find(|loaded| loaded.model == model);
        loaded.map(|loaded| loaded.version)
    }
}
