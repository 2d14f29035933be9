//! Rate limits that hold across all routers: limits of tenants, and limits that servers advertise.
//!
//! - [`TokenBucket`] is the token bucket behind every rate limit.
//! - [`LimitOwner`] runs on a control replica and keeps one bucket for the whole fleet for each
//!   account that the replica owns. Routers charge the account before they dispatch a request.
//! - [`rank_owners`] ranks the replicas for an account. The first one that the router reaches and
//!   that a quorum has recently confirmed owns the account.
//! - [`LocalLimits`] decides on a router that reaches no owner. The router then admits its
//!   [`FleetShare`] of a fraction of the limit.
//! - [`OwnerTimeout`] decides how long a router waits for an owner, and [`KnownRefusals`] repeats
//!   refusals of an owner that still hold.
//! - [`AdvertisedLimit`] is the limit that a server's answer advertises. [`ServerLimit`] tracks it
//!   on a router and decides when to report it to the other routers.
//! - [`RejectionTolerance`] states how many rejections per second a brittle server survives.
//! - [`ServerNotice`] is a backoff request or departure announcement in a server's answer.
//!
//! Time and random numbers are passed in; nothing here performs I/O. For the design and the
//! alternatives, see `docs/design/fleet-limits.md`.

mod account;
mod advertised_limit;
mod bucket;
mod header_value;
mod known_refusals;
mod local;
mod notice;
mod owner;
mod owner_timeout;
mod owners;
mod rejection_tolerance;
mod server_limit;
mod share;

pub use account::{ChargeRequest, RateLimit, Verdict};
pub use advertised_limit::{AdvertisedLimit, RateError, RequestRate};
pub use bucket::TokenBucket;
pub use known_refusals::KnownRefusals;
pub use local::LocalLimits;
pub use notice::{BackoffError, DepartureNotice, RequestedBackoff, ServerNotice};
pub use owner::LimitOwner;
pub use owner_timeout::{OwnerQuery, OwnerTimeout};
pub use owners::rank_owners;
pub use rejection_tolerance::{RejectionTolerance, ToleranceError};
pub use server_limit::{Allowance, Decider, PeerLimit, ServerLimit};
pub use share::FleetShare;
