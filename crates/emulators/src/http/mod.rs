//! HTTP servers that run the back-end models in real time.

pub mod application;
pub mod chat;
mod clock;
pub mod crash_injection;
pub mod engine;
pub mod error;
pub mod headers;
pub mod kv_store;
pub mod platform;
pub mod preview;
pub mod report;
pub mod weights;
