//! The router daemon: serves callers and relays to back ends.
//!
//! Decisions live in the pure crates `juniper-routing` and
//! `juniper-prefix-index`; this crate holds the I/O around them: the callers'
//! face, the relay to back ends, the link to the control replicas and the
//! routers' own internal face.

pub mod access;
pub mod applications;
pub mod backends;
pub mod chat;
pub mod claims;
pub mod config;
pub mod control_client;
pub mod control_plane;
pub mod crashes;
pub mod engine_api;
pub mod engines;
pub mod error;
pub mod faces;
pub mod feeds;
pub mod in_force;
pub mod knowledge;
pub mod limits;
pub mod link;
pub mod metrics;
pub mod peers;
pub mod previews;
pub mod reachability;
pub mod relay;
pub mod run;
pub mod settings_file;
pub mod shared;
pub mod sharing;
pub mod sse;
pub mod subscription;

pub use config::RouterConfig;
pub use run::{RouterError, run};
