//! Connections and bodies of callers, within the memory that they may make a process hold.
//!
//! Whatever a caller sends passes through this crate: a connection is admitted against the account
//! before it is served, and a body is read only by [`read_body`], which holds it under the account until
//! it is dropped. The decisions are made by `juniper-memory-budget`.
//!
//! - `memory` shares the account between tasks.
//! - `segments` collects a body in blocks of its own, whatever pieces it arrives in.
//! - `read` reads a body, `discard` reads on after a refusal so that the caller gets it.
//! - `connections` admits connections and closes those that have been idle for longest.
//! - `kept` ties leases to the bytes of answers.
//! - `write_timeout` ends connections whose callers don't read their answers.
//! - `handshakes` bounds connections of other processes that haven't authenticated yet.
//! - `hold` reads bodies before the handlers of an `axum` router run.
//! - `server` serves an `axum` router; `brief` serves checks that are answered at once.

mod brief;
mod connections;
mod discard;
mod handshakes;
mod hold;
mod kept;
mod memory;
mod read;
mod segments;
mod server;
mod write_timeout;

pub use brief::serve_brief;
pub use connections::{ConnectionLease, Connections, RequestGuard};
pub use discard::{DiscardOnDrop, discard};
pub use handshakes::{Handshake, Handshakes};
pub use hold::{BodyHolder, hold_body};
pub use kept::keep_until_written;
pub use memory::{AnswerLease, CallerMemory};
pub use read::{ReadError, ReadLimits, read_body};
pub use segments::{HeldBody, SegmentedBody};
pub use server::{HttpLimits, SharedAnswer, serve};
pub use write_timeout::WriteTimeoutStream;
