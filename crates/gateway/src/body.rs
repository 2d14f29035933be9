//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces that wait for a caller who reads slowly.
const QUEUED_PIECES: usize = 4;

/// The answer can't be completed; the connection is broken off, so that the
/// caller doesn't take it for whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer can't be completed")]
pub struct Incomplete;

/// Where pieces of an answer come from.
pub type PieceSender = mpsc::Sender<Result<Bytes, Incomplete>>;

/// Body of an answer.
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<Result<Bytes, Incomplete>>),
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// A body whose pieces come from the sender.
    pub fn pieces() -> (PieceSender, Self) {
        let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
        (sender, AnswerBody::Pieces(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(receiver) => {
                receiver.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}

/// A body of a request to a server, which is always whole.
pub struct WholeBody(pub Bytes);

impl Body for WholeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = std::mem::take(&mut self.get_mut().0);
        Poll::Ready((!bytes.is_empty()).then(|| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
