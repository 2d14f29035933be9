//! Emulated back ends in real time, behind the back-end protocol over HTTP.

pub mod chat;
pub mod engine;
pub mod error;
pub mod headers;
