//! Headers of the back-end protocol and how they are read.

use axum::http::HeaderMap;

use super::error::ApiError;

/// Unique for each attempt of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// Tenant: the first part of the cache scope.
pub const CACHE_TENANT: &str = "x-cache-tenant";
/// Adapter of the cache scope; absent when none.
pub const CACHE_ADAPTER: &str = "x-cache-adapter";
/// Weights version that the router planned with.
pub const CACHE_WEIGHTS: &str = "x-cache-weights";
/// Incarnation that the router planned with, and that answers.
pub const ENGINE_INCARNATION: &str = "x-engine-incarnation";
/// Leading blocks that the router believes cached.
pub const EXPECTED_BLOCKS: &str = "x-expected-blocks";
/// Scheduling priority, 0 to 9.
pub const PRIORITY: &str = "x-priority";
/// Remaining time of the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Output tokens that the caller has already.
pub const RESUME_FROM: &str = "x-resume-from";
/// Prompt tokens found in the cache.
pub const CACHED_TOKENS: &str = "x-cached-tokens";

/// The value of header `name`, parsed, or `None` when the header is absent.
///
/// # Errors
/// Fails when the value can't be read as a `T`.
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
