//! What a trace file holds: one header and one record for each request.

use juniper_types::{ModelName, ServiceName, TenantName, ZoneName};
use serde::{Deserialize, Serialize};

use super::profile::Profile;

/// Value of [`TraceHeader::format`].
pub const FORMAT: &str = "juniper-trace";

/// Version of the format that this build reads and writes.
pub const VERSION: u32 = 1;

/// First line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Always [`FORMAT`].
    pub format: String,
    /// Always [`VERSION`].
    pub version: u32,
    /// Deployment that the trace is of.
    pub profile: Profile,
    /// Seed that the trace was generated from; segment texts depend on it.
    pub seed: u64,
    /// Offered load as a share of what the fleet can serve.
    pub load: f64,
    /// Time in which the requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Model that the engines serve.
    pub model: ModelName,
    /// Engines of the fleet that the load is meant for.
    pub engines: u32,
    /// Cache of one engine, in blocks.
    pub cache_blocks: u32,
    /// Zones that callers and engines stand in.
    pub zones: Vec<ZoneName>,
    /// Tenants, the largest first.
    pub tenants: Vec<TenantName>,
    /// Records that follow.
    pub records: u64,
}

/// A piece of prompt text; written as `[id, tokens]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct Segment {
    /// Number that, with the trace's seed, determines the text.
    pub id: u64,
    /// Length of the text, its message frame included.
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

/// One request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRecord {
    /// When it arrives, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Zone that the caller stands in.
    pub zone: ZoneName,
    /// Whose request it is.
    pub tenant: TenantName,
    /// Service that it asks for.
    pub service: ServiceName,
    /// What it asks for.
    pub request: TraceRequest,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceRequest {
    /// A chat completion.
    Chat {
        /// The prompt, from the widest shared prefix to the request's own text.
        prompt: Vec<Segment>,
        /// Tokens to generate.
        output_tokens: u32,
        /// 0 (lowest) to 9.
        priority: u8,
    },
    /// A call that runs at most once: an application or a licence check.
    AtMostOnce {
        /// Number that makes the call unique within the trace.
        number: u64,
        /// Length of the body, in bytes.
        body_bytes: u32,
    },
    /// A listing that may be repeated.
    Listing {
        /// What is listed.
        resource: u64,
    },
    /// A preview stream.
    Preview {
        /// Which clip.
        clip: u64,
    },
}

impl TraceRequest {
    /// The prompt of a chat; empty for every other kind.
    pub fn prompt(&self) -> &[Segment] {
        match self {
            TraceRequest::Chat { prompt, .. } => prompt,
            _ => &[],
        }
    }

    /// Tokens of the prompt of a chat.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt().iter().fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }
}
