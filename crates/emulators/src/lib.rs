//! Engines, stores and servers that the router is met with in the lab.
//!
//! Each kind of back end has one model. The models are pure: time is passed in
//! and a random number generator is seeded, so the simulator drives them in
//! virtual time. The [`http`] module drives the same models in real time and
//! speaks the back-end protocol.

pub mod application;
pub mod content;
pub mod engine;
pub mod http;
pub mod kept;
pub mod platform;
pub mod preview;
pub mod trace;
pub mod weights;
pub mod witness;
