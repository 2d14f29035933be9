//! Limits that hold over all routers together: of tenants, and of servers that state one.
//!
//! - [`TokenBucket`] is the one bucket behind every rate of the product.
//! - [`LimitOwner`] is what a control replica keeps for the accounts that it owns: one
//!   bucket for the whole fleet, which every router charges before it sends a request.
//! - [`owners`] orders the replicas for an account; the first that a router reaches and
//!   that a quorum has lately confirmed is the account's owner.
//! - [`LocalLimits`] decides on a router while it reaches no owner: each router then
//!   keeps to its [`FleetShare`] of a part of the limit.
//! - [`StatedLimit`] is what a server's answer states of the requests that it takes, and
//!   [`ServerLimit`] what a router knows of that limit and tells the others.
//! - [`ServerNotice`] is what an answer asks of the one router that gets it.
//!
//! Time and random numbers are passed in; nothing here performs I/O. Why it is done
//! like this, and what other ways came to: `docs/design/fleet-limits.md`.

mod account;
mod bucket;
mod local;
mod notice;
mod owner;
mod owners;
mod server_limit;
mod share;
mod stated;

pub use account::{ChargeRequest, RateLimit, Verdict};
pub use bucket::TokenBucket;
pub use local::LocalLimits;
pub use notice::{PauseFault, ServerNotice, StatedDeparture, StatedPause};
pub use owner::LimitOwner;
pub use owners::owners;
pub use server_limit::{Allowance, Decider, ServerLimit, ToldLimit};
pub use share::FleetShare;
pub use stated::{RateFault, RequestRate, StatedLimit};
