//! Chooses the server for a request. Performs no I/O: servers, request, time and a random number
//! are passed in, and a choice with its reason is returned.
//!
//! A prompt is described as a chain of prefix segments. Each shared prefix has a home server, which
//! all routers compute alike by rendezvous hashing ([`ChainKeys`]). Whether a request goes to its
//! home depends on the cost of prefill or KV transfer, on a model of each server's KV cache, and on
//! the load and health of the servers ([`Placement::choose`]).

mod admission;
mod backoffs;
mod brittle;
mod cache_turnover;
mod cached_segments;
mod call_limits;
mod candidates;
mod choice;
mod cost;
mod direct_paths;
mod dispatch_record;
mod fleet_load;
mod health;
mod homes;
mod lanes;
mod load;
mod notices;
mod placement;
mod prompt_work;
mod reachability;
mod reachability_reports;
mod report_budget;
mod request;
mod retry_budget;
mod search;
mod server;
mod server_limits;
mod timing_model;
mod timing_sample;
mod weights;

pub use admission::{Overload, Resource, StartEstimate};
pub use choice::{Choice, ChoiceError, ExpectedTiming, Reason, ServiceProfile, Ticket};
pub use direct_paths::ReportableFailure;
pub use dispatch_record::{DispatchRecord, ReportedRequest};
pub use health::Outcome;
pub use homes::ChainKeys;
pub use notices::ExclusionReason;
pub use placement::Placement;
pub use reachability::ProbeTarget;
pub use reachability_reports::Reporter;
pub use report_budget::ReportBudget;
pub use request::{Prompt, PromptSegment, ServerRequest};
pub use retry_budget::{RetryBudget, RetrySettings, RetryUsage};
pub use server_limits::{LimitChange, ObservedAt};
pub use weights::ModelKey;
