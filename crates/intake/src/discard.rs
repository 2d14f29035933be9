//! Reads on after a refusal.
//!
//! A connection that is closed with bytes unread is reset, and the reset may overtake the refusal. So
//! some more of the body is read and thrown away, and the connection stays open for a moment, in which
//! the caller reads the refusal and stops.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Bytes that are thrown away at most. A caller that sends on is held up after them.
const MAX_BYTES: usize = 256 << 10;

/// Time for which the connection stays open at most.
const MAX_TIME: Duration = Duration::from_secs(1);

/// Reads some more of a body that was refused, in a task of its own, and throws it away.
pub fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
{
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let end = Instant::now() + MAX_TIME;
        let mut left = MAX_BYTES;
        while left > 0 {
            match timeout_at(end, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    left =
                        left.saturating_sub(frame.data_ref().map_or(1, |data| data.len().max(1)));
                }
                // The body has ended, or its caller has left.
                Ok(_) => return,
                Err(_) => break,
            }
        }
        sleep_until(end).await;
    });
}

/// Body of a request that is discarded if it is dropped before its end.
#[derive(Debug)]
pub struct DiscardOnDrop<B>(Option<B>)
where
    B: Body<Data = Bytes> + Unpin + Send + 'static;

impl<B> DiscardOnDrop<B>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
{
    /// Wraps a body.
    pub fn new(body: B) -> Self {
        DiscardOnDrop(Some(body))
    }
}

impl<B> Drop for DiscardOnDrop<B>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
{
    fn drop(&mut self) {
        if let Some(body) = self.0.take() {
            discard(body);
        }
    }
}

impl<B> Body for DiscardOnDrop<B>
where
    B: Body<Data = Bytes> + Unpin + Send + 'static,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        match &mut self.get_mut().0 {
            Some(body) => Pin::new(body).poll_frame(context),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.0.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.0.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}
