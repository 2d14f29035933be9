//! Data model of a configuration.

use std::net::SocketAddrV4;

use minicbor::{Decode, Encode};

/// Configuration of a deployment at one version.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct Catalog {
    /// Version number; the highest version takes effect.
    #[n(0)]
    pub version: u64,
    /// Routes of requests to services.
    #[n(1)]
    pub routes: Vec<Route>,
    /// Services that routes refer to.
    #[n(2)]
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    #[n(3)]
    pub limits: RequestLimits,
    /// Tenants with their keys. Without tenants no key is required.
    #[n(4)]
    pub tenants: Vec<Tenant>,
}

/// Execution semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum RouteKind {
    /// Requests that may be executed more than once.
    #[n(0)]
    Repeatable,
    /// Requests that may be executed at most once.
    #[n(1)]
    AtMostOnce,
    /// Requests answered by a stream of events.
    #[n(2)]
    Stream,
}

/// Rules for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Unique name, used in logs.
    #[n(0)]
    pub name: String,
    /// Host name to match.
    #[n(1)]
    pub host: String,
    /// Path prefix to match.
    #[n(2)]
    pub path_prefix: String,
    /// Execution semantics of the requests.
    #[n(3)]
    pub kind: RouteKind,
    /// Request timeout, in milliseconds.
    #[n(4)]
    pub timeout_ms: u64,
    /// Latency objective for the answer, or for the first event of a stream, in milliseconds.
    #[n(5)]
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    #[n(6)]
    pub priority: u8,
    /// Weighted services that receive the requests.
    #[n(7)]
    pub split: Vec<SplitPart>,
    /// Maximum number of servers that one request is sent to.
    #[n(8)]
    pub max_attempts: u32,
    /// Whether requests without a key are allowed.
    #[n(9)]
    pub anonymous: bool,
    /// Whether requests state the segments of their prompt, by which they are assigned a home.
    #[n(10)]
    pub has_prompt: bool,
    /// Whether an interrupted stream may be resumed on another server.
    #[n(11)]
    pub resumable: bool,
    /// Maximum gap between events of a stream, in milliseconds.
    #[n(12)]
    pub max_pause_ms: Option<u64>,
}

impl Route {
    /// Whether a request may be retried after it may have been executed.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// Service of a route with its weight.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SplitPart {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Weight relative to the other parts.
    #[n(1)]
    pub weight: u32,
}

/// Group of interchangeable servers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Service {
    /// Unique name.
    #[n(0)]
    pub name: String,
    /// Path of the health check.
    #[n(1)]
    pub health_path: String,
    /// Connection limit of one server over all callers; 0 if unspecified.
    #[n(2)]
    pub max_connections: u32,
    /// Capabilities of the model engines, if the servers are engines.
    #[n(3)]
    pub engine: Option<EngineProfile>,
    /// Location and capacity of the KV-cache store, if the service is one.
    #[n(4)]
    pub store: Option<StoreProfile>,
}

/// Capabilities of a model engine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct EngineProfile {
    /// Requests that are processed concurrently.
    #[n(0)]
    pub slots: u32,
    /// KV-cache capacity in tokens, for running requests and cached prefixes together.
    #[n(1)]
    pub cache_tokens: u64,
    /// Bytes of KV cache per token.
    #[n(2)]
    pub token_bytes: u64,
    /// Network bandwidth, in megabits per second.
    #[n(3)]
    pub link_mbps: f64,
    /// Concurrent requests for cache events that the engine accepts.
    #[n(4)]
    pub event_calls: u32,
    /// Names of the served models.
    #[n(5)]
    pub models: Vec<String>,
}

/// Store of KV cache outside the engines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoreProfile {
    /// Address of the store.
    #[cbor(n(0), with = "crate::model::address")]
    pub address: SocketAddrV4,
    /// Zone of the store.
    #[n(1)]
    pub zone: String,
    /// Capacity in tokens.
    #[n(2)]
    pub capacity_tokens: u64,
    /// Network bandwidth, in megabits per second.
    #[n(3)]
    pub link_mbps: f64,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    #[n(0)]
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    #[n(1)]
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    #[n(2)]
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection between requests, in milliseconds.
    #[n(3)]
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Limits for configurations without explicit ones.
    fn default() -> Self {
        RequestLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Tenant with its keys and limits.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tenant {
    /// Unique name.
    #[n(0)]
    pub name: String,
    /// API keys of the tenant's callers.
    #[n(1)]
    pub keys: Vec<String>,
    /// Priority of the tenant's requests, overriding the route's.
    #[n(2)]
    pub priority: Option<u8>,
    /// Whether the tenant's cache entries are isolated from other tenants.
    #[n(3)]
    pub isolated: bool,
    /// Rate limit over all routers together; `None` for no limit.
    #[n(4)]
    pub limit: Option<TenantLimit>,
}

/// Rate limit of a tenant over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct TenantLimit {
    /// Units per second.
    #[n(0)]
    pub per_second: f64,
    /// Burst size in units.
    #[n(1)]
    pub burst: f64,
    /// Counted unit.
    #[n(2)]
    pub unit: LimitUnit,
}

/// Unit that a rate limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum LimitUnit {
    /// Requests.
    #[n(0)]
    Requests,
    /// Prompt tokens plus the maximum number of generated tokens.
    #[n(1)]
    Tokens {
        /// Tokens charged for a request without a prompt.
        #[n(0)]
        plain: u32,
    },
}

impl TenantLimit {
    /// Cost of a request in units. `tokens` is the sum of prompt and maximum answer tokens, if the
    /// request states them.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(u64::from(plain)) as f64,
        }
    }
}

/// CBOR codec of IPv4 socket addresses as 48-bit integers: IP address, then port.
pub mod address {
    use std::net::{Ipv4Addr, SocketAddrV4};

    use minicbor::decode::Error as DecodeError;
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    /// Encodes an address.
    pub fn encode<C, W: Write>(
        address: &SocketAddrV4,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        let number = u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
        encoder.u64(number)?;
        Ok(())
    }

    /// Decodes an address.
    pub fn decode<C>(
        decoder: &mut Decoder<'_>,
        _context: &mut C,
    ) -> Result<SocketAddrV4, DecodeError> {
        let number = decoder.u64()?;
        let ip = u32::try_from(number >> 16).map_err(|_| DecodeError::message("address"))?;
        Ok(SocketAddrV4::new(Ipv4Addr::from(ip), number as u16))
    }
}
