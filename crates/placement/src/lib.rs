//! Chooses the server of a generic request. Pure: the servers, the request, time
//! and a random number go in; a choice with its reasons comes out.
//!
//! A prompt is known by the chain of its parts. Shared parts have a home, which
//! every router works out alike by rendezvous hashing ([`ChainKeys`]); the cost of
//! reading or moving them, what each server should keep (worked out by following what
//! routers send it), the load and the health of a server decide whether a
//! request goes home ([`Placement::choose`]).

mod admission;
mod budget;
mod candidates;
mod choice;
mod cost;
mod fleet_load;
mod health;
mod homes;
mod kept_parts;
mod lanes;
mod load;
mod memory;
mod notices;
mod placement;
mod prompt_work;
mod reports;
mod request;
mod rest;
mod search;
mod server;
mod server_limits;
mod sighting;
mod sighting_budget;

pub use admission::{Overload, Prospect};
pub use budget::{RetryBudget, RetrySettings};
pub use choice::{Choice, NoChoice, Reason, ServiceProfile, Ticket};
pub use health::Outcome;
pub use homes::ChainKeys;
pub use notices::PassedOver;
pub use placement::Placement;
pub use reports::Reporter;
pub use request::{Prompt, PromptPart, ServerRequest};
pub use server_limits::{HeardAt, LimitChange};
pub use sighting::{ChainSighting, ToldRequest};
pub use sighting_budget::SightingBudget;
