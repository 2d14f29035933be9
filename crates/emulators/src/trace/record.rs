//! Content of a trace file: a header and one record per request.

use juniper_types::{ModelName, ServiceName, TenantName, ZoneName};
use serde::{Deserialize, Serialize};

use super::profile::Profile;

/// Value of [`TraceHeader::format`].
pub const FORMAT: &str = "juniper-trace";

/// Supported version of the format.
pub const VERSION: u32 = 1;

/// Header, the first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Always [`FORMAT`].
    pub format: String,
    /// Always [`VERSION`].
    pub version: u32,
    /// Deployment that the trace was generated for.
    pub profile: Profile,
    /// Seed that the trace was generated from; segment texts depend on it.
    pub seed: u64,
    /// Offered load as a share of the fleet's capacity.
    pub load: f64,
    /// Duration of the arrivals, in milliseconds.
    pub duration_ms: u64,
    /// Model that the engines serve.
    pub model: ModelName,
    /// Number of engines that `load` refers to.
    pub engines: u32,
    /// Cache capacity of one engine, in blocks.
    pub cache_blocks: u32,
    /// Zones of the callers and engines.
    pub zones: Vec<ZoneName>,
    /// Tenants, the largest first.
    pub tenants: Vec<TenantName>,
    /// Number of records that follow.
    pub records: u64,
}

/// Segment of a prompt, serialized as `[id, tokens]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct Segment {
    /// Id that, with the trace's seed, determines the text.
    pub id: u64,
    /// Length in tokens, including the message frame.
    pub tokens: u32,
}

impl From<(u64, u32)> for Segment {
    fn from((id, tokens): (u64, u32)) -> Self {
        Segment { id, tokens }
    }
}

impl From<Segment> for (u64, u32) {
    fn from(segment: Segment) -> Self {
        (segment.id, segment.tokens)
    }
}

/// Record of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRecord {
    /// Arrival time, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Requested service.
    pub service: ServiceName,
    /// Kind and parameters of the request.
    pub request: TraceRequest,
}

/// Kind and parameters of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceRequest {
    /// A chat completion.
    Chat {
        /// Prompt segments, from the outer prefix to the request's unique text.
        prompt: Vec<Segment>,
        /// Number of output tokens.
        output_tokens: u32,
        /// Priority, from 0 (lowest) to 9.
        priority: u8,
    },
    /// An at-most-once request: an application or a licence check.
    AtMostOnce {
        /// Number that is unique within the trace.
        number: u64,
        /// Size of the body, in bytes.
        body_bytes: u32,
    },
    /// A listing, which may be retried.
    Listing {
        /// Id of the listed resource.
        resource: u64,
    },
    /// A preview, streamed.
    Preview {
        /// Number of the clip.
        clip: u64,
    },
}

impl TraceRequest {
    /// Prompt of a chat; empty for other kinds.
    pub fn prompt(&self) -> &[Segment] {
        match self {
            TraceRequest::Chat { prompt, .. } => prompt,
            _ => &[],
        }
    }

    /// Number of prompt tokens of a chat; zero for other kinds.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }
}
