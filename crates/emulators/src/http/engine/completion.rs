//! `POST /v1/chat/completions`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use futures_util::StreamExt;
use juniper_types::{
    CacheScope, Incarnation, ModelName, PromptBlocks, RequestId, SoftwareVersion, TenantName,
    WeightsVersion,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::Shared;
use super::driver::Update;
use crate::content::GeneratedText;
use crate::engine::{DropReason, EngineRequest, Refusal};
use crate::http::chat::{
    ChatBody, ChatMessage, Chunk, ChunkChoice, ChunkPlace, Completion, CompletionChoice, Delta,
    PromptTokensDetails, Usage,
};
use crate::http::error::ApiError;
use crate::http::headers;

/// Priority of requests without a priority header.
const DEFAULT_PRIORITY: u8 = 5;

/// Highest priority.
const MAX_PRIORITY: u8 = 9;

/// Handles a chat completion; responds when the request has entered the batch.
pub(super) async fn chat(
    State(driver): Shared,
    header_map: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let body: ChatBody =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let prompt = body.prompt();
    let now = driver.clock().now();
    let serving = driver.with_engine(|engine, _| engine.serving().map(|(_, weights)| weights));
    let request = build_request(&header_map, &body, &prompt, serving)?;
    let deadline_ms: Option<u64> = headers::parse(&header_map, headers::DEADLINE_MS)?;
    let deadline = deadline_ms.map(|millis| now.after(Duration::from_millis(millis)));
    let request = EngineRequest { deadline, ..request };
    let seed = body.seed.unwrap_or(0);
    let mut answer = Answer {
        id: request.id,
        model: body.model,
        text: GeneratedText::new(&prompt, seed, request.scope.weights),
        prompt_tokens: request.prompt_tokens,
        cached_tokens: 0,
        from: request.resume_from,
        to: request.output_tokens,
    };
    let mut updates = driver.submit(request)?;
    answer.cached_tokens = wait_for_start(&mut updates).await?;
    let (incarnation, software) =
        driver.with_engine(|engine, _| (engine.incarnation(), engine.software().cloned()));
    let answer_headers = answer.headers(incarnation, software.as_ref());
    let mut response = match body.stream {
        true => stream_response(Arc::new(answer), updates),
        false => complete_response(&answer, updates).await?,
    };
    response.headers_mut().extend(answer_headers);
    Ok(response)
}

fn build_request(
    header_map: &HeaderMap,
    body: &ChatBody,
    prompt: &[u8],
    serving: Option<WeightsVersion>,
) -> Result<EngineRequest, ApiError> {
    let id = headers::parse(header_map, headers::REQUEST_ID)?;
    let tenant: TenantName = headers::parse(header_map, headers::CACHE_TENANT)?
        .ok_or(ApiError::MissingHeader(headers::CACHE_TENANT))?;
    let weights: Option<u32> = headers::parse(header_map, headers::CACHE_WEIGHTS)?;
    let weights = weights.map(WeightsVersion).or(serving).unwrap_or_default();
    let model =
        ModelName::new(&body.model).map_err(|_| ApiError::ModelNotLoaded(body.model.clone()))?;
    let adapter = headers::parse(header_map, headers::CACHE_ADAPTER)?;
    let scope = CacheScope { tenant, model, adapter, weights };
    let blocks = PromptBlocks::of_text(&scope, prompt);
    let resume_from = headers::parse(header_map, headers::RESUME_FROM)?.unwrap_or(0);
    let incarnation: Option<u64> = headers::parse(header_map, headers::ENGINE_INCARNATION)?;
    let priority: u8 = headers::parse(header_map, headers::PRIORITY)?.unwrap_or(DEFAULT_PRIORITY);
    Ok(EngineRequest {
        id: id.unwrap_or_else(|| RequestId(rand::random())),
        owner: actual_tenant(body, &scope),
        blocks: blocks.hashes.into(),
        prompt_tokens: blocks.tokens,
        output_tokens: body.output_tokens().max(resume_from),
        resume_from,
        priority: priority.min(MAX_PRIORITY),
        deadline: None,
        incarnation: incarnation.map(Incarnation),
        expected_blocks: headers::parse(header_map, headers::EXPECTED_BLOCKS)?.unwrap_or(0),
        scope,
    })
}

/// Returns the actual tenant of the request, which lab clients set in the body. The router forwards
/// the body unchanged, so the value doesn't depend on the router.
fn actual_tenant(body: &ChatBody, scope: &CacheScope) -> TenantName {
    let named = body.user.as_ref().and_then(|name| TenantName::new(name).ok());
    named.unwrap_or_else(|| scope.tenant.clone())
}

/// Waits until the request enters the batch; returns the number of its cached prompt tokens.
async fn wait_for_start(updates: &mut mpsc::UnboundedReceiver<Update>) -> Result<u32, ApiError> {
    match updates.recv().await {
        Some(Update::Started { cached_tokens }) => Ok(cached_tokens),
        Some(Update::Dropped(reason)) => Err(reason.into()),
        Some(Update::Tokens { .. } | Update::Finished) | None => Err(ApiError::Interrupted),
    }
}

impl From<DropReason> for ApiError {
    fn from(reason: DropReason) -> Self {
        match reason {
            DropReason::Deadline => ApiError::Deadline,
            DropReason::WeightsSwitched => ApiError::WeightsMismatch,
            DropReason::Crashed => ApiError::Interrupted,
            DropReason::Cancelled => ApiError::Cancelled,
        }
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Down | Refusal::Loading => ApiError::Loading,
            Refusal::ModelNotLoaded(model) => ApiError::ModelNotLoaded(model.to_string()),
            Refusal::WeightsMismatch(_) => ApiError::WeightsMismatch,
            Refusal::IncarnationMismatch(_) => ApiError::IncarnationMismatch,
            Refusal::AdapterNotLoaded(adapter) => ApiError::AdapterNotLoaded(adapter.to_string()),
            Refusal::Overloaded { retry_after } => {
                let seconds = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
                ApiError::Overloaded { retry_after_seconds: seconds.max(1) }
            }
            Refusal::Leaving => ApiError::Leaving,
            Refusal::TooLong => ApiError::PromptTooLong,
            Refusal::DuplicateRequest => ApiError::DuplicateRequest,
        }
    }
}

/// Response to one request.
struct Answer {
    id: RequestId,
    model: String,
    text: GeneratedText,
    prompt_tokens: u32,
    cached_tokens: u32,
    from: u32,
    to: u32,
}

impl Answer {
    fn headers(&self, incarnation: Incarnation, software: Option<&SoftwareVersion>) -> HeaderMap {
        let mut answer_headers = HeaderMap::new();
        answer_headers.insert(headers::ENGINE_INCARNATION, HeaderValue::from(incarnation.0));
        answer_headers.insert(headers::CACHED_TOKENS, HeaderValue::from(self.cached_tokens));
        let software = software.map(|version| HeaderValue::from_str(version.as_str()));
        if let Some(Ok(value)) = software {
            answer_headers.insert(headers::ENGINE_SOFTWARE, value);
        }
        if let Ok(value) = HeaderValue::from_str(&self.id.to_string()) {
            answer_headers.insert(headers::REQUEST_ID, value);
        }
        answer_headers
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.to,
            prompt_tokens_details: PromptTokensDetails { cached_tokens: self.cached_tokens },
        }
    }

    /// Builds the chunk with `count` tokens from `index` on; a count of zero gives the last chunk.
    fn chunk(&self, index: u32, count: u32) -> Chunk {
        let last = count == 0;
        let content = (!last).then(|| self.text.range(index, index + count));
        Chunk {
            id: self.id.to_string(),
            object: "chat.completion.chunk".to_owned(),
            model: self.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason: last.then(|| "length".to_owned()),
            }],
            juniper: ChunkPlace { index, count },
            usage: last.then(|| self.usage()),
        }
    }

    fn completion(&self) -> Completion {
        let content = self.text.range(self.from, self.to);
        Completion {
            id: self.id.to_string(),
            object: "chat.completion",
            model: self.model.clone(),
            choices: vec![CompletionChoice {
                index: 0,
                message: ChatMessage { role: "assistant".to_owned(), content },
                finish_reason: "length",
            }],
            usage: self.usage(),
        }
    }

    /// Converts `update` to events of the stream.
    fn events(&self, update: Update) -> Vec<Event> {
        match update {
            Update::Started { .. } => Vec::new(),
            Update::Tokens { index, count } => {
                vec![chunk_event(&self.chunk(index, count))]
            }
            Update::Finished => {
                vec![chunk_event(&self.chunk(self.to, 0)), Event::default().data("[DONE]")]
            }
            // The stream ends without its last chunk, so readers can tell that it is incomplete.
            Update::Dropped(_) => Vec::new(),
        }
    }
}

fn chunk_event(chunk: &Chunk) -> Event {
    match Event::default().json_data(chunk) {
        Ok(event) => event,
        Err(error) => unreachable!("a chunk is plain data: {error}"),
    }
}

fn stream_response(answer: Arc<Answer>, updates: mpsc::UnboundedReceiver<Update>) -> Response {
    let events = UnboundedReceiverStream::new(updates).flat_map(move |update| {
        futures_util::stream::iter(answer.events(update).into_iter().map(Ok::<_, Infallible>))
    });
    Sse::new(events).into_response()
}

async fn complete_response(
    answer: &Answer,
    mut updates: mpsc::UnboundedReceiver<Update>,
) -> Result<Response, ApiError> {
    while let Some(update) = updates.recv().await {
        match update {
            Update::Finished => return Ok(Json(answer.completion()).into_response()),
            Update::Dropped(_) => return Err(ApiError::Interrupted),
            Update::Started { .. } | Update::Tokens { .. } => {}
        }
    }
    Err(ApiError::Interrupted)
}
