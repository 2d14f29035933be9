//! Header names and header parsing of the back-end protocol.

use axum::http::HeaderMap;

use super::error::ApiError;

/// Request id, unique for each attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Tenant of the cache scope.
pub const CACHE_TENANT: &str = "x-cache-tenant";
/// Adapter of the cache scope, if any.
pub const CACHE_ADAPTER: &str = "x-cache-adapter";
/// Version of the weights that the router planned with.
pub const CACHE_WEIGHTS: &str = "x-cache-weights";
/// Incarnation that the router planned with; in a response, the incarnation that responds.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// Software version of the engine that responds, if it states one.
pub const ENGINE_SOFTWARE: &str = "x-engine-software";
/// Number of leading blocks that the router expects to be cached.
pub const EXPECTED_BLOCKS: &str = "x-expected-blocks";
/// Scheduling priority, from 0 (lowest) to 9.
pub const PRIORITY: &str = "x-priority";
/// Time until the deadline of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Number of output tokens that the caller has already received.
pub const RESUME_FROM: &str = "x-resume-from";
/// Number of prompt tokens found in the cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";

/// Parses the value of header `name`; returns `None` if the header is absent.
///
/// # Errors
/// Fails when the value can't be parsed as a `T`.
pub fn parse<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, ApiError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| ApiError::Header(name))?;
    let parsed = text.trim().parse().map_err(|_| ApiError::Header(name))?;
    Ok(Some(parsed))
}
