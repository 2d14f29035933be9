//! Updates about the fleet of generic services.

use std::collections::BTreeMap;

use juniper_registry::{
    InstanceId, InstanceName, StartTime, join_incarnations, split_incarnations,
};
use juniper_stream_origins::StreamRecord;
use juniper_types::{NodeId, RequestFingerprint, ZoneName};
use minicbor::{Decode, Encode};

use crate::limits::ServerLimitUpdate;
use crate::notices::ServerNoticeUpdate;
use crate::weights::WeightsAge;

/// Report that a router dispatched a request with these prefix segments to a server.
///
/// The server's incarnation is left out to keep the report small: there are thousands a second, and
/// one attributed to a later incarnation costs no more than a cache miss.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DispatchReport {
    /// Server that the request was dispatched to.
    #[n(0)]
    pub instance: InstanceName,
    /// Version of the weights on the server.
    #[n(1)]
    pub version: u64,
    /// Hash of each prefix made of whole segments, shortest first.
    #[n(2)]
    pub prefix_hashes: Vec<u64>,
    /// Prompt tokens not cached on the server: to be computed, or received by KV transfer.
    #[n(3)]
    pub uncached_tokens: u32,
    /// Tokens among [`uncached_tokens`](Self::uncached_tokens) that the server had to compute.
    #[n(4)]
    pub prefill_tokens: u32,
    /// Tokens of each prefix segment; empty from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub segment_tokens: Vec<u32>,
    /// Tokens after the last shared segment; zero from a peer of an earlier version.
    #[n(6)]
    #[cbor(default)]
    pub unshared_tokens: u32,
    /// Number of the request on its router; zero from a peer of an earlier version.
    #[n(7)]
    #[cbor(default)]
    pub request_number: u16,
    /// Key of the prompt's model; absent if the server has only one, or from a peer of an earlier
    /// version.
    #[n(8)]
    #[cbor(default)]
    pub model: Option<u32>,
}

/// Report whether a router can open connections to a server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Reachability {
    /// Server that the router tried to reach.
    #[n(0)]
    pub instance: InstanceName,
    /// Whether the router's latest connection attempt succeeded.
    #[n(1)]
    pub reached: bool,
    /// Start time of the server's incarnation; unknown from a peer of an earlier version.
    #[n(2)]
    #[cbor(default)]
    pub started: StartTime,
}

impl Reachability {
    /// Incarnation that the router tried to reach.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// Report that a server crashed while a request was in flight on it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Crash {
    /// Request that was in flight.
    #[n(0)]
    pub request: RequestFingerprint,
    /// Server that crashed.
    #[n(1)]
    pub instance: InstanceName,
    /// Time since the request's connection broke, in milliseconds.
    #[n(2)]
    pub age_ms: u64,
    /// Time for which the request had been in flight when its connection broke, in milliseconds.
    #[n(3)]
    pub in_flight_ms: u64,
    /// Whether the router has seen the same request complete before.
    #[n(4)]
    pub completed_before: bool,
    /// Start time of the crashed incarnation; unknown from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub started: StartTime,
}

impl Crash {
    /// Incarnation that crashed.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// Report that a request completed, so earlier crashes under it no longer count against it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CrashClearance {
    /// Request that completed.
    #[n(0)]
    pub request: RequestFingerprint,
    /// Servers whose crashes no longer count.
    #[n(1)]
    pub instances: Vec<InstanceName>,
    /// Start time of the incarnation of each server; empty from a peer of an earlier version.
    #[n(2)]
    #[cbor(default)]
    pub starts: Vec<StartTime>,
}

impl CrashClearance {
    /// Clears `request` of the crashes of these incarnations.
    pub fn new(request: RequestFingerprint, cleared: &[InstanceId]) -> Self {
        let (instances, starts) = split_incarnations(cleared);
        CrashClearance { request, instances, starts }
    }

    /// Incarnations whose crashes no longer count.
    pub fn ids(&self) -> Vec<InstanceId> {
        join_incarnations(self.instances.clone(), &self.starts)
    }
}

/// Crashes under requests, as reported by one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CrashUpdate {
    /// Servers that crashed under requests.
    #[n(0)]
    pub crashes: Vec<Crash>,
    /// Requests cleared of earlier crashes.
    #[n(1)]
    pub cleared: Vec<CrashClearance>,
}

/// Crash of a server while prompts were in flight on it, as observed by one router. Other routers
/// may report more parts of the same crash.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PartCrash {
    /// Server that crashed.
    #[n(0)]
    pub instance: InstanceName,
    /// Start time of the crashed incarnation.
    #[n(1)]
    pub started: StartTime,
    /// Time since the crash, in milliseconds.
    #[n(2)]
    pub age_ms: u64,
    /// Shared parts of the prompts in flight that the router hasn't seen complete recently.
    #[n(3)]
    pub parts: Vec<RequestFingerprint>,
    /// Part that was on trial at the server.
    #[n(4)]
    pub trial: Option<RequestFingerprint>,
}

impl PartCrash {
    /// Incarnation that crashed.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// Report that a prompt with a suspected part was answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PartCompletion {
    /// Part of the prompt.
    #[n(0)]
    pub part: RequestFingerprint,
    /// Time since the answer was complete, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
}

/// Crashes and completions of prompts, by their shared parts, as reported by one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct PartUpdate {
    /// Servers that crashed under prompts.
    #[n(0)]
    pub crashes: Vec<PartCrash>,
    /// Suspected parts of prompts that were answered completely.
    #[n(1)]
    pub completions: Vec<PartCompletion>,
}

/// Request to quarantine a fingerprint, so that no router dispatches it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineRequest {
    /// Request to quarantine.
    #[n(0)]
    pub request: RequestFingerprint,
    /// Servers that crashed under the request.
    #[n(1)]
    pub servers: Vec<InstanceName>,
}

/// Quarantined requests: all of them, or the changes since the last update on this connection.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineUpdate {
    /// Whether `added` lists all quarantined requests.
    #[n(0)]
    pub is_complete: bool,
    /// Quarantined requests.
    #[n(1)]
    pub added: Vec<RequestFingerprint>,
    /// Requests released from quarantine.
    #[n(2)]
    pub released: Vec<RequestFingerprint>,
}

/// Report that the servers of a service crash if they reject more than a few requests per second.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct BrittleServiceUpdate {
    /// Service.
    #[n(0)]
    pub service: String,
    /// Rejections per second above which a server crashes.
    #[n(1)]
    pub tolerance: u32,
    /// Servers that have just rejected a request of the reporting router.
    #[n(2)]
    pub rejecting: Vec<InstanceName>,
}

/// Update from one router to the others. A lost update costs work, never correctness.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RouterUpdate {
    /// Requests that the router dispatched.
    #[n(0)]
    pub dispatches: Vec<DispatchReport>,
    /// Servers that became unreachable from the router or reachable again.
    #[n(1)]
    pub reachability: Vec<Reachability>,
    /// Always empty; earlier versions list here the servers on which requests ended. Without
    /// request numbers, the end of an unreported request was counted for another one.
    #[n(2)]
    pub ended_at_servers: Vec<InstanceName>,
    /// Numbers of reported requests that have ended.
    #[n(3)]
    #[cbor(default)]
    pub ended_requests: Vec<u16>,
    /// Servers that crashed under requests; usually absent, which takes no bytes.
    #[n(4)]
    #[cbor(default)]
    pub crashes: Option<CrashUpdate>,
    /// Limits advertised by servers; usually absent, which takes no bytes.
    #[n(5)]
    #[cbor(default)]
    pub server_limits: Option<Vec<ServerLimitUpdate>>,
    /// Servers that requested a backoff or announced their departure; usually absent, which takes
    /// no bytes.
    #[n(6)]
    #[cbor(default)]
    pub notices: Option<Vec<ServerNoticeUpdate>>,
    /// Services whose servers are brittle; usually absent, which takes no bytes.
    #[n(7)]
    #[cbor(default)]
    pub brittle_services: Option<Vec<BrittleServiceUpdate>>,
    /// Streams that began; usually absent, which takes no bytes. Replicas keep these records and
    /// don't relay them to routers.
    #[n(8)]
    #[cbor(default)]
    pub stream_records: Option<Vec<StreamRecord>>,
    /// Crashes under parts of prompts; usually absent, which takes no bytes.
    #[n(9)]
    #[cbor(default)]
    pub parts: Option<PartUpdate>,
}

impl RouterUpdate {
    /// Whether the update has no content.
    pub fn is_empty(&self) -> bool {
        self.dispatches.is_empty()
            && self.reachability.is_empty()
            && self.ended_requests.is_empty()
            && self.crashes.is_none()
            && self.brittle_services.is_none()
            && self.server_limits.is_none()
            && self.notices.is_none()
            && self.stream_records.is_none()
            && self.parts.is_none()
    }
}

/// Update from one router, relayed to the others.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RelayedUpdate {
    /// Router that sent the update.
    #[n(0)]
    pub from: NodeId,
    /// Zone of the router.
    #[n(1)]
    pub zone: ZoneName,
    /// Relayed update.
    #[n(2)]
    pub update: RouterUpdate,
}

/// An encoded [`juniper_catalog::Catalog`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CatalogBody {
    /// Version of the configuration.
    #[n(0)]
    pub version: u64,
    /// Encoded configuration.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

/// Replicated fleet state of generic services, in short form.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FleetUpdate {
    /// Log position of the latest change.
    #[n(0)]
    pub revision: u64,
    /// Version of the configuration in force; zero for none. Subscribers that lack this version
    /// fetch it.
    #[n(1)]
    pub catalog_version: u64,
    /// Target version of the weights of each model.
    #[n(2)]
    pub weights: BTreeMap<String, u64>,
    /// Departed servers that were not listed on this connection before, oldest first.
    #[n(4)]
    pub departures: Vec<InstanceName>,
    /// Control replicas, standbys included.
    #[n(5)]
    pub members: Vec<NodeId>,
    /// Changes of quarantined requests that were not sent on this connection before.
    #[n(6)]
    #[cbor(default)]
    pub quarantine: Option<QuarantineUpdate>,
    /// For each departure, start time of the latest incarnation that has departed; empty from a
    /// peer of an earlier version.
    #[n(7)]
    #[cbor(default)]
    pub departed_through: Vec<StartTime>,
    /// Zones of `members`, in the same order; empty from a peer of an earlier version.
    #[n(8)]
    #[cbor(default)]
    pub member_zones: Vec<ZoneName>,
    /// Ages of the target versions, in the first update on a connection.
    #[n(9)]
    #[cbor(default)]
    pub weights_ages: Option<Vec<WeightsAge>>,
}

impl FleetUpdate {
    /// Latest departed incarnation of each departed server.
    pub fn departed(&self) -> Vec<InstanceId> {
        join_incarnations(self.departures.clone(), &self.departed_through)
    }
}
