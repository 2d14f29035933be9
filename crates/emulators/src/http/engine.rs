//! The engine emulator's HTTP face.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, HeaderValue};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures_util::StreamExt;
use juniper_types::{Incarnation, ModelName, RequestId, TOKEN_BYTES, WeightsVersion};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::chat::{
    ChatBody, ChatMessage, Chunk, ChunkChoice, ChunkPlace, Completion, CompletionChoice, Delta,
    PromptTokensDetails, Usage,
};
use super::error::ApiError;
use super::headers;
use crate::content::GeneratedText;

/// Largest body taken, in bytes: the router's own limit is at most this.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time between tokens of one stream while the engine is not loaded.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// What an engine emulator is started with.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model served.
    pub model: ModelName,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// The life of this process.
    pub incarnation: Incarnation,
}

/// Latest load report, as `GET /v1/load` answers it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Life that the report is of.
    pub incarnation: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens of the waiting requests.
    pub waiting_prompt_tokens: u64,
    /// Blocks held.
    pub cache_blocks: u32,
    /// Blocks that fit.
    pub cache_capacity: u32,
    /// Model loaded.
    pub model: Option<String>,
    /// Version of its weights.
    pub weights: u32,
    /// Adapters loaded.
    pub adapters: Vec<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// The routes of an engine emulator.
pub fn router(options: EngineOptions) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/load", get(load))
        .route("/healthz", get(|| async { "ok" }))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::new(options))
}

async fn load(State(options): State<Arc<EngineOptions>>) -> Json<LoadReport> {
    Json(LoadReport {
        incarnation: options.incarnation.0,
        age_ms: 0,
        running: 0,
        waiting: 0,
        waiting_prompt_tokens: 0,
        cache_blocks: 0,
        cache_capacity: 0,
        model: Some(options.model.to_string()),
        weights: options.weights.0,
        adapters: Vec::new(),
        role: "mixed".to_owned(),
        leaving: false,
    })
}

async fn chat(
    State(options): State<Arc<EngineOptions>>,
    header_map: HeaderMap,
    body: Bytes,
) -> Result<Response, ApiError> {
    let body: ChatBody =
        serde_json::from_slice(&body).map_err(|error| ApiError::Body(error.to_string()))?;
    let id: RequestId = headers::parse(&header_map, headers::REQUEST_ID)?
        .ok_or(ApiError::MissingHeader(headers::REQUEST_ID))?;
    check_plan(&options, &header_map, &body)?;
    let from: u32 = headers::parse(&header_map, headers::RESUME_FROM)?.unwrap_or(0);
    let prompt = body.prompt();
    let seed = body.seed.unwrap_or(0);
    let answer = Answer {
        id,
        model: body.model.clone(),
        text: GeneratedText::new(&prompt, seed, options.weights),
        prompt_tokens: u32::try_from(prompt.len().div_ceil(TOKEN_BYTES as usize))
            .unwrap_or(u32::MAX),
        cached_tokens: 0,
        from,
        to: body.output_tokens().max(from),
    };
    let mut response = if body.stream {
        stream(answer.clone())
    } else {
        tokio::time::sleep(TOKEN_INTERVAL * (answer.to - answer.from)).await;
        Json(answer.completion()).into_response()
    };
    let answer_headers = response.headers_mut();
    answer_headers.insert(headers::ENGINE_INCARNATION, HeaderValue::from(options.incarnation.0));
    answer_headers.insert(headers::CACHED_TOKENS, HeaderValue::from(answer.cached_tokens));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        answer_headers.insert(headers::REQUEST_ID, value);
    }
    Ok(response)
}

/// Refuses work that was planned for another model, weights or incarnation.
fn check_plan(
    options: &EngineOptions,
    header_map: &HeaderMap,
    body: &ChatBody,
) -> Result<(), ApiError> {
    if body.model != options.model.as_str() {
        return Err(ApiError::ModelNotLoaded(body.model.clone()));
    }
    let weights: Option<u32> = headers::parse(header_map, headers::CACHE_WEIGHTS)?;
    if weights.is_some_and(|planned| planned != options.weights.0) {
        return Err(ApiError::WeightsMismatch);
    }
    let incarnation: Option<u64> = headers::parse(header_map, headers::ENGINE_INCARNATION)?;
    if incarnation.is_some_and(|planned| planned != options.incarnation.0) {
        return Err(ApiError::IncarnationMismatch);
    }
    Ok(())
}

/// What one request is answered with.
#[derive(Clone)]
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
    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.to,
            prompt_tokens_details: PromptTokensDetails { cached_tokens: self.cached_tokens },
        }
    }

    fn chunk(&self, index: u32, content: Option<String>) -> Chunk {
        let last = content.is_none();
        Chunk {
            id: self.id.to_string(),
            object: "chat.completion.chunk".to_owned(),
            model: self.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason: last.then(|| "length".to_owned()),
            }],
            juniper: ChunkPlace { index },
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
}

fn stream(answer: Answer) -> Response {
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for index in answer.from..answer.to {
            tokio::time::sleep(TOKEN_INTERVAL).await;
            let chunk = answer.chunk(index, Some(answer.text.token(index)));
            if sender.send(chunk_event(&chunk)).is_err() {
                return;
            }
        }
        let closing =
            [chunk_event(&answer.chunk(answer.to, None)), Event::default().data("[DONE]")];
        for event in closing {
            if sender.send(event).is_err() {
                return;
            }
        }
    });
    Sse::new(UnboundedReceiverStream::new(receiver).map(Ok::<_, Infallible>)).into_response()
}

fn chunk_event(chunk: &Chunk) -> Event {
    match Event::default().json_data(chunk) {
        Ok(event) => event,
        Err(error) => unreachable!("a chunk is plain data: {error}"),
    }
}
