//! The decision: the engine with the least expected cost.
//!
//! Among engines near the least cost the pick follows rendezvous hashing on the
//! first block that none of them holds, so routers that miss the same prefix at
//! the same moment compute it once, on one engine, while different prompts
//! spread.

use std::time::Duration;

use juniper_prefix_index::Holder;
use juniper_types::{EngineId, Incarnation, Timestamp};
use rand::{Rng, RngExt};

use crate::cost::CostTerms;
use crate::request::{DispatchId, RouteRequest};
use crate::search::Search;
use crate::table::EngineTable;

/// Suggested pause while no engine serves the key: about as long as an engine
/// takes to report again.
const NO_ENGINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why the engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It holds as much of the prompt as any usable engine.
    BestHolder,
    /// It holds part of the prompt; the engines with more of it are busier.
    Spread,
    /// Nobody holds any of the prompt.
    NobodyHolds,
    /// It holds none of the prompt; computing it costs less than to wait.
    LeastLoaded,
    /// No engine has said yet that it serves the key; this one may.
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

/// A wait for an attempt that is computing the prefix.
///
/// An engine shares a block only once it is computed. A request that arrives
/// earlier computes the prefix a second time, behind the first in the same
/// queue; sent when the first one has its first token, it finds the prefix and
/// is served no later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixWait {
    /// The router's own attempt, on the same engine. The wait is over when it
    /// has its first token or has ended.
    pub dispatch: DispatchId,
    /// The wait is over after this time in any case.
    pub at_most: Duration,
}

/// The choice for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Where to send the request.
    pub engine: EngineId,
    /// The life that the choice is about; `None` when the engine has not reported.
    pub incarnation: Option<Incarnation>,
    /// Leading blocks that the engine should hold.
    pub expected_blocks: u32,
    /// Leading blocks to import from the store of kept KV cache first; zero for none.
    pub import_blocks: u32,
    /// What to wait for before sending the request; `None` sends it at once.
    pub wait: Option<PrefixWait>,
    /// Why this engine.
    pub reason: Reason,
    /// Engines that were considered.
    pub candidates: u32,
    /// The parts of the expected cost.
    pub terms: CostTerms,
}

/// Why a request was not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCode {
    /// No engine serves the model, adapter and weights.
    NoEngine,
    /// Even without a queue the first token would come too late.
    DeadlineTooShort,
    /// The queues are too long for the deadline.
    Overloaded,
}

/// No engine can serve the request in time. Nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}; retry after {} ms", .retry_after.as_millis())]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When the request has a chance.
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

/// Picks the engine for `request`. `holders` are the engines that hold its start.
///
/// # Errors
/// A [`Refusal`] when no usable engine serves the request's key, or none is
/// expected to give the first token in time.
pub fn decide<R: Rng + ?Sized>(
    table: &EngineTable,
    holders: &[Holder],
    request: &RouteRequest<'_>,
    now: Timestamp,
    random: &mut R,
) -> Result<Decision, Refusal> {
    let search = Search::new(table, holders, request, now);
    let survey = search.survey();
    let nobody = Refusal { code: RefusalCode::NoEngine, retry_after: NO_ENGINE_RETRY_AFTER };
    search.conclude(&survey, random.random()).unwrap_or(Err(nobody))
}
