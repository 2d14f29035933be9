//! Sharing of engine state among the routers of a zone.
//!
//! In a small fleet every router follows every engine. In a larger fleet each
//! engine is followed by one router, which sends the engine's load to every
//! router of the zone, and sampled prefix index entries to the routers that own
//! them. [`Sharing`] is the state machine of one router; the caller provides
//! I/O and time.

pub mod group;
mod loads;
pub mod message;
mod publisher;
mod sharing;

pub use group::{FollowPlan, Group, RouterIncarnation};
pub use message::{LoadDigest, ServingDigest, ShareMessage};
pub use sharing::{OwnerQuery, PrefixQuery, Sharing, SharingSize};
