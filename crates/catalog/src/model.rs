//! What a configuration holds.

use std::net::SocketAddrV4;

use minicbor::{Decode, Encode};

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Catalog {
    /// Version; of two configurations the higher one is in force.
    #[n(0)]
    pub version: u64,
    /// Where requests go.
    #[n(1)]
    pub routes: Vec<Route>,
    /// What serves them.
    #[n(2)]
    pub services: Vec<Service>,
    /// Bounds on what a caller may send.
    #[n(3)]
    pub limits: RequestLimits,
    /// Who may call. Without tenants no key is asked for.
    #[n(4)]
    pub tenants: Vec<Tenant>,
}

/// What may be done with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// It may run more than once.
    #[n(0)]
    Repeatable,
    /// It runs at most once.
    #[n(1)]
    AtMostOnce,
    /// Its answer is a stream of events.
    #[n(2)]
    Stream,
}

/// Requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name, for logs.
    #[n(0)]
    pub name: String,
    /// Host that requests name.
    #[n(1)]
    pub host: String,
    /// Start of their path.
    #[n(2)]
    pub path_prefix: String,
    /// What may be done with them.
    #[n(3)]
    pub kind: RouteKind,
    /// Longest time that a request is held, in milliseconds.
    #[n(4)]
    pub timeout_ms: u64,
    /// Time within which an answer, or the first event of a stream, is wanted, in
    /// milliseconds.
    #[n(5)]
    pub objective_ms: u64,
    /// Rank, 0 first.
    #[n(6)]
    pub priority: u8,
    /// Services that take the requests, by weight.
    #[n(7)]
    pub split: Vec<SplitPart>,
    /// Most servers that one request may be sent to.
    #[n(8)]
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[n(9)]
    pub anonymous: bool,
    /// Whether requests state the parts of a prompt, and so have homes.
    #[n(10)]
    pub has_prompt: bool,
    /// Whether a broken stream may go on at another server.
    #[n(11)]
    pub resumable: bool,
    /// Longest pause between events of a stream that is in time, in milliseconds.
    #[n(12)]
    pub max_pause_ms: Option<u64>,
}

impl Route {
    /// Whether a request may run a second time after it may have run once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service of a route with its share.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SplitPart {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Share, relative to the other parts.
    #[n(1)]
    pub weight: u32,
}

/// Servers that do the same.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Name.
    #[n(0)]
    pub name: String,
    /// Path of the health check.
    #[n(1)]
    pub health_path: String,
    /// Connections that one server takes from all callers together; zero if it isn't stated.
    #[n(2)]
    pub max_connections: u32,
    /// What its model engines can do, if they are such.
    #[n(3)]
    pub engine: Option<EngineProfile>,
    /// Where its store of kept KV cache is, if it is one.
    #[n(4)]
    pub store: Option<StoreProfile>,
}

/// What a model engine can do.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct EngineProfile {
    /// Requests that run at once.
    #[n(0)]
    pub slots: u32,
    /// Tokens that its memory holds, running requests and cached parts together.
    #[n(1)]
    pub cache_tokens: u64,
    /// Bytes of KV cache for one token.
    #[n(2)]
    pub token_bytes: u64,
    /// Speed of its link, in megabits a second.
    #[n(3)]
    pub link_mbps: f64,
    /// Calls for cache events that it holds at once.
    #[n(4)]
    pub event_calls: u32,
    /// Models that it serves.
    #[n(5)]
    pub models: Vec<String>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreProfile {
    /// Its address.
    #[cbor(n(0), with = "crate::model::address")]
    pub address: SocketAddrV4,
    /// Its zone.
    #[n(1)]
    pub zone: String,
    /// Tokens that it holds.
    #[n(2)]
    pub capacity_tokens: u64,
    /// Speed of its link, in megabits a second.
    #[n(3)]
    pub link_mbps: f64,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    #[n(0)]
    pub header_bytes: u32,
    /// Largest body, in bytes.
    #[n(1)]
    pub body_bytes: u64,
    /// Longest time for a head to arrive, in milliseconds.
    #[n(2)]
    pub header_timeout_ms: u64,
    /// Longest rest of a connection between two requests, in milliseconds.
    #[n(3)]
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Bounds for configurations that state none.
    fn default() -> Self {
        RequestLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A tenant with its keys.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tenant {
    /// Name.
    #[n(0)]
    pub name: String,
    /// Keys that its callers present.
    #[n(1)]
    pub keys: Vec<String>,
    /// Rank of its requests, in place of the route's.
    #[n(2)]
    pub priority: Option<u8>,
    /// Whether its cache entries are shared with no other tenant.
    #[n(3)]
    pub isolated: bool,
    /// What its requests may cost over all routers together; `None` for no limit.
    #[n(4)]
    pub limit: Option<TenantLimit>,
}

/// What the requests of a tenant may cost over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct TenantLimit {
    /// Units a second.
    #[n(0)]
    pub per_second: f64,
    /// Units that may come at once beyond the rate.
    #[n(1)]
    pub burst: f64,
    /// What is counted.
    #[n(2)]
    pub unit: LimitUnit,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LimitUnit {
    /// Requests.
    #[n(0)]
    Requests,
    /// Tokens of the prompt and the most that are generated.
    #[n(1)]
    Tokens {
        /// Tokens that a request without a prompt counts as.
        #[n(0)]
        plain: u32,
    },
}

impl TenantLimit {
    /// Units that a request costs. `tokens` are those of its prompt and its answer, if it
    /// states them.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)) as f64,
        }
    }
}

/// Codec of IPv4 socket addresses: six bytes.
pub mod address {
    use std::net::{Ipv4Addr, SocketAddrV4};

    use minicbor::decode::Error as DecodeError;
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    /// Writes an address.
    pub fn encode<C, W: Write>(
        address: &SocketAddrV4,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        let number = u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
        encoder.u64(number)?;
        Ok(())
    }

    /// Reads an address.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<SocketAddrV4, DecodeError> {
        let number = decoder.u64()?;
        let ip = u32::try_from(number >> 16).map_err(|_| DecodeError::message("address"))?;
        Ok(SocketAddrV4::new(Ipv4Addr::from(ip), number as u16))
    }
}
