//! Bodies of callers' requests: read within their limits, or left unread after a refusal.

use std::time::Duration;

use hyper::body::{Body, Incoming};
use juniper_intake::{HeldBody, ReadError, ReadLimits, discard, read_body};
use tokio::time::Instant;

use crate::answer::OwnAnswer;
use crate::call::{ANSWER_MARGIN, DEFAULT_DEADLINE};
use crate::gateway::Gateway;
use crate::startup::MAX_BODY_BYTES;

/// Longest body that the HTTP library is left to skip, in bytes.
const MAX_SKIPPED_BYTES: u64 = 16 << 10;

/// Body of a caller's request.
pub(crate) enum RequestBody<'a> {
    Unread(&'a mut Incoming),
    /// Read while the request waited for the gateway's start.
    Buffered(HeldBody),
}

/// Leaves a body unread whose request was refused. Short ones are left to the HTTP library, which skips
/// them; a caller that sends a long one has to be able to read the refusal.
pub(crate) fn leave_unread(body: Incoming, expects_continue: bool) {
    let is_short = body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_SKIPPED_BYTES);
    if !is_short && !expects_continue {
        discard(body);
    }
}

/// Reads the body of a request that arrived before the configuration was first confirmed, and waits
/// for the confirmation. `Ok(None)` means that the caller has left.
pub(crate) async fn wait_for_start(
    gateway: &Gateway,
    body: &mut Incoming,
    arrived: Instant,
    timeout: Duration,
) -> Result<Option<HeldBody>, OwnAnswer> {
    let _permit = gateway.startup.try_enter().ok_or(OwnAnswer::Starting)?;
    let deadline = arrived + timeout.saturating_sub(ANSWER_MARGIN);
    let max_bytes = to_usize(MAX_BODY_BYTES);
    let limits = ReadLimits { max_bytes, idle_timeout: DEFAULT_DEADLINE, deadline };
    let body = read_request_body(gateway, body, limits).await;
    // The configuration may allow longer bodies, but isn't known yet.
    let body = body.map_err(|_| OwnAnswer::Starting)?;
    if !gateway.wait_for_start(arrived, deadline).await {
        return Err(OwnAnswer::Starting);
    }
    log::info!("event=start_awaited waited_ms={}", arrived.elapsed().as_millis());
    Ok(body)
}

/// Reads a complete body. `Ok(None)` means that the caller has left.
pub(crate) async fn read_request_body(
    gateway: &Gateway,
    body: &mut Incoming,
    limits: ReadLimits,
) -> Result<Option<HeldBody>, OwnAnswer> {
    match read_body(&gateway.memory, body, limits).await {
        Ok(body) => Ok(Some(body)),
        Err(ReadError::CallerLeft) => Ok(None),
        Err(ReadError::TooLarge) => Err(OwnAnswer::TooLarge),
        Err(ReadError::TooLate) => Err(OwnAnswer::TooLate),
        Err(ReadError::Stalled) => Err(OwnAnswer::BodyTimeout),
        Err(ReadError::NoMemory) => Err(OwnAnswer::NoMemory),
    }
}

pub(crate) fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
