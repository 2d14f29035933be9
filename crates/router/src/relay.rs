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

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use juniper_settings::BackEndKind;
use juniper_types::{EngineId, RequestId};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::access::{Caller, REQUEST_ID_HEADER};
use crate::backends::Lease;
use crate::chat::ChatRequest;
use crate::error::RequestError;
use crate::shared::Shared;
use crate::sse::{Chunk, Event, EventReader};

/// Most engines tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// Time within which an engine must take a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Suggested pause when no engine is left, in milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// A chat completion to relay.
pub struct ChatJob {
    /// Id that the caller sees.
    pub request_id: RequestId,
    /// Who asks, with the settings in force for it.
    pub caller: Caller,
    /// What is asked.
    pub chat: ChatRequest,
    /// When the caller gives up.
    pub deadline: Instant,
    /// First output token that the caller lacks.
    pub resume_from: u64,
}

/// Where an answer comes from.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    /// Engine.
    pub engine: EngineId,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u64,
}

/// A piece of an answer as callers get it.
#[derive(Clone, Debug)]
pub enum Piece {
    /// A chunk that continues the answer.
    Chunk(Box<Chunk>),
    /// The answer is complete.
    Done,
    /// The answer can't be completed.
    Failed(RequestError),
}

/// Why one attempt on an engine ended early.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum AttemptError {
    #[error("engine ran nothing: {0}")]
    NotRun(String),
    #[error("engine can't be reached")]
    Unreachable,
    #[error("connection to the engine broke")]
    Broken,
    #[error("engine sent an invalid stream")]
    Invalid,
    #[error("engine refused the request")]
    Rejected(String),
    #[error("deadline passed")]
    Deadline,
}

#[derive(Deserialize, Default)]
struct EngineErrorBody {
    error: EngineErrorDetail,
}

#[derive(Deserialize, Default)]
struct EngineErrorDetail {
    #[serde(default)]
    code: String,
    #[serde(default)]
    not_run: bool,
}

/// An engine that has taken the request.
struct Attempt {
    id: RequestId,
    lease: Lease,
    response: reqwest::Response,
    cancel: CancelGuard,
}

/// Cancels the attempt on the engine unless it has ended there by itself.
struct CancelGuard {
    http: reqwest::Client,
    url: String,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let request = self.http.post(&self.url).timeout(CANCEL_TIMEOUT);
        tokio::spawn(async move {
            if let Err(error) = request.send().await {
                log::debug!("event=cancel_failed reason=\"{error}\"");
            }
        });
    }
}

/// A relay under way.
pub struct Relay {
    shared: Arc<Shared>,
    job: ChatJob,
    attempt: Attempt,
    excluded: Vec<EngineId>,
    next_index: u64,
}

/// Opens the request on an engine. The error says truthfully whether anything ran.
pub async fn open(shared: Arc<Shared>, job: ChatJob) -> Result<(Relay, Origin), RequestError> {
    let mut excluded = Vec::new();
    let next_index = job.resume_from;
    let attempt = open_attempt(&shared, &job, &mut excluded, next_index).await?;
    let origin = Origin {
        engine: attempt.lease.target.id,
        cached_tokens: header_number(&attempt.response, "x-cached-tokens").unwrap_or(0),
    };
    Ok((Relay { shared, job, attempt, excluded, next_index }, origin))
}

fn header_number(response: &reqwest::Response, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Tries engines until one takes the request.
async fn open_attempt(
    shared: &Arc<Shared>,
    job: &ChatJob,
    excluded: &mut Vec<EngineId>,
    from: u64,
) -> Result<Attempt, RequestError> {
    let mut may_have_run = from > job.resume_from;
    while excluded.len() < MAX_ATTEMPTS {
        let zone = &shared.config.zone;
        let Some(lease) = shared.back_ends.choose(BackEndKind::Engine, zone, excluded) else {
            break;
        };
        let engine = lease.target.id;
        let error = match try_engine(shared, job, lease, from).await {
            Ok(attempt) => return Ok(attempt),
            Err(error) => error,
        };
        log::warn!(
            "event=attempt_failed request={} engine={engine} reason=\"{error}\"",
            job.request_id
        );
        shared.metrics.retries.with_label_values(&["open"]).inc();
        match error {
            AttemptError::Deadline => return Err(RequestError::DeadlinePassed),
            AttemptError::Rejected(reason) => return Err(RequestError::Malformed(reason)),
            AttemptError::NotRun(_) | AttemptError::Unreachable => {}
            AttemptError::Broken | AttemptError::Invalid => may_have_run = true,
        }
        excluded.push(engine);
    }
    if may_have_run {
        return Err(RequestError::BackEndFailed);
    }
    Err(RequestError::NoBackEnd { retry_after_ms: NO_ENGINE_RETRY_MS })
}

async fn try_engine(
    shared: &Arc<Shared>,
    job: &ChatJob,
    lease: Lease,
    from: u64,
) -> Result<Attempt, AttemptError> {
    let id = RequestId(rand::random());
    let base = format!("http://{}", lease.target.address);
    let url = format!("{base}/v1/requests/{id}/cancel");
    let mut cancel = CancelGuard { http: shared.http.clone(), url, armed: true };
    let settings = &job.caller.settings;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let mut request = shared
        .http
        .post(format!("{base}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, id.to_string())
        .header("x-cache-tenant", job.caller.home.tenant.as_str())
        .header("x-cache-weights", settings.weights.0.to_string())
        .header("x-priority", settings.priority.to_string())
        .header("x-deadline-ms", remaining.as_millis().to_string())
        .header("x-resume-from", from.to_string())
        .body(job.chat.engine_body.clone());
    if let Some(adapter) = settings.adapter() {
        request = request.header("x-cache-adapter", adapter.as_str());
    }
    let sent = timeout_at(job.deadline, request.send()).await;
    let response = match sent {
        Err(_) => return Err(AttemptError::Deadline),
        Ok(Err(error)) => {
            lease.failed();
            if error.is_connect() {
                cancel.armed = false;
                return Err(AttemptError::Unreachable);
            }
            return Err(AttemptError::Broken);
        }
        Ok(Ok(response)) => response,
    };
    if response.status().is_success() {
        lease.answered();
        return Ok(Attempt { id, lease, response, cancel });
    }
    let status = response.status();
    let body: EngineErrorBody = response.json().await.unwrap_or_default();
    cancel.armed = !body.error.not_run;
    if body.error.not_run {
        return Err(AttemptError::NotRun(body.error.code));
    }
    if status.is_client_error() {
        return Err(AttemptError::Rejected(body.error.code));
    }
    lease.failed();
    Err(AttemptError::Broken)
}

impl Relay {
    /// Passes the answer on until it is complete, can't be completed, or the
    /// receiver is gone.
    pub async fn run(mut self, pieces: mpsc::Sender<Piece>) {
        let end = loop {
            match self.pump(&pieces).await {
                Ok(Pumped::Complete) => break Piece::Done,
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
        let engine = self.attempt.lease.target.id;
        log::warn!(
            "event=stream_interrupted request={} engine={engine} at={} reason=\"{error}\"",
            self.job.request_id,
            self.next_index
        );
        self.attempt.lease.failed();
        self.excluded.push(engine);
        self.shared.metrics.retries.with_label_values(&["stream"]).inc();
        let next = open_attempt(&self.shared, &self.job, &mut self.excluded, self.next_index).await;
        // Work has begun, so whatever the last attempt said, the request has run.
        self.attempt = next.map_err(|error| match error {
            RequestError::DeadlinePassed => RequestError::DeadlinePassed,
            _ => RequestError::BackEndFailed,
        })?;
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
                        self.attempt.cancel.armed = false;
                        return Ok(Pumped::Complete);
                    }
                    Event::Done => return Err(AttemptError::Invalid),
                    Event::Chunk(chunk) => {
                        if chunk.id != id || chunk.juniper.index > self.next_index {
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
        let is_new = chunk.juniper.index == self.next_index;
        let is_last = chunk.finish_reason().is_some();
        if !is_new && !is_last {
            return true;
        }
        if is_new && !chunk.text().is_empty() {
            self.next_index += chunk.juniper.count;
        }
        pieces.send(Piece::Chunk(chunk)).await.is_ok()
    }
}

enum Pumped {
    Complete,
    CallerLeft,
}

/// The caller's form of a chunk.
pub fn caller_event(request_id: RequestId, model: &str, chunk: &Chunk) -> String {
    let body = json!({
        "id": request_id.to_string(),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": { "content": chunk.text() },
            "finish_reason": chunk.finish_reason(),
        }],
        "usage": chunk.usage,
        "juniper": { "index": chunk.juniper.index },
    });
    format!("data: {body}\n\n")
}

/// Collects a whole answer for a caller that doesn't want a stream.
pub async fn collect(
    request_id: RequestId,
    model: &str,
    mut pieces: tokio_stream::wrappers::ReceiverStream<Piece>,
) -> Result<serde_json::Value, RequestError> {
    let mut text = String::new();
    let mut finish_reason = None;
    let mut usage = None;
    while let Some(piece) = pieces.next().await {
        match piece {
            Piece::Chunk(chunk) => {
                text.push_str(chunk.text());
                finish_reason = chunk.finish_reason().map(str::to_owned).or(finish_reason);
                usage = chunk.usage.or(usage);
            }
            Piece::Failed(error) => return Err(error),
            Piece::Done => {
                return Ok(json!({
                    "id": request_id.to_string(),
                    "object": "chat.completion",
                    "model": model,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": finish_reason,
                    }],
                    "usage": usage,
                }));
            }
        }
    }
    Err(RequestError::BackEndFailed)
}
