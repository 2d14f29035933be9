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

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use juniper_routing::drain::LeavingSource;
use juniper_routing::retry::{AttemptOutcome, RetryQuestion};
use juniper_routing::{Refusal, RefusalCode};
use juniper_settings::TrafficKind;
use juniper_types::{EngineId, RequestId, TenantName};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::access::REQUEST_ID_HEADER;
use crate::chat::ChatRequest;
use crate::engines::{ChatPlan, Dispatch};
use crate::error::RequestError;
use crate::shared::Shared;
use crate::sse::{Chunk, Event, EventReader};

/// Shortest time in which another attempt makes sense.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Error code of an engine that takes no new work.
const LEAVING_CODE: &str = "leaving";

/// Time within which an engine must take a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Suggested pause when no engine is left, in milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// A chat completion to relay.
pub struct ChatJob {
    /// Id that the caller sees.
    pub request_id: RequestId,
    /// Who asks.
    pub tenant: TenantName,
    /// What is asked.
    pub chat: ChatRequest,
    /// What routing needs to know of it.
    pub plan: ChatPlan,
    /// When the router received it.
    pub started: Instant,
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
    dispatch: Dispatch,
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
    progress: Progress,
}

/// Opens the request on an engine. The error says truthfully whether anything ran.
pub async fn open(shared: Arc<Shared>, job: ChatJob) -> Result<(Relay, Origin), RequestError> {
    let mut progress = Progress {
        excluded: Vec::new(),
        attempts: 0,
        next_index: job.resume_from,
        may_have_run: false,
    };
    let attempt = open_attempt(&shared, &job, &mut progress).await?;
    let origin = Origin {
        engine: attempt.dispatch.decision.engine,
        cached_tokens: header_number(&attempt.response, "x-cached-tokens").unwrap_or(0),
    };
    let metrics = &shared.metrics.prompt_tokens;
    let computed = u64::from(job.plan.blocks.tokens).saturating_sub(origin.cached_tokens);
    metrics.with_label_values(&["hit"]).inc_by(origin.cached_tokens);
    metrics.with_label_values(&["miss"]).inc_by(computed);
    Ok((Relay { shared, job, attempt, progress }, origin))
}

fn header_number(response: &reqwest::Response, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Tries engines until one takes the request.
async fn open_attempt(
    shared: &Arc<Shared>,
    job: &ChatJob,
    progress: &mut Progress,
) -> Result<Attempt, RequestError> {
    loop {
        let within = job.first_token_within(progress);
        let chosen = shared.engines.choose(&job.plan, within, &progress.excluded);
        let dispatch = chosen.map_err(|refusal| progress.refused(refusal))?;
        let engine = dispatch.decision.engine;
        log_decision(job, &dispatch);
        progress.attempts += 1;
        let error = match try_engine(shared, job, dispatch, progress.next_index).await {
            Ok(attempt) => return Ok(attempt),
            Err(error) => error,
        };
        progress.excluded.push(engine);
        match &error {
            AttemptError::Deadline => return Err(RequestError::DeadlinePassed),
            AttemptError::Rejected(reason) => {
                return Err(RequestError::Malformed(reason.clone()));
            }
            AttemptError::Unreachable => shared.engines.mark_down(engine),
            _ => {}
        }
        ask_for_retry(shared, job, progress, engine, &error)?;
    }
}

fn log_decision(job: &ChatJob, dispatch: &Dispatch) {
    let decision = &dispatch.decision;
    log::info!(
        "event=request_routed request={} engine={} reason={:?} expected_blocks={} candidates={} \
         queue_us={:.0}",
        job.request_id,
        decision.engine,
        decision.reason,
        decision.expected_blocks,
        decision.candidates,
        decision.terms.first_token_us(),
    );
}

/// Takes another attempt from the retry budget, or ends the request.
fn ask_for_retry(
    shared: &Shared,
    job: &ChatJob,
    progress: &mut Progress,
    engine: EngineId,
    error: &AttemptError,
) -> Result<(), RequestError> {
    let outcome = match error {
        AttemptError::NotRun(_) | AttemptError::Unreachable => AttemptOutcome::NotRun,
        _ => AttemptOutcome::Unknown,
    };
    progress.may_have_run |= outcome != AttemptOutcome::NotRun;
    log::warn!(
        "event=attempt_failed request={} engine={engine} at={} reason=\"{error}\"",
        job.request_id,
        progress.next_index
    );
    let partly = progress.next_index > job.resume_from;
    let question = RetryQuestion {
        kind: TrafficKind::Chat,
        outcome: if partly { AttemptOutcome::PartlyAnswered } else { outcome },
        // Generation is deterministic, so an answer goes on at any token.
        resumable: true,
        attempts: progress.attempts,
        time_left: job.deadline.saturating_duration_since(Instant::now()),
        time_needed: MIN_ATTEMPT_TIME,
    };
    shared.engines.may_retry(&question).map_err(|denied| {
        log::warn!("event=retry_denied request={} reason=\"{denied}\"", job.request_id);
        progress.given_up()
    })?;
    shared.metrics.retries.with_label_values(&["chat"]).inc();
    Ok(())
}

impl ChatJob {
    /// Time until the first token is due. An answer that has begun is only
    /// bound by its deadline.
    fn first_token_within(&self, progress: &Progress) -> Duration {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if progress.next_index > self.resume_from {
            return left;
        }
        let within = Duration::from_millis(self.plan.settings.first_token_deadline_ms);
        within.saturating_sub(now.saturating_duration_since(self.started)).min(left)
    }
}

/// How far a request has come.
struct Progress {
    excluded: Vec<EngineId>,
    attempts: u32,
    next_index: u64,
    may_have_run: bool,
}

impl Progress {
    /// The error for a caller whose request no engine will take.
    fn refused(&self, refusal: Refusal) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        let retry_after_ms = refusal.retry_after.as_millis() as u64;
        match refusal.code {
            RefusalCode::NoEngine => RequestError::NoBackEnd { retry_after_ms },
            _ => RequestError::Overloaded { retry_after_ms },
        }
    }

    fn given_up(&self) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        RequestError::NoBackEnd { retry_after_ms: NO_ENGINE_RETRY_MS }
    }
}

async fn try_engine(
    shared: &Arc<Shared>,
    job: &ChatJob,
    dispatch: Dispatch,
    from: u64,
) -> Result<Attempt, AttemptError> {
    let engine = dispatch.decision.engine;
    let address = shared.back_ends.address(engine).ok_or(AttemptError::Unreachable)?;
    let id = RequestId(rand::random());
    let url = format!("http://{address}/v1/requests/{id}/cancel");
    let mut cancel = CancelGuard { http: shared.http.clone(), url, armed: true };
    let request = engine_request(shared, job, &dispatch, address, id, from);
    let response = match timeout_at(job.deadline, request.send()).await {
        Err(_) => return Err(AttemptError::Deadline),
        Ok(Err(error)) if error.is_connect() => {
            cancel.armed = false;
            return Err(AttemptError::Unreachable);
        }
        Ok(Err(_)) => return Err(AttemptError::Broken),
        Ok(Ok(response)) => response,
    };
    if response.status().is_success() {
        return Ok(Attempt { id, dispatch, response, cancel });
    }
    let is_client_error = response.status().is_client_error();
    let body: EngineErrorBody = response.json().await.unwrap_or_default();
    cancel.armed = !body.error.not_run;
    if body.error.code == LEAVING_CODE {
        shared.engines.set_leaving(engine, LeavingSource::Engine, true);
    }
    if body.error.not_run {
        return Err(AttemptError::NotRun(body.error.code));
    }
    if is_client_error {
        return Err(AttemptError::Rejected(body.error.code));
    }
    Err(AttemptError::Broken)
}

fn engine_request(
    shared: &Shared,
    job: &ChatJob,
    dispatch: &Dispatch,
    address: SocketAddr,
    id: RequestId,
    from: u64,
) -> reqwest::RequestBuilder {
    let settings = &job.plan.settings;
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    let mut request = shared
        .http
        .post(format!("http://{address}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header(REQUEST_ID_HEADER, id.to_string())
        .header("x-cache-tenant", job.tenant.as_str())
        .header("x-cache-weights", settings.weights.0.to_string())
        .header("x-priority", settings.priority.to_string())
        .header("x-deadline-ms", remaining.as_millis().to_string())
        .header("x-expected-blocks", dispatch.decision.expected_blocks.to_string())
        .header("x-resume-from", from.to_string())
        .body(job.chat.engine_body.clone());
    if let Some(adapter) = settings.adapter() {
        request = request.header("x-cache-adapter", adapter.as_str());
    }
    // The engine refuses the request if it has restarted since.
    if let Some(incarnation) = dispatch.decision.incarnation {
        request = request.header("x-engine-incarnation", incarnation.to_string());
    }
    request
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
                        self.attempt.cancel.armed = false;
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
