//! Cached and stored prefix segments: what servers and stores hold, what is requested, and which
//! servers were lost with their segments.

pub(crate) mod cache_turnover;
pub(crate) mod cached_segments;
pub(crate) mod server_loss;
pub(crate) mod stored_segments;
pub(crate) mod transfer_queues;
pub(crate) mod transfer_sources;
