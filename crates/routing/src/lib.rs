//! Routing decisions, admission limits, retry budgets and draining.
//!
//! [`EngineTable`] holds the state of the engines in one router: load reports,
//! the router's own requests since, and departures. [`decide`] chooses the
//! engine with the lowest expected cost for a request. Callers pass in time and
//! random numbers; nothing here performs I/O.

pub mod admission;
mod cost;
mod decide;
pub mod drain;
mod engine;
mod estimate;
mod groups;
mod positions;
mod request;
pub mod retry;
mod search;
mod software;
mod table;

pub use cost::{CostModel, CostTerms, CostWeights};
pub use decide::{Decision, PrefixWait, Reason, Refusal, RefusalCode, decide};
pub use engine::{EngineDescriptor, EngineLoad, EngineView};
pub use request::{DispatchId, DispatchedWork, RouteRequest, ServingKey};
pub use table::EngineTable;
