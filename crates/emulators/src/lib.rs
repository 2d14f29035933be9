//! Emulated engines, stores and servers for tests and the lab.
//!
//! Each kind of back end has one deterministic model: the caller passes the
//! current time and random number generators are seeded, so the simulator can
//! run the models in virtual time. The [`http`] module runs the same models in
//! real time behind the back-end protocol.

pub mod application;
pub mod content;
pub mod engine;
pub mod http;
pub mod kv_store;
pub mod platform;
pub mod preview;
pub mod trace;
pub mod weights;
pub mod witness;
