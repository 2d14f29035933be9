//! Choice of the engine with the lowest expected cost.
//!
//! Ties within a tolerance are broken by rendezvous hashing on the first block
//! that no candidate has cached. Routers that dispatch the same uncached prefix
//! at the same time thereby choose the same engine, while different prompts
//! spread over the engines.

use std::time::Duration;

use juniper_prefix_index::Holder;
use juniper_types::{EngineId, Incarnation, Timestamp};
use rand::{Rng, RngExt};

use crate::cost::CostTerms;
use crate::request::{DispatchId, RouteRequest};
use crate::search::Search;
use crate::table::EngineTable;

/// Suggested retry delay while no engine serves the key: about one interval
/// between load reports.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for the choice of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No usable engine has more of the prompt cached.
    BestHolder,
    /// Part of the prompt is cached; engines with more of it are busier.
    Spread,
    /// No usable engine has any of the prompt cached.
    NobodyHolds,
    /// Nothing of the prompt is cached, but computing all of it costs less than
    /// queueing at an engine with a cached prefix.
    LeastLoaded,
    /// No engine has reported what it serves yet.
    Unreported,
}

impl Reason {
    fn as_str(self) -> &'static str {
        match self {
            Reason::BestHolder => "best_holder",
            Reason::Spread => "spread",
            Reason::NobodyHolds => "nobody_holds",
            Reason::LeastLoaded => "least_loaded",
            Reason::Unreported => "unreported",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Delay of a request until another attempt has computed the shared prefix.
///
/// An engine reuses a block only once it is computed. A request dispatched
/// earlier would compute the prefix again, queued behind the first request. If
/// dispatched after the first token of that request, it hits the cache and
/// starts no later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixWait {
    /// Attempt of this router on the same engine. The wait ends with the
    /// attempt's first token or with its end.
    pub dispatch: DispatchId,
    /// Maximum time to wait.
    pub max_wait: Duration,
}

/// Routing decision for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Chosen engine.
    pub engine: EngineId,
    /// Incarnation of the chosen engine; `None` if the engine hasn't reported.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks expected in the engine's cache.
    pub expected_blocks: u32,
    /// Leading blocks to import from the external KV cache store before the
    /// prefill; zero for no import.
    pub import_blocks: u32,
    /// Attempt to wait for before the dispatch; `None` dispatches at once.
    pub wait: Option<PrefixWait>,
    /// Reason for the choice.
    pub reason: Reason,
    /// Number of engines that serve the request's key.
    pub candidates: u32,
    /// Components of the expected cost.
    pub terms: CostTerms,
}

/// Reason why a request was not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCode {
    /// No engine serves the model, adapter and weights.
    NoEngine,
    /// The first token would miss the deadline even without queueing.
    DeadlineTooShort,
    /// The engines' queues are too long for the deadline.
    Overloaded,
}

/// Refusal of a request that no engine can serve in time. The request was not
/// dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}; retry after {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Reason.
    pub code: RefusalCode,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}

impl std::fmt::Display for RefusalCode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            RefusalCode::NoEngine => "no engine serves the model, adapter and weights",
            RefusalCode::DeadlineTooShort => "no engine is fast enough for the deadline",
            RefusalCode::Overloaded => "the queues are too long for the deadline",
        })
    }
}

/// Chooses the engine for `request`. `holders` are the engines that have its
/// leading blocks cached.
///
/// # Errors
/// Returns a [`Refusal`] if no usable engine serves the request's key, or none
/// is expected to return the first token in time.
pub fn decide<R: Rng + ?Sized>(
    table: &EngineTable,
    holders: &[Holder],
    request: &RouteRequest<'_>,
    now: Timestamp,
    random: &mut R,
) -> Result<Decision, Refusal> {
    let search = Search::new(table, holders, request, now);
    let survey = search.survey();
    let no_engine = Refusal { code: RefusalCode::NoEngine, retry_after: NO_ENGINE_RETRY_AFTER };
    search.decide(&survey, random.random()).unwrap_or(Err(no_engine))
}
