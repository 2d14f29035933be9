//! One chat completion, retried until the whole answer is received.

use std::net::SocketAddr;
use std::time::Duration;

use juniper_emulators::http::chat::{ChatBody, ChatMessage, Usage};
use juniper_settings::overrides::DEFAULT_MODEL;
use juniper_types::RequestId;
use reqwest::header::HeaderValue;
use reqwest::{Method, Response};
use serde::Deserialize;
use tokio::time::timeout;

use super::client::{AttemptError, Client};
use super::outcome::{Outcome, RequestKind, Violation, ViolationKind};
use super::retry::{AttemptResult, Caller, RetriedRequest, run_with_retries};
use super::stream::{AnswerCheck, StreamEvent, StreamReader};

/// Software version that generates an answer; in a request, the one that began the resumed answer.
const SOFTWARE_HEADER: &str = "x-juniper-software";

/// Parameters of a chat request.
#[derive(Clone, Debug)]
pub struct ChatQuestion {
    /// Prompt text.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
}

/// A chat in flight.
#[derive(Clone, Debug)]
pub struct ChatCall {
    caller: Caller,
    question: ChatQuestion,
    check: AnswerCheck,
    first: Option<Duration>,
    cached_tokens: Option<u64>,
    /// Software version of the first answer.
    software: Option<HeaderValue>,
}

#[derive(Deserialize)]
struct WholeAnswer {
    id: String,
    choices: Vec<WholeChoice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct WholeChoice {
    message: ChatMessage,
}

impl ChatCall {
    /// Creates a chat whose answer must pass `check`.
    pub fn new(caller: Caller, question: ChatQuestion, check: AnswerCheck) -> Self {
        ChatCall { caller, question, check, first: None, cached_tokens: None, software: None }
    }

    /// Retries until the answer is complete or the caller gives up.
    pub async fn run(mut self, client: &Client) -> Outcome {
        let outcome = run_with_retries(&mut self, client).await;
        Outcome {
            prompt_tokens: u64::from(self.question.prompt_tokens),
            cached_tokens: self.cached_tokens.unwrap_or(0),
            ..outcome
        }
    }

    async fn read_stream(&mut self, client: &Client, mut response: Response) -> AttemptResult {
        let mut reader = StreamReader::default();
        loop {
            let bytes = match timeout(client.retry_policy.stall, response.chunk()).await {
                Err(_) => return AttemptResult::Broken(AttemptError::Stalled),
                Ok(Err(_) | Ok(None)) => return AttemptResult::Broken(AttemptError::Broken),
                Ok(Ok(Some(bytes))) => bytes,
            };
            let events = match reader.push(&bytes) {
                Ok(events) => events,
                Err(error) => return wrong_content(error.to_string()),
            };
            for event in events {
                if let Some(result) = self.apply_event(event) {
                    return result;
                }
            }
        }
    }

    /// Applies one event; returns the result of the attempt if the event ends it.
    fn apply_event(&mut self, event: StreamEvent) -> Option<AttemptResult> {
        let chunk = match event {
            StreamEvent::Error(detail) => {
                return Some(AttemptResult::Broken(AttemptError::Refused(detail)));
            }
            StreamEvent::Done => return Some(self.check.done().into()),
            StreamEvent::Chunk(chunk) => chunk,
        };
        let checked = self.check.push(&chunk);
        if self.first.is_none() && self.check.next() > 0 {
            self.first = Some(self.caller.arrived.elapsed());
        }
        checked.err().map(AttemptResult::Violated)
    }

    async fn read_whole(&mut self, client: &Client, response: Response) -> AttemptResult {
        let body = match timeout(client.retry_policy.stall, response.bytes()).await {
            Err(_) => return AttemptResult::Broken(AttemptError::Stalled),
            Ok(Err(_)) => return AttemptResult::Broken(AttemptError::Broken),
            Ok(Ok(body)) => body,
        };
        let answer: WholeAnswer = match serde_json::from_slice(&body) {
            Ok(answer) => answer,
            Err(error) => return wrong_content(error.to_string()),
        };
        let pieces = answer.choices.into_iter().map(|choice| choice.message.content);
        self.check.whole(&answer.id, &pieces.collect::<String>(), answer.usage).into()
    }
}

impl RetriedRequest for ChatCall {
    const KIND: RequestKind = RequestKind::Chat;

    fn caller(&self) -> &Caller {
        &self.caller
    }

    async fn attempt(&mut self, client: &Client, router: SocketAddr) -> AttemptResult {
        let id = RequestId(rand::random()).to_string();
        self.check.resume(id.clone());
        let body = ChatBody {
            model: DEFAULT_MODEL.to_owned(),
            messages: self.question.messages.clone(),
            stream: self.question.stream,
            max_tokens: Some(self.question.output_tokens),
            seed: None,
            user: Some(self.caller.tenant.to_string()),
        };
        let mut call = self
            .caller
            .call(client, Method::POST, router, "/v1/chat/completions")
            .header("x-request-id", id)
            .header("x-resume-from", self.check.next())
            .json(&body);
        if let Some(software) = &self.software {
            call = call.header(SOFTWARE_HEADER, software);
        }
        let response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return AttemptResult::Broken(error),
        };
        let software = response.headers().get(SOFTWARE_HEADER);
        if self.check.next() > 0 && software != self.software.as_ref() {
            return wrong_content("the rest is of another software version".to_owned());
        }
        self.software = software.cloned();
        if self.cached_tokens.is_none() {
            self.cached_tokens = Some(cached_tokens(&response));
        }
        match self.question.stream {
            true => self.read_stream(client, response).await,
            false => self.read_whole(client, response).await,
        }
    }

    fn is_partial(&self) -> bool {
        self.check.next() > 0
    }

    fn first(&self) -> Option<Duration> {
        self.first
    }
}

fn wrong_content(detail: String) -> AttemptResult {
    AttemptResult::Violated(Violation::new(ViolationKind::WrongContent, detail))
}

fn cached_tokens(response: &Response) -> u64 {
    let header = response.headers().get("x-cached-tokens");
    header.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}
