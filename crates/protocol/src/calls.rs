//! Tracking of calls and their replies across reconnects.
//!
//! Replies may arrive in any order and are matched by call number. Each connection has a
//! generation number; frames that the reader task of an earlier connection delivers late are
//! dropped, so that they can't affect calls on a later connection.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::connection::{Connection, FrameReader, FrameWriter};
use crate::message::{Message, Reply, Request};

/// Reason why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer is unreachable; the call was not sent.
    #[error("peer is unreachable")]
    Unreachable,
    /// The connection broke after the call was sent.
    #[error("connection closed before the reply")]
    Disconnected,
    /// No reply arrived before the timeout.
    #[error("call timed out")]
    TimedOut,
}

/// Sender for the result of a call.
pub type ReplySender = oneshot::Sender<Result<Reply, CallError>>;

/// Event from the reader task of a connection.
#[derive(Debug)]
pub struct IncomingFrame {
    generation: u64,
    /// Received message; `None` at the end of the connection.
    message: Option<Message>,
}

/// Reader of one connection, tagged with the connection's generation.
#[derive(Debug)]
pub struct GenerationReader {
    generation: u64,
    reader: FrameReader,
}

impl GenerationReader {
    /// Passes each message and the final end of the connection to `deliver`. Stops early if
    /// `deliver` returns false.
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

/// Current connection and the calls that wait for replies on it.
#[derive(Debug, Default)]
pub struct OpenCalls {
    writer: Option<FrameWriter>,
    generation: u64,
    next_call: u64,
    pending: HashMap<u64, ReplySender>,
}

impl OpenCalls {
    /// Whether there is a connection.
    pub fn is_connected(&self) -> bool {
        self.writer.is_some()
    }

    /// Writer of the current connection.
    pub fn writer(&mut self) -> Option<&mut FrameWriter> {
        self.writer.as_mut()
    }

    /// Replaces the current connection.
    pub fn set_connection(&mut self, connection: Connection) -> GenerationReader {
        self.generation += 1;
        self.writer = Some(connection.writer);
        GenerationReader { generation: self.generation, reader: connection.reader }
    }

    /// Registers a call and returns the message to send.
    pub fn start_call(&mut self, request: Request, answer: ReplySender) -> Message {
        self.next_call += 1;
        self.pending.insert(self.next_call, answer);
        Message::Request { call: self.next_call, request }
    }

    /// Handles an event of a reader task. Returns whether the current connection has ended.
    #[must_use]
    pub fn handle_frame(&mut self, incoming: IncomingFrame) -> bool {
        if !self.is_connected() || incoming.generation != self.generation {
            return false;
        }
        match incoming.message {
            Some(Message::Reply { call, reply }) => {
                if let Some(answer) = self.pending.remove(&call) {
                    // The caller may have stopped waiting for the reply.
                    let _ = answer.send(Ok(reply));
                }
                false
            }
            Some(_) => false,
            None => true,
        }
    }

    /// Drops the current connection and fails its pending calls.
    pub fn disconnect(&mut self) {
        self.writer = None;
        for (_, answer) in self.pending.drain() {
            let _ = answer.send(Err(CallError::Disconnected));
        }
    }
}
