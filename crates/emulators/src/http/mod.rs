//! Emulated back ends in real time, behind the back-end protocol over HTTP.

pub mod application;
pub mod chat;
mod clock;
pub mod ending;
pub mod engine;
pub mod error;
pub mod headers;
pub mod kept;
pub mod platform;
pub mod preview;
pub mod report;
pub mod weights;
