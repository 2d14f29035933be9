//! Relays one chat completion: opens it on an engine, forwards the chunks in order,
//! and resumes on another engine when one fails.
//!
//! Generation is deterministic for a prompt and weights, so an answer can be resumed
//! on another engine from the next token. The relay checks the token index of every
//! chunk: duplicates are dropped, and a gap or a chunk with another request's id fails
//! the attempt, which is then retried from the next token. Each attempt has its own
//! request id, so that a late answer of an earlier attempt isn't mistaken for the
//! current one. A connection whose answer was not read to its end is closed and not
//! reused.

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
use self::opening::{open_attempt, take_retry};
use crate::error::RequestError;
use crate::open_answer::{CALLER_LEFT, OpenAnswer};
use crate::router_state::RouterState;
use crate::sse::{Chunk, Event, EventReader};

pub use self::answer::{caller_event, collect};
pub use self::job::{ChatJob, Origin, Piece};
pub use self::opening::open;

/// Relay of a chat completion that an engine has accepted.
pub struct Relay {
    state: Arc<RouterState>,
    job: ChatJob,
    attempt: Attempt,
    progress: Progress,
}

impl Relay {
    /// Forwards the answer until it is complete, can't be completed, or the
    /// receiver is closed.
    pub async fn run(mut self, pieces: mpsc::Sender<Piece>) {
        let answer = OpenAnswer::start(&self.state, "chat", self.job.request_id);
        let end = loop {
            match self.forward_stream(&pieces).await {
                Ok(StreamEnd::Complete) => {
                    // The rest of an answer doesn't show that an engine survives the whole request.
                    if self.attempt.is_whole {
                        let id = self.job.request_id.to_string();
                        self.state.crashes.record_completed(&id, &self.job.identity());
                    }
                    break Piece::Done;
                }
                Ok(StreamEnd::CallerDisconnected) => return answer.end_early(CALLER_LEFT),
                Err(AttemptError::Deadline) => {
                    break Piece::Failed(RequestError::DeadlinePassed);
                }
                Err(error) => match self.resume_on_another_engine(error).await {
                    Ok(()) => {}
                    Err(error) => break Piece::Failed(error),
                },
            }
        };
        match &end {
            Piece::Failed(error) => answer.end_early(error.code()),
            _ => answer.complete(),
        }
        let _ = pieces.send(end).await;
    }

    async fn resume_on_another_engine(&mut self, error: AttemptError) -> Result<(), RequestError> {
        if error == AttemptError::Broken {
            let id = self.job.request_id.to_string();
            self.state.crashes.record_interrupted(&id, &self.job.identity(), self.attempt.sent);
        }
        let engine = self.attempt.dispatch.decision.engine;
        self.progress.excluded.push(engine);
        // The engine had accepted the request, so it may have run whatever later attempts report.
        self.progress.may_have_run = true;
        if !self.may_resume() {
            return Err(RequestError::BackEndFailed);
        }
        take_retry(&self.state, &self.job, &mut self.progress, engine, &error)?;
        self.attempt = open_attempt(&self.state, &self.job, &mut self.progress).await?;
        Ok(())
    }

    /// Whether another engine can continue the answer: one of the software version that began it.
    fn may_resume(&self) -> bool {
        let Progress { software, excluded, next_index, .. } = &self.progress;
        let may_resume = match software {
            Some(software) => self.state.plane.engines.has_software(software, excluded),
            None => *next_index == 0,
        };
        if !may_resume {
            log::info!(
                "event=not_resumable request={} software={} at={next_index}",
                self.job.request_id,
                software.as_ref().map_or("-", |software| software.as_str())
            );
        }
        may_resume
    }

    async fn forward_stream(
        &mut self,
        pieces: &mpsc::Sender<Piece>,
    ) -> Result<StreamEnd, AttemptError> {
        let mut reader = EventReader::default();
        let id = self.attempt.id.to_string();
        let mut finished = false;
        loop {
            let bytes = self.next_bytes(pieces).await?;
            let Some(bytes) = bytes else {
                return Ok(StreamEnd::CallerDisconnected);
            };
            for event in reader.push(&bytes).map_err(|_| AttemptError::Invalid)? {
                match event {
                    Event::Done if finished => {
                        self.attempt.cancel.disarm();
                        return Ok(StreamEnd::Complete);
                    }
                    Event::Done => return Err(AttemptError::Invalid),
                    Event::Chunk(chunk) => {
                        if chunk.id != id || chunk.juniper.index > self.progress.next_index {
                            return Err(AttemptError::Invalid);
                        }
                        finished |= chunk.finish_reason().is_some();
                        if !self.forward_chunk(chunk, pieces).await {
                            return Ok(StreamEnd::CallerDisconnected);
                        }
                    }
                }
            }
        }
    }

    /// Returns the next bytes from the engine, or `None` when the caller has disconnected.
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

    /// Forwards a chunk to the caller. Returns false when the caller has disconnected.
    async fn forward_chunk(&mut self, chunk: Box<Chunk>, pieces: &mpsc::Sender<Piece>) -> bool {
        let is_new = chunk.juniper.index == self.progress.next_index;
        let is_last = chunk.finish_reason().is_some();
        if is_new && self.progress.next_index == self.job.resume_from {
            self.attempt.dispatch.record_first_token();
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

enum StreamEnd {
    Complete,
    CallerDisconnected,
}
