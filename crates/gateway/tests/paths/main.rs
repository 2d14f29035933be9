//! The gateway between callers and servers, over loopback.

mod admission;
mod answers;
mod connections;
mod leaving;
mod limits;
mod pauses;
mod quarantine;
mod reachability;
mod server_limits;
mod starting;
mod support;
