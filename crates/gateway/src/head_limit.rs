//! Limit on the bytes that a server sends before the head of its answer is complete.
//!
//! The HTTP library bounds the size of a head, but not the number of informational heads before it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::counted_stream::CountedStream;

/// Maximum number of bytes up to the end of an answer's head, informational heads and the beginning of
/// the body included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// No limit applies.
const UNLIMITED: usize = usize::MAX;

/// Bytes that the server may still send on a connection.
#[derive(Clone, Debug)]
pub(crate) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Applies the limit to what is received from now on, before a request is sent.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit once the head of the answer is there.
    pub(crate) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Takes received bytes off the limit. Returns whether they are within it.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// Stream to a server that fails once the server has exceeded the limit.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream {
    stream: CountedStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    pub(crate) fn new(stream: CountedStream) -> (Self, HeadLimit) {
        let limit = HeadLimit(Arc::new(AtomicUsize::new(UNLIMITED)));
        (HeadLimitedStream { stream, limit: limit.clone() }, limit)
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.limit.take(buffer.filled().len() - before) {
            return polled;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "head without end")))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
