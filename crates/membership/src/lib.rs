//! Failure detection and peer views from heartbeats.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002): every node probes one
//! peer each period, asks others to probe it in its place when it doesn't
//! answer, suspects it before it counts as dead, and lets it refute the
//! suspicion. News travels on the probes themselves. The cost for one node is
//! therefore the same at 3 members and at 340.
//!
//! [`Detector`] is a pure state machine: messages and ticks in, actions out.

pub mod config;
pub mod detector;
pub mod digest;
mod gossip;
pub mod member;
pub mod message;
pub mod table;

pub use config::DetectorConfig;
pub use detector::{Action, Detector};
pub use member::{Liveness, Member, MemberRole, Update};
pub use message::Message;
