//! Request, progress and answer pieces of one relayed chat completion.

use std::time::Duration;

use juniper_routing::{Refusal, RefusalCode};
use juniper_types::{EngineId, RequestId, SoftwareVersion, TenantName};
use tokio::time::Instant;

use crate::chat::ChatRequest;
use crate::crashes::{RequestIdentity, request_identity};
use crate::engines::ChatPlan;
use crate::error::RequestError;
use crate::sse::Chunk;

/// Path of chat completions at engines.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";

/// Retry delay suggested to callers when no engine is left, in milliseconds.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// A chat completion to relay.
pub struct ChatJob {
    /// Request id returned to the caller.
    pub request_id: RequestId,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Parsed request.
    pub chat: ChatRequest,
    /// Input of the routing decision.
    pub plan: ChatPlan,
    /// Time when the router received the request.
    pub started: Instant,
    /// Deadline of the complete answer.
    pub deadline: Instant,
    /// Index of the first output token to send to the caller.
    pub resume_from: u64,
    /// Software version that began the answer, if the caller already has tokens of it.
    pub software: Option<SoftwareVersion>,
}

/// Source of an answer.
#[derive(Clone, Debug, Default)]
pub struct Origin {
    /// Engine that accepted the request first.
    pub engine: EngineId,
    /// Prompt tokens that were cached on the engine.
    pub cached_tokens: u64,
    /// Software version of the engine, if it states one.
    pub software: Option<SoftwareVersion>,
}

/// A piece of a relayed answer.
#[derive(Clone, Debug)]
pub enum Piece {
    /// The next chunk of the answer.
    Chunk(Box<Chunk>),
    /// The answer is complete.
    Done,
    /// The answer can't be completed.
    Failed(RequestError),
}

impl ChatJob {
    /// Content that identifies the request across retries.
    pub(super) fn identity(&self) -> RequestIdentity<'_> {
        request_identity("POST", CHAT_PATH, &self.tenant, &self.chat.engine_body)
    }

    /// Returns the time left for the first token, or until the deadline of the complete answer
    /// if the caller has already received tokens.
    pub(super) fn first_token_within(&self, progress: &Progress) -> Duration {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        if progress.next_index > self.resume_from {
            return left;
        }
        let within = Duration::from_millis(self.plan.settings.first_token_deadline_ms);
        within.saturating_sub(now.saturating_duration_since(self.started)).min(left)
    }
}

/// Progress of a request over all its attempts.
pub(super) struct Progress {
    /// Engines on which an attempt failed.
    pub(super) excluded: Vec<EngineId>,
    /// Number of attempts made.
    pub(super) attempts: u32,
    /// Index of the next output token to send to the caller.
    pub(super) next_index: u64,
    /// Software version of the engine that was first to accept the request, if it stated one. The
    /// tokens of other versions don't fit.
    pub(super) software: Option<SoftwareVersion>,
    /// Whether an engine may have run a part of the request.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// Creates the progress of a request without attempts.
    pub(super) fn new(job: &ChatJob) -> Self {
        Progress {
            excluded: Vec::new(),
            attempts: 0,
            next_index: job.resume_from,
            software: job.software.clone(),
            may_have_run: false,
        }
    }

    /// Returns the caller's error after routing found no usable engine.
    pub(super) fn refusal_error(&self, refusal: Refusal) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        let retry_after_ms = refusal.retry_after.as_millis() as u64;
        match refusal.code {
            RefusalCode::NoEngine => RequestError::NoBackEnd { retry_after_ms },
            _ => RequestError::Overloaded { retry_after_ms },
        }
    }

    /// Returns the caller's error after a retry was denied.
    pub(super) fn retry_denied_error(&self) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        RequestError::NoBackEnd { retry_after_ms: NO_ENGINE_RETRY_MS }
    }
}
