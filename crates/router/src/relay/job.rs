//! A chat completion on its way: what is asked, how far it has come, what callers get.

use std::time::Duration;

use juniper_routing::{Refusal, RefusalCode};
use juniper_types::{EngineId, RequestId, TenantName};
use tokio::time::Instant;

use crate::chat::ChatRequest;
use crate::crashes::{AskedRequest, asked};
use crate::engines::ChatPlan;
use crate::error::RequestError;
use crate::sse::Chunk;

/// Path of chat completions at engines.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";

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

impl ChatJob {
    /// What is asked, as the same request asks it again.
    pub(super) fn asked(&self) -> AskedRequest<'_> {
        asked("POST", CHAT_PATH, &self.tenant, &self.chat.engine_body)
    }

    /// Time until the first token is due. An answer that has begun is only
    /// bound by its deadline.
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

/// How far a request has come.
pub(super) struct Progress {
    /// Engines that failed this request.
    pub(super) excluded: Vec<EngineId>,
    /// Attempts made.
    pub(super) attempts: u32,
    /// Next token that the caller lacks.
    pub(super) next_index: u64,
    /// Whether an engine may have run some of it.
    pub(super) may_have_run: bool,
}

impl Progress {
    /// Nothing done yet.
    pub(super) fn new(next_index: u64) -> Self {
        Progress { excluded: Vec::new(), attempts: 0, next_index, may_have_run: false }
    }

    /// The error for a caller whose request no engine will take.
    pub(super) fn refused(&self, refusal: Refusal) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        let retry_after_ms = refusal.retry_after.as_millis() as u64;
        match refusal.code {
            RefusalCode::NoEngine => RequestError::NoBackEnd { retry_after_ms },
            _ => RequestError::Overloaded { retry_after_ms },
        }
    }

    pub(super) fn given_up(&self) -> RequestError {
        if self.may_have_run {
            return RequestError::BackEndFailed;
        }
        RequestError::NoBackEnd { retry_after_ms: NO_ENGINE_RETRY_MS }
    }
}
