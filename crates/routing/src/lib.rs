//! Pure routing decisions, admission limits, retry budgets and drains.
//!
//! [`EngineTable`] is what one router knows of its engines: lagging load
//! reports, its own work since, and who is leaving. [`decide`] picks the engine
//! with the least expected cost for a request. Time and random numbers are
//! passed in; nothing here performs I/O.

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
mod table;

pub use cost::{CostModel, CostTerms, CostWeights};
pub use decide::{Decision, PrefixWait, Reason, Refusal, RefusalCode, decide};
pub use engine::{EngineDescriptor, EngineLoad, EngineView};
pub use request::{DispatchId, DispatchedWork, RouteRequest, ServingKey};
pub use table::EngineTable;
