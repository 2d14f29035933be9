//! TCP stream whose bytes are counted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use juniper_admission::LinkTotals;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::head_limit::HeadLimit;

/// Bytes that a packet adds to what it carries: headers of Ethernet, IP and TCP.
const PACKET_OVERHEAD: u64 = 66;

/// Bytes received and sent over streams of one kind, with the headers of their packets.
#[derive(Debug, Default)]
pub(crate) struct ByteCounters {
    received: AtomicU64,
    sent: AtomicU64,
}

/// What passed over this router's link, but for its own messages to other routers and replicas.
#[derive(Debug, Default)]
pub(crate) struct LinkCounters {
    pub callers: Arc<ByteCounters>,
    pub servers: Arc<ByteCounters>,
    pub requests: AtomicU64,
}

impl LinkCounters {
    pub(crate) fn totals(&self) -> LinkTotals {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let received_from_callers = load(&self.callers.received);
        LinkTotals {
            received: received_from_callers + load(&self.servers.received),
            sent: load(&self.callers.sent) + load(&self.servers.sent),
            received_from_callers,
            requests: load(&self.requests),
        }
    }

    pub(crate) fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }
}

impl ByteCounters {
    fn add(counter: &AtomicU64, bytes: usize) {
        if bytes > 0 {
            counter.fetch_add(bytes as u64 + PACKET_OVERHEAD, Ordering::Relaxed);
        }
    }
}

/// TCP stream whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counters: Arc<ByteCounters>,
    head_limit: HeadLimit,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, counters: &Arc<ByteCounters>) -> Self {
        let counters = Arc::clone(counters);
        CountedStream { stream, counters, head_limit: HeadLimit::default() }
    }

    /// Limit on what is received, which applies once it has begun.
    pub(crate) fn head_limit(&self) -> HeadLimit {
        self.head_limit.clone()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        ByteCounters::add(&self.counters.received, received);
        self.head_limit.take(received)?;
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            ByteCounters::add(&self.counters.sent, *written);
        }
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if let Poll::Ready(Ok(written)) = &polled {
            ByteCounters::add(&self.counters.sent, *written);
        }
        polled
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
