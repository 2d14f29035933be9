//! Subscriptions of a router or replica to the control replicas.
//!
//! A node keeps connections to the replicas that [`FollowRequest`] selects. Each replica pushes the
//! state that the fleet agrees on and the servers that it observes. [`FleetViewBuilder`] merges
//! these pushes into one monotonic [`FleetView`], which [`Feed`] publishes. Several replicas are
//! followed at once, so that a crash or partition of one of them doesn't delay updates.

mod actor;
mod charge;
mod confirmation;
mod feed;
mod follow;
mod link;
mod link_error;
mod links;
mod lookup;
mod relay;
mod replica_calls;
mod router_count;
mod view;
mod view_builder;

pub use actor::{FeedSettings, RelayedBatch};
pub use charge::ChargeError;
pub use confirmation::{Confirmation, ConfirmationFields, ConfirmedView};
pub use feed::Feed;
pub use follow::{FOLLOWED_REPLICAS, FollowRequest, FollowScope, MAX_FULLY_FOLLOWED};
pub use lookup::OriginLookup;
pub use relay::select_relay;
pub use router_count::{RouterCount, RouterCounter};
pub use view::{FleetView, WantedWeights};
pub use view_builder::{FleetViewBuilder, MergeOutcome};
