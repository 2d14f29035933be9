//! What daemons tell each other of the fleet of generic services.

use std::collections::BTreeMap;

use juniper_registry::{
    InstanceId, InstanceName, StartTime, join_incarnations, split_incarnations,
};
use juniper_types::{NodeId, RequestFingerprint, ZoneName};
use minicbor::{Decode, Encode};

use crate::limits::ServerLimitNews;
use crate::notices::ServerNoticeNews;

/// Shared parts of a prompt that were sent to a server.
///
/// It doesn't tell which incarnation of the server: thousands come each second, each is heard within
/// some tens of milliseconds, and one that is taken for a later incarnation's costs a read.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Sighting {
    /// The server.
    #[n(0)]
    pub instance: InstanceName,
    /// Version of its weights.
    #[n(1)]
    pub version: u64,
    /// Names each beginning of the chain of parts, the longest last.
    #[n(2)]
    pub chains: Vec<u64>,
    /// Tokens that the server had to read or fetch.
    #[n(3)]
    pub tokens: u32,
    /// Tokens among those that it had to read.
    #[n(4)]
    pub read_tokens: u32,
    /// Tokens of each part of the chain; none from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub part_tokens: Vec<u32>,
    /// Tokens that no other prompt has; zero from a peer of an earlier version.
    #[n(6)]
    #[cbor(default)]
    pub own_tokens: u32,
    /// Names the request among those of its router; zero from a peer of an earlier version.
    #[n(7)]
    #[cbor(default)]
    pub number: u16,
}

/// Whether a router can open connections to a server.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Reachability {
    /// The server.
    #[n(0)]
    pub instance: InstanceName,
    /// Whether the router's latest attempt succeeded.
    #[n(1)]
    pub reached: bool,
    /// When the server's incarnation started; unknown from a peer of an earlier version.
    #[n(2)]
    #[cbor(default)]
    pub started: StartTime,
}

impl Reachability {
    /// The incarnation that it is about.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// A server ended while a request was under way on it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Crash {
    /// The request.
    #[n(0)]
    pub request: RequestFingerprint,
    /// The server that ended.
    #[n(1)]
    pub instance: InstanceName,
    /// Time since the request's connection broke, in milliseconds.
    #[n(2)]
    pub age_ms: u64,
    /// Time for which the request had been under way then, in milliseconds.
    #[n(3)]
    pub under_way_ms: u64,
    /// Whether the router has seen the same request end well before.
    #[n(4)]
    pub ended_well: bool,
    /// When the incarnation started that ended; unknown from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub started: StartTime,
}

impl Crash {
    /// The incarnation that ended.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}

/// A server answered a request whole, so earlier ends were not its doing.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Cleared {
    /// The request.
    #[n(0)]
    pub request: RequestFingerprint,
    /// The servers whose ends don't count any more.
    #[n(1)]
    pub instances: Vec<InstanceName>,
    /// When each of their incarnations started; empty from a peer of an earlier version.
    #[n(2)]
    #[cbor(default)]
    pub starts: Vec<StartTime>,
}

impl Cleared {
    /// Ends of these incarnations don't count against the request.
    pub fn of(request: RequestFingerprint, cleared: &[InstanceId]) -> Self {
        let (instances, starts) = split_incarnations(cleared);
        Cleared { request, instances, starts }
    }

    /// The incarnations whose ends don't count any more.
    pub fn ids(&self) -> Vec<InstanceId> {
        join_incarnations(self.instances.clone(), &self.starts)
    }
}

/// What a router tells of servers that ended under requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct CrashNews {
    /// Servers that ended under requests.
    #[n(0)]
    pub crashes: Vec<Crash>,
    /// Requests whose ends of servers don't count any more.
    #[n(1)]
    pub cleared: Vec<Cleared>,
}

/// A request that is to be sent to no server any more.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineCall {
    /// The request.
    #[n(0)]
    pub request: RequestFingerprint,
    /// The servers that ended under it.
    #[n(1)]
    pub servers: Vec<InstanceName>,
}

/// Requests that are sent to no server: all of them, or what has changed on this connection.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct QuarantineNews {
    /// Whether `added` is all of them.
    #[n(0)]
    pub is_whole: bool,
    /// Requests in quarantine.
    #[n(1)]
    pub added: Vec<RequestFingerprint>,
    /// Requests that may be sent again.
    #[n(2)]
    pub released: Vec<RequestFingerprint>,
}

/// What one router tells the others. Losing it costs work, never correctness.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RouterNews {
    /// Where it has sent prompts.
    #[n(0)]
    pub sightings: Vec<Sighting>,
    /// Servers that it can't reach, and those that it can reach again.
    #[n(1)]
    pub reachability: Vec<Reachability>,
    /// Servers on which requests have ended, as an earlier version told it; always empty. Without
    /// names of requests, an end whose beginning was lost counted for another request.
    #[n(2)]
    pub ended_at: Vec<InstanceName>,
    /// Numbers of the requests that it had told of and that have ended.
    #[n(3)]
    #[cbor(default)]
    pub ended: Vec<u16>,
    /// Servers that ended under requests; absent, and without a byte, nearly always.
    #[n(4)]
    #[cbor(default)]
    pub crashes: Option<CrashNews>,
    /// What servers take from all routers together; absent, and without a byte, unless some state
    /// it.
    #[n(5)]
    #[cbor(default)]
    pub server_limits: Option<Vec<ServerLimitNews>>,
    /// Servers that asked for a pause or said that they leave; absent, and without a byte, nearly
    /// always.
    #[n(6)]
    #[cbor(default)]
    pub notices: Option<Vec<ServerNoticeNews>>,
}

impl RouterNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty()
            && self.reachability.is_empty()
            && self.ended.is_empty()
            && self.crashes.is_none()
            && self.server_limits.is_none()
            && self.notices.is_none()
    }
}

/// What one router tells, on its way to the others.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RelayedNews {
    /// The router.
    #[n(0)]
    pub from: NodeId,
    /// Its zone.
    #[n(1)]
    pub zone: ZoneName,
    /// What it tells.
    #[n(2)]
    pub news: RouterNews,
}

/// An encoded [`juniper_catalog::Catalog`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CatalogBody {
    /// Its version.
    #[n(0)]
    pub version: u64,
    /// The encoded configuration.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
}

/// What the fleet of generic services agrees on, in short.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FleetNews {
    /// Log position of the latest change.
    #[n(0)]
    pub revision: u64,
    /// Version of the configuration in force; zero for none. Who hasn't got it asks for it.
    #[n(1)]
    pub catalog_version: u64,
    /// Version of the weights that each model should have.
    #[n(2)]
    pub weights: BTreeMap<String, u64>,
    /// Servers that left and weren't named on this connection yet, oldest first.
    #[n(4)]
    pub departures: Vec<InstanceName>,
    /// The control replicas, standbys included.
    #[n(5)]
    pub members: Vec<NodeId>,
    /// Requests in quarantine, if they weren't told on this connection yet.
    #[n(6)]
    #[cbor(default)]
    pub quarantine: Option<QuarantineNews>,
    /// For each departure the start time up to which incarnations have left; empty from a peer of an
    /// earlier version.
    #[n(7)]
    #[cbor(default)]
    pub departed_through: Vec<StartTime>,
    /// The zones of the members, in their order; empty from a peer of an earlier version.
    #[n(8)]
    #[cbor(default)]
    pub member_zones: Vec<ZoneName>,
}

impl FleetNews {
    /// The departures, each with the incarnations that it covers.
    pub fn departed(&self) -> Vec<InstanceId> {
        join_incarnations(self.departures.clone(), &self.departed_through)
    }
}

/// What the one who gives orders knows before the servers say so themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RenewalNews {
    /// Servers that take no new requests until they have new weights.
    #[n(0)]
    pub under_way: Vec<InstanceName>,
    /// Versions of weights that servers are known to have.
    #[n(1)]
    pub versions: Vec<KnownVersion>,
    /// Servers that take new requests again.
    #[n(2)]
    pub ended: Vec<InstanceName>,
    /// Whether this is everything, and not what has changed.
    #[n(3)]
    pub is_whole: bool,
    /// When the incarnations of `under_way` started; empty from a peer of an earlier version.
    #[n(4)]
    #[cbor(default)]
    pub under_way_starts: Vec<StartTime>,
    /// When the incarnations of `ended` started; empty from a peer of an earlier version.
    #[n(5)]
    #[cbor(default)]
    pub ended_starts: Vec<StartTime>,
}

impl RenewalNews {
    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty() && self.ended.is_empty() && self.versions.is_empty()
    }

    /// The same news with these servers under way and these not any more.
    pub fn with_servers<'a>(
        self,
        under_way: impl IntoIterator<Item = &'a InstanceId>,
        ended: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Self {
        let (under_way, under_way_starts) = split_incarnations(under_way);
        let (ended, ended_starts) = split_incarnations(ended);
        RenewalNews { under_way, under_way_starts, ended, ended_starts, ..self }
    }

    /// Incarnations that take no new requests.
    pub fn ids_under_way(&self) -> Vec<InstanceId> {
        join_incarnations(self.under_way.clone(), &self.under_way_starts)
    }

    /// Incarnations that take new requests again.
    pub fn ids_ended(&self) -> Vec<InstanceId> {
        join_incarnations(self.ended.clone(), &self.ended_starts)
    }
}

/// The version of a model's weights that a server has.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KnownVersion {
    /// The server.
    #[n(0)]
    pub instance: InstanceName,
    /// The model.
    #[n(1)]
    pub model: String,
    /// The version.
    #[n(2)]
    pub version: u64,
    /// When the server's incarnation started; unknown from a peer of an earlier version.
    #[n(3)]
    #[cbor(default)]
    pub started: StartTime,
}

impl KnownVersion {
    /// The incarnation that has the weights.
    pub fn id(&self) -> InstanceId {
        InstanceId::started_at(self.instance.clone(), self.started)
    }
}
