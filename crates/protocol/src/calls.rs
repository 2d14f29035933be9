//! Numbered calls over one connection after another.
//!
//! Replies come in any order and are told apart by the number of the call. Each
//! connection has a generation; what the reading task of an earlier connection
//! still delivers is dropped, so that it can't end the calls of a later one.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::connection::{Connection, FrameReader, FrameWriter};
use crate::message::{Message, Reply, Request};

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer can't be reached; the call was not sent.
    #[error("the peer can't be reached")]
    Unreachable,
    /// The connection broke after the call was sent.
    #[error("the connection broke before the reply")]
    Disconnected,
    /// No reply came in time.
    #[error("no reply in time")]
    TimedOut,
}

/// Where the reply to a call goes.
pub type CallAnswer = oneshot::Sender<Result<Reply, CallError>>;

/// Something that the reading task saw on one connection.
#[derive(Debug)]
pub struct IncomingFrame {
    generation: u64,
    /// The message; `None` when the connection has ended.
    message: Option<Message>,
}

/// Reads one connection and names its generation.
#[derive(Debug)]
pub struct GenerationReader {
    generation: u64,
    reader: FrameReader,
}

impl GenerationReader {
    /// Hands every message to `deliver`, then the end, until it returns false.
    pub async fn run(mut self, deliver: impl AsyncFn(IncomingFrame) -> bool) {
        loop {
            let message = self.reader.receive().await.ok();
            let ended = message.is_none();
            let incoming = IncomingFrame { generation: self.generation, message };
            if !deliver(incoming).await || ended {
                return;
            }
        }
    }
}

/// The connection in use, and the calls that wait for replies on it.
#[derive(Debug, Default)]
pub struct OpenCalls {
    writer: Option<FrameWriter>,
    generation: u64,
    next_call: u64,
    waiting: HashMap<u64, CallAnswer>,
}

impl OpenCalls {
    /// Whether there is a connection.
    pub fn is_connected(&self) -> bool {
        self.writer.is_some()
    }

    /// Where messages are written, while there is a connection.
    pub fn writer(&mut self) -> Option<&mut FrameWriter> {
        self.writer.as_mut()
    }

    /// Uses `connection` from now on.
    pub fn connected(&mut self, connection: Connection) -> GenerationReader {
        self.generation += 1;
        self.writer = Some(connection.writer);
        GenerationReader { generation: self.generation, reader: connection.reader }
    }

    /// Numbers a call, whose message is then written.
    pub fn begin(&mut self, request: Request, answer: CallAnswer) -> Message {
        self.next_call += 1;
        self.waiting.insert(self.next_call, answer);
        Message::Request { call: self.next_call, request }
    }

    /// Takes in what was read. Returns whether the connection in use has ended.
    #[must_use]
    pub fn take(&mut self, incoming: IncomingFrame) -> bool {
        if !self.is_connected() || incoming.generation != self.generation {
            return false;
        }
        match incoming.message {
            Some(Message::Reply { call, reply }) => {
                if let Some(answer) = self.waiting.remove(&call) {
                    // The caller may have stopped waiting.
                    let _ = answer.send(Ok(reply));
                }
                false
            }
            Some(_) => false,
            None => true,
        }
    }

    /// Drops the connection; the calls under way on it fail.
    pub fn disconnect(&mut self) {
        self.writer = None;
        for (_, answer) in self.waiting.drain() {
            let _ = answer.send(Err(CallError::Disconnected));
        }
    }
}
