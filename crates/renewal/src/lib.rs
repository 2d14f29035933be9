//! Brings model servers to the weights that are wanted.
//!
//! The leader of the control replicas holds a lease in the replicated log and
//! gives the orders; a fencing token that rises with each lease keeps a former
//! holder's orders out. [`RenewalPlan`] decides who is ordered next and when; it
//! is pure. [`OrderDispatcher`] holds the lease and talks to the servers; how an order
//! is written is the business of an [`OrderDialect`].

mod exchange;
mod giver;
mod hand_on;
mod plan;
mod task;
mod trials;

pub use exchange::{Order, OrderAnswer, OrderDialect, RunningRequests, ServerState};
pub use giver::{OrderDispatcher, OrderDispatcherSettings};
pub use hand_on::publish_fleet_view;
pub use plan::{PlanSettings, RenewalPlan, RenewalServer};
