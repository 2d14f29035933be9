//! The result of choosing a server.

use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_admission::ServerCalls;
use juniper_prefix_index::rendezvous;
use juniper_registry::{InstanceId, SoftwareVersion};
use juniper_types::Timestamp;

use crate::admission::Overload;
use crate::dispatch_record::{DispatchRecord, ReportedRequest};
use crate::homes::ChainKeys;
use crate::timing_sample::TimingSample;
use crate::weights::ModelKey;

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The server has the prompt's shared segments in its cache.
    Holder,
    /// The server is the home of the shared segments, and no server has them in its cache.
    Home,
    /// The server fetches shared segments from another server that is busier or less healthy.
    Fetch,
    /// The server has the lowest expected cost.
    LeastCost,
    /// No server is known to work; this one was picked at random.
    LastResort,
}

impl Reason {
    /// Value of the `reason` log key.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Holder => "holder",
            Reason::Home => "home",
            Reason::Fetch => "fetch",
            Reason::LeastCost => "least_cost",
            Reason::LastResort => "last_resort",
        }
    }
}

/// Expected times of a prompt at the chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedTiming {
    /// Time to first output, in milliseconds.
    pub first_output_ms: f64,
    /// Longest gap between two events of its stream, in milliseconds; `None` in services without
    /// tight objectives.
    pub longest_gap_ms: Option<f64>,
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Incarnation of the chosen server.
    pub instance: InstanceId,
    /// Address that the server listens on.
    pub address: SocketAddrV4,
    /// Why the server was chosen.
    pub reason: Reason,
    /// Expected cost, in milliseconds.
    pub cost_ms: f64,
    /// Whether the first output is expected after the deadline. The server runs a late request
    /// after those that can still be in time, so it isn't counted as queued.
    pub is_late: bool,
    /// Expected times of a prompt; `None` without a prompt, or if the server was picked at random.
    pub expected: Option<ExpectedTiming>,
    /// Expected time of the KV transfer, in milliseconds.
    pub transfer_ms: f64,
    /// Prompt tokens expected in the server's cache.
    pub cached_tokens: u32,
    /// Prompt tokens that the server must compute.
    pub prefill_tokens: u32,
    /// Number of servers that were considered.
    pub candidates: usize,
    /// The prompt's model; `None` without a prompt.
    pub model: Option<ModelKey>,
    /// The model if the server has several, as the owner of cached segments.
    pub cache_model: Option<ModelKey>,
    /// Version of the model's weights on the server; zero without a model.
    pub version: u64,
    /// Version of the server's software, if known.
    pub software: Option<SoftwareVersion>,
    /// Server with the same weights, or store, from which further segments can be fetched.
    pub source: Option<SocketAddrV4>,
    /// Store that should save the prompt's segments after prefill.
    pub store: Option<SocketAddrV4>,
    /// Keys of the prompt's shared prefixes, the longest last.
    pub keys: Vec<u64>,
    /// Tokens of each shared segment.
    pub segment_tokens: Vec<u32>,
    /// Prompt tokens after the shared segments.
    pub own_tokens: u32,
    /// Prompt tokens that are new in the server's cache, computed or fetched.
    pub inserted_tokens: u32,
}

impl Choice {
    /// Prefill tokens that add to the server's queue: none if the request is late.
    pub(crate) fn queued_tokens(&self) -> u32 {
        if self.is_late { 0 } else { self.prefill_tokens }
    }

    /// Description of the dispatch for other routers.
    pub fn dispatch_record(&self) -> DispatchRecord {
        DispatchRecord {
            instance: self.instance.clone(),
            model: self.cache_model,
            version: self.version,
            keys: self.keys.clone(),
            segment_tokens: self.segment_tokens.clone(),
            own_tokens: self.own_tokens,
            tokens: self.inserted_tokens,
            prefill_tokens: self.queued_tokens(),
        }
    }
}

/// Cost of KV transfer and cache capacity for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Time to transfer one token, in milliseconds; zero if KV transfer isn't available.
    pub transfer_ms_per_token: f64,
    /// Capacity of each server's KV cache, in tokens; zero if unknown.
    pub cache_tokens: u64,
    /// Addresses of the KV stores, if there are any.
    pub stores: Vec<SocketAddrV4>,
    /// Whether the configuration gives the service tight objectives, for which the fixed part of an
    /// answer's time matters.
    pub is_tight: bool,
}

impl ServiceProfile {
    /// Store that holds the chain, by rendezvous hashing. All routers pick the same one, so that
    /// each chain is stored once.
    pub(crate) fn store_of(&self, chain: &ChainKeys) -> Option<SocketAddrV4> {
        let key = chain.keys.last()?;
        let score = |store: &SocketAddrV4| rendezvous::score(*key, address_key(*store));
        self.stores.iter().copied().max_by_key(|store| (score(store), *store))
    }
}

fn address_key(address: SocketAddrV4) -> u64 {
    u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ChoiceError {
    /// The service has no server.
    #[error("the service has no server")]
    NoServer,
    /// No server of the service runs the required software version.
    #[error("no server runs the required software version")]
    NoSoftware,
    /// Every remaining server has already failed this request.
    #[error("every remaining server has already failed this request")]
    AllExcluded,
    /// Every server has older weights than the required version.
    #[error("every server has older weights than the required version")]
    OutdatedWeights,
    /// The queues are too long for the prompt to start in time.
    #[error("servers are overloaded: {0:?}")]
    Overloaded(Overload),
    /// Every server is backing off from this router; the first backoff ends after this time.
    #[error("every server is backing off; the first accepts requests in {0:?}")]
    BackingOff(Duration),
    /// Every remaining server has reached its advertised limit; the first has capacity after this
    /// time.
    #[error("every remaining server is at its advertised limit; the first has capacity in {0:?}")]
    LimitReached(Duration),
}

/// An in-flight request on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    pub(crate) instance: InstanceId,
    pub(crate) prefill_tokens: u32,
    pub(crate) is_measured: bool,
    pub(crate) started_at: Timestamp,
    pub(crate) had_output: bool,
    /// Number of the request among those of this router.
    pub(crate) request: ReportedRequest,
    /// The prompt's model.
    pub(crate) model: Option<ModelKey>,
    /// Calls at the server including this one, if their concurrency is measured.
    pub(crate) calls: Option<ServerCalls>,
    /// Prefill tokens queued at the server when the request was dispatched.
    pub(crate) tokens_ahead: f64,
    /// What was expected at dispatch, in services with tight objectives.
    pub(crate) sample: Option<TimingSample>,
}
