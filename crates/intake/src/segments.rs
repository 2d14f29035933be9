//! Bodies in blocks of their own.
//!
//! The HTTP library hands out pieces that share the buffer in which they arrived: a piece of one byte
//! keeps several kilobytes alive. Their bytes are copied into blocks, so that a body takes hardly more
//! memory than its length, and is never copied as a whole.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use juniper_memory_budget::Shortage;

use crate::memory::BodyLease;

/// Largest block, in bytes.
const MAX_BLOCK: usize = 64 << 10;

/// First block of a body of unknown length, in bytes.
const FIRST_BLOCK: usize = 4 << 10;

/// Collects the bytes of a body.
pub(crate) struct SegmentWriter {
    lease: BodyLease,
    segments: Vec<Bytes>,
    block: BytesMut,
    /// Free bytes in the block.
    free: usize,
    len: usize,
    /// Length that the caller has announced, if any.
    announced: Option<usize>,
}

impl SegmentWriter {
    pub(crate) fn new(lease: BodyLease, announced: Option<usize>) -> Self {
        SegmentWriter {
            lease,
            segments: Vec::new(),
            block: BytesMut::new(),
            free: 0,
            len: 0,
            announced,
        }
    }

    pub(crate) fn lease(&self) -> &BodyLease {
        &self.lease
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends bytes, in new blocks as far as they are needed.
    pub(crate) async fn write(&mut self, mut data: &[u8]) -> Result<(), Shortage> {
        self.lease.advance(data.len());
        while !data.is_empty() {
            if self.free == 0 {
                self.add_block().await?;
            }
            let (now, later) = data.split_at(data.len().min(self.free));
            self.block.extend_from_slice(now);
            self.free -= now.len();
            self.len += now.len();
            data = later;
        }
        Ok(())
    }

    async fn add_block(&mut self) -> Result<(), Shortage> {
        let left = self.announced.map(|announced| announced.saturating_sub(self.len));
        let bytes = match left {
            Some(left) if left > 0 => left.min(MAX_BLOCK),
            _ => self.len.clamp(FIRST_BLOCK, MAX_BLOCK),
        };
        self.lease.grow(bytes).await?;
        let full = std::mem::replace(&mut self.block, BytesMut::with_capacity(bytes));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
        self.free = bytes;
        Ok(())
    }

    pub(crate) fn finish(mut self) -> HeldBody {
        self.lease.complete();
        if !self.block.is_empty() {
            self.segments.push(self.block.freeze());
        }
        HeldBody(Some(Arc::new(Held {
            segments: self.segments,
            len: self.len,
            _lease: self.lease,
        })))
    }
}

/// A whole body, held under the account until the last clone is dropped.
#[derive(Clone, Debug, Default)]
pub struct HeldBody(Option<Arc<Held>>);

#[derive(Debug)]
struct Held {
    segments: Vec<Bytes>,
    len: usize,
    _lease: BodyLease,
}

impl HeldBody {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.0.as_ref().map_or(0, |held| held.len)
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes, in blocks.
    pub fn segments(&self) -> &[Bytes] {
        self.0.as_ref().map_or(&[], |held| &held.segments)
    }
}

impl From<HeldBody> for Bytes {
    /// Returns the bytes in one piece, which stay on the account until the last reference is dropped.
    fn from(body: HeldBody) -> Self {
        let Some(held) = body.0 else { return Bytes::new() };
        Bytes::from_owner(match held.segments.as_slice() {
            [only] => JoinedBody { bytes: only.clone(), _held: held },
            segments => JoinedBody { bytes: segments.concat().into(), _held: held },
        })
    }
}

/// Bytes of a body in one piece.
struct JoinedBody {
    bytes: Bytes,
    _held: Arc<Held>,
}

impl AsRef<[u8]> for JoinedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Body of a message that sends a [`HeldBody`].
#[derive(Debug)]
pub struct SegmentedBody {
    body: HeldBody,
    next: usize,
    left: usize,
}

impl From<HeldBody> for SegmentedBody {
    fn from(body: HeldBody) -> Self {
        SegmentedBody { left: body.len(), body, next: 0 }
    }
}

impl Body for SegmentedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let segment = this.body.segments().get(this.next).cloned();
        this.next += 1;
        this.left -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
