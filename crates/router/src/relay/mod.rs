//! Relays one chat completion: opens it on an engine, passes the pieces on in
//! order, and continues on another engine when one fails.
//!
//! Chat completions may be repeated, and generation is deterministic for a
//! prompt and weights, so an answer can go on elsewhere from the next token.
//! The relay checks the number of every piece: a doubled piece is dropped, a
//! missing one makes the relay ask again from the first token it lacks, and a
//! piece with another request's id is never passed on. Each attempt has a
//! request id of its own, so an answer that arrives late can't be taken for
//! another one. A connection whose answer was not read to its end is closed
//! and never used again.

mod answer;
mod attempt;
mod job;
mod opening;

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use self::attempt::{Attempt, AttemptError};
use self::job::Progress;
use self::opening::{ask_for_retry, open_attempt};
use crate::error::RequestError;
use crate::shared::Shared;
use crate::sse::{Chunk, Event, EventReader};

pub use self::answer::{caller_event, collect};
pub use self::job::{ChatJob, Origin, Piece};
pub use self::opening::open;

/// A relay under way.
pub struct Relay {
    shared: Arc<Shared>,
    job: ChatJob,
    attempt: Attempt,
    progress: Progress,
}

impl Relay {
    /// Passes the answer on until it is complete, can't be completed, or the
    /// receiver is gone.
    pub async fn run(mut self, pieces: mpsc::Sender<Piece>) {
        let end = loop {
            match self.pump(&pieces).await {
                Ok(Pumped::Complete) => {
                    let id = self.job.request_id.to_string();
                    self.shared.crashes.note_answered(&id, &self.job.asked());
                    break Piece::Done;
                }
                Ok(Pumped::CallerLeft) => {
                    log::info!("event=caller_left request={}", self.job.request_id);
                    return;
                }
                Err(AttemptError::Deadline) => {
                    break Piece::Failed(RequestError::DeadlinePassed);
                }
                Err(error) => match self.continue_elsewhere(error).await {
                    Ok(()) => {}
                    Err(error) => break Piece::Failed(error),
                },
            }
        };
        let _ = pieces.send(end).await;
    }

    async fn continue_elsewhere(&mut self, error: AttemptError) -> Result<(), RequestError> {
        if error == AttemptError::Broken {
            let id = self.job.request_id.to_string();
            self.shared.crashes.note_cut(&id, &self.job.asked(), self.attempt.sent);
        }
        let engine = self.attempt.dispatch.decision.engine;
        self.progress.excluded.push(engine);
        // Work has begun, so whatever later attempts say, the request has run.
        self.progress.may_have_run = true;
        ask_for_retry(&self.shared, &self.job, &mut self.progress, engine, &error)?;
        self.attempt = open_attempt(&self.shared, &self.job, &mut self.progress).await?;
        Ok(())
    }

    async fn pump(&mut self, pieces: &mpsc::Sender<Piece>) -> Result<Pumped, AttemptError> {
        let mut reader = EventReader::default();
        let id = self.attempt.id.to_string();
        let mut finished = false;
        loop {
            let bytes = self.next_bytes(pieces).await?;
            let Some(bytes) = bytes else {
                return Ok(Pumped::CallerLeft);
            };
            for event in reader.push(&bytes).map_err(|_| AttemptError::Invalid)? {
                match event {
                    Event::Done if finished => {
                        self.attempt.cancel.disarm();
                        return Ok(Pumped::Complete);
                    }
                    Event::Done => return Err(AttemptError::Invalid),
                    Event::Chunk(chunk) => {
                        if chunk.id != id || chunk.juniper.index > self.progress.next_index {
                            return Err(AttemptError::Invalid);
                        }
                        finished |= chunk.finish_reason().is_some();
                        if !self.pass_on(chunk, pieces).await {
                            return Ok(Pumped::CallerLeft);
                        }
                    }
                }
            }
        }
    }

    /// The next bytes of the engine, or `None` when the caller has left.
    async fn next_bytes(
        &mut self,
        pieces: &mpsc::Sender<Piece>,
    ) -> Result<Option<Bytes>, AttemptError> {
        let deadline = self.job.deadline;
        tokio::select! {
            biased;
            () = pieces.closed() => Ok(None),
            chunk = timeout_at(deadline, self.attempt.response.chunk()) => match chunk {
                Err(_) => Err(AttemptError::Deadline),
                Ok(Ok(Some(bytes))) => Ok(Some(bytes)),
                Ok(Ok(None) | Err(_)) => Err(AttemptError::Broken),
            },
        }
    }

    /// Sends a chunk to the caller; false when the caller has left.
    async fn pass_on(&mut self, chunk: Box<Chunk>, pieces: &mpsc::Sender<Piece>) -> bool {
        let is_new = chunk.juniper.index == self.progress.next_index;
        let is_last = chunk.finish_reason().is_some();
        if is_new && self.progress.next_index == self.job.resume_from {
            self.attempt.dispatch.first_token();
        }
        if !is_new && !is_last {
            return true;
        }
        if is_new && !chunk.text().is_empty() {
            self.progress.next_index += chunk.juniper.count;
        }
        pieces.send(Piece::Chunk(chunk)).await.is_ok()
    }
}

enum Pumped {
    Complete,
    CallerLeft,
}
