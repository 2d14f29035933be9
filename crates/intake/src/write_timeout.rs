//! Stream whose writes fail once the peer has read nothing for too long.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Stream whose writes fail once the peer has read nothing for longer than a timeout. Without it, a peer
/// that doesn't read holds its answer for ever.
#[derive(Debug)]
pub struct WriteTimeoutStream<S> {
    stream: S,
    timeout: Duration,
    /// Runs while the peer doesn't read.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeoutStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, timeout: Duration) -> Self {
        WriteTimeoutStream { stream, timeout, timer: None }
    }

    fn check<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.timer = None;
            return polled;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(self.timeout)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(polled, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check(polled, context)
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
