//! Reads the body of a request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use juniper_memory_budget::Shortage;
use tokio::time::{Instant, timeout_at};

use crate::memory::CallerMemory;
use crate::segments::{HeldBody, SegmentWriter};

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct ReadLimits {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Longest time between two pieces.
    pub idle_timeout: Duration,
    /// Time by which the whole body must have arrived.
    pub deadline: Instant,
}

/// Why a body was not read to its end. Nothing of it has been passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The body is longer than the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The deadline has passed.
    #[error("the body took too long")]
    TooLate,
    /// Nothing arrived for longer than the idle timeout.
    #[error("the body stalled")]
    Stalled,
    /// The memory for callers is short, and this body had to give way.
    #[error("the memory for callers is short")]
    NoMemory,
    /// The caller has left, or what it sent is no body.
    #[error("the caller left")]
    CallerLeft,
}

impl From<Shortage> for ReadError {
    fn from(_: Shortage) -> Self {
        ReadError::NoMemory
    }
}

/// Reads a body to its end, held under the account. This is the only way to read one.
///
/// # Errors
/// Fails as [`ReadError`] describes; the rest of the body is unread then.
pub async fn read_body<B>(
    memory: &CallerMemory,
    body: &mut B,
    limits: ReadLimits,
) -> Result<HeldBody, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(HeldBody::default());
    }
    let announced =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > limits.max_bytes) {
        return Err(ReadError::TooLarge);
    }
    let mut segments = SegmentWriter::new(memory.begin_body(), announced);
    while let Some(frame) = next_frame(body, &segments, limits).await? {
        let Ok(data) = frame.into_data() else { continue };
        if segments.len() + data.len() > limits.max_bytes {
            return Err(ReadError::TooLarge);
        }
        let written = timeout_at(limits.deadline, segments.write(&data)).await;
        written.map_err(|_| ReadError::TooLate)??;
    }
    Ok(segments.finish())
}

async fn next_frame<B>(
    body: &mut B,
    segments: &SegmentWriter,
    limits: ReadLimits,
) -> Result<Option<Frame<Bytes>>, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let idle_end = Instant::now() + limits.idle_timeout;
    let until = limits.deadline.min(idle_end);
    let frame = tokio::select! {
        biased;
        () = segments.lease().evicted() => return Err(ReadError::NoMemory),
        frame = timeout_at(until, body.frame()) => frame,
    };
    match frame {
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) => Err(ReadError::CallerLeft),
        Err(_) if idle_end < limits.deadline => Err(ReadError::Stalled),
        Err(_) => Err(ReadError::TooLate),
    }
}
