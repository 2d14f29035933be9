//! Rollout of new weights to model servers.
//!
//! The leader of the control replicas holds a lease in the replicated log and sends orders to the
//! servers. A fencing token that increases with each lease makes servers reject the orders of
//! former holders. [`RenewalPlan`] decides which server is ordered next and when, without I/O.
//! [`OrderDispatcher`] holds the lease and sends the orders, in the format of an [`OrderDialect`].

mod exchange;
mod load_trials;
mod order_dispatcher;
mod order_task;
mod plan;
mod publish;

pub use exchange::{Order, OrderAnswer, OrderDialect, RunningRequests, ServerState, request_start};
pub use order_dispatcher::{OrderDispatcher, OrderDispatcherSettings};
pub use plan::{PlanSettings, RenewalPlan, RenewalServer};
pub use publish::publish_fleet_view;
