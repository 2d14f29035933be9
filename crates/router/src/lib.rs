//! Router daemon that serves callers and relays their requests to back ends.
//!
//! Routing decisions are made in the I/O-free crates `juniper-routing` and
//! `juniper-prefix-index`. This crate contains the I/O: the HTTP APIs, the relay to
//! back ends, the connections to the control replicas and the internal API for
//! other routers.

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
pub mod engine_observer;
pub mod engine_pollers;
pub mod engines;
pub mod error;
pub mod http_api;
pub mod in_force;
pub mod limits;
pub mod link;
pub mod metrics;
mod open_answer;
pub mod peers;
mod preview_search;
pub mod previews;
pub mod reachability;
pub mod relay;
pub mod router_state;
pub mod run;
pub mod settings_age;
pub mod settings_file;
pub mod sharing;
pub mod sse;
pub mod subscription;

pub use config::RouterConfig;
pub use run::{RouterError, run};
