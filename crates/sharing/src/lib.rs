//! How the routers of a zone share what they know of engines.
//!
//! A small fleet needs none of this: every router follows every engine. Above
//! that size each engine is followed by one router, which passes on two things:
//! the engine's load to every router of the zone, and the sampled index entries
//! to the router that owns them. [`Sharing`] is the whole state of one router as
//! a pure state machine; sockets and clocks belong to its owner.

pub mod group;
mod loads;
pub mod message;
mod publisher;
mod sharing;

pub use group::{FollowPlan, Group, RouterLife};
pub use message::{LoadDigest, ServingDigest, ShareMessage};
pub use sharing::{Question, Questions, Sharing, SharingSize};
