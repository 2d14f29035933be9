//! Group membership and failure detection.
//!
//! The protocol is SWIM (Das, Gupta, Motivala, 2002): each period, every node probes one peer. If
//! the peer doesn't answer, the node asks other members to probe it, then suspects it, and declares
//! it dead unless it refutes the suspicion in time. Updates are piggybacked on the probes. The cost
//! per node is therefore independent of the size of the group.
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
