//! Bodies of responses to callers and of requests to servers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Response, StatusCode};
use juniper_intake::{RequestGuard, keep_until_written};
use tokio::sync::mpsc;

/// Chunks queued for a caller that reads slowly.
const QUEUED_CHUNKS: usize = 4;

/// The rest of the body is unavailable. The connection is aborted, so that the caller doesn't take
/// the body for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rest of the answer is unavailable")]
pub struct IncompleteBody;

/// Sender of the chunks of a response body. The body is incomplete if it is dropped before
/// [`ChunkSender::complete`].
pub struct ChunkSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl ChunkSender {
    /// Sends a chunk once the caller has read earlier ones.
    ///
    /// # Errors
    /// Fails if the body was dropped.
    pub async fn send(&self, chunk: Bytes) -> Result<(), mpsc::error::SendError<Bytes>> {
        self.chunks.send(chunk).await
    }

    /// Completes once the body was dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Whether the body was dropped.
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }

    /// Marks the chunks sent so far as the whole body.
    pub fn complete(&self) {
        self.is_complete.store(true, Ordering::Release);
    }
}

/// Receiver of the chunks of a response body.
pub struct ChunkReceiver {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Arc<AtomicBool>,
}

impl ChunkReceiver {
    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        self.chunks.poll_recv(context).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(IncompleteBody)),
        })
    }
}

/// Body of a response to a caller.
pub enum AnswerBody {
    /// Complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Body sent in chunks as they arrive.
    Chunks(ChunkReceiver),
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// Creates a body that is fed by the returned sender.
    pub fn chunks() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(QUEUED_CHUNKS);
        let is_complete = Arc::<AtomicBool>::default();
        let receiver = ChunkReceiver { chunks: receiver, is_complete: Arc::clone(&is_complete) };
        (ChunkSender { chunks: sender, is_complete }, AnswerBody::Chunks(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Chunks(receiver) => receiver.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Body of a response until whose end the connection isn't idle. The end is when it has been written.
pub(crate) struct LeasedBody {
    body: AnswerBody,
    request: Arc<RequestGuard>,
}

impl LeasedBody {
    pub(crate) fn new(body: AnswerBody, request: RequestGuard) -> Self {
        LeasedBody { body, request: Arc::new(request) }
    }
}

impl Body for LeasedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let LeasedBody { body, request } = self.get_mut();
        let polled = Pin::new(body).poll_frame(context);
        polled.map_ok(|frame| frame.map_data(|data| keep_until_written(data, Arc::clone(request))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// How the end of an answer's body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// By the length of the body, or by its last chunk.
    Marked,
    /// By the end of the connection only, as when the server crashes.
    ConnectionClosed,
}

impl BodyEnd {
    pub(crate) fn of(response: &Response<Incoming>, method: &Method) -> Self {
        let headers = response.headers();
        let is_marked = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || method == Method::HEAD
            || [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&response.status());
        match is_marked {
            true => BodyEnd::Marked,
            false => BodyEnd::ConnectionClosed,
        }
    }
}
