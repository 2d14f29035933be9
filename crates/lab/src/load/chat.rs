//! One chat completion, asked for until its whole answer has come.

use juniper_emulators::http::chat::{ChatBody, ChatMessage, Usage};
use juniper_types::{RequestId, ServiceName, TenantName, ZoneName};
use reqwest::{Method, Response};
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::client::{AttemptError, Client, Next};
use super::outcome::{Ending, Outcome, RequestKind, Violation, ViolationKind};
use super::stream::{AnswerCheck, StreamEvent, StreamReader};

/// A chat that is about to be asked.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Number of the request in the trace.
    pub number: usize,
    /// Zone of the caller.
    pub zone: ZoneName,
    /// Whose request.
    pub tenant: TenantName,
    /// Service.
    pub service: ServiceName,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens wanted.
    pub output_tokens: u32,
    /// When the request arrived.
    pub arrived: Instant,
}

/// How one connection ended that brought at least a head.
enum Reading {
    Complete,
    Broken(AttemptError),
    Violated(Violation),
}

struct Progress {
    check: AnswerCheck,
    first: Option<std::time::Duration>,
    cached_tokens: Option<u64>,
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
    /// Asks until the answer is complete or the caller gives up.
    pub async fn run(self, client: &Client, check: AnswerCheck) -> Outcome {
        let mut progress = Progress { check, first: None, cached_tokens: None };
        let (mut attempts, mut resumed, mut refusals) = (0, 0, 0);
        let ending = loop {
            let Some(router) = client.router(&self.zone, self.number, attempts) else {
                break Ending::Failed("no_router".to_owned());
            };
            attempts += 1;
            resumed += u32::from(progress.check.next() > 0);
            let error = match self.attempt(client, router, &mut progress).await {
                Reading::Complete => break Ending::Complete,
                Reading::Violated(violation) => break Ending::Violated(violation),
                Reading::Broken(error) => error,
            };
            match client.next(&error, self.arrived, &mut refusals) {
                Next::Again(pause) => sleep(pause).await,
                Next::Leave => break error.ending(),
            }
        };
        Outcome {
            kind: RequestKind::Chat,
            ending,
            first: progress.first,
            total: self.arrived.elapsed(),
            attempts,
            resumed,
            prompt_tokens: u64::from(self.prompt_tokens),
            cached_tokens: progress.cached_tokens.unwrap_or(0),
        }
    }

    async fn attempt(
        &self,
        client: &Client,
        router: std::net::SocketAddr,
        progress: &mut Progress,
    ) -> Reading {
        let id = RequestId(rand::random()).to_string();
        progress.check.resume(id.clone());
        let body = ChatBody {
            model: model(),
            messages: self.messages.clone(),
            stream: self.stream,
            max_tokens: Some(self.output_tokens),
            seed: None,
            user: Some(self.tenant.to_string()),
        };
        let call = client
            .call(Method::POST, router, "/v1/chat/completions", &self.tenant)
            .header("x-service", self.service.as_str())
            .header("x-request-id", id)
            .header("x-resume-from", progress.check.next())
            .json(&body);
        let response = match client.send(call).await {
            Ok(response) => response,
            Err(error) => return Reading::Broken(error),
        };
        if progress.cached_tokens.is_none() {
            progress.cached_tokens = Some(cached_tokens(&response));
        }
        match self.stream {
            true => self.read_stream(client, response, progress).await,
            false => read_whole(client, response, progress).await,
        }
    }

    async fn read_stream(
        &self,
        client: &Client,
        mut response: Response,
        progress: &mut Progress,
    ) -> Reading {
        let mut reader = StreamReader::default();
        loop {
            let bytes = match timeout(client.patience.stall, response.chunk()).await {
                Err(_) => return Reading::Broken(AttemptError::Stalled),
                Ok(Err(_) | Ok(None)) => return Reading::Broken(AttemptError::Broken),
                Ok(Ok(Some(bytes))) => bytes,
            };
            let events = match reader.push(&bytes) {
                Ok(events) => events,
                Err(error) => return violated(ViolationKind::WrongContent, error.to_string()),
            };
            for event in events {
                match self.take(event, progress) {
                    None => {}
                    Some(reading) => return reading,
                }
            }
        }
    }

    /// Takes one event; returns how the connection has ended, if it has.
    fn take(&self, event: StreamEvent, progress: &mut Progress) -> Option<Reading> {
        let checked = match event {
            StreamEvent::Error(detail) => {
                return Some(Reading::Broken(AttemptError::Refused(detail)));
            }
            StreamEvent::Done => {
                let done = progress.check.done();
                return Some(done.map_or_else(Reading::Violated, |()| Reading::Complete));
            }
            StreamEvent::Chunk(chunk) => progress.check.push(&chunk),
        };
        if progress.first.is_none() && progress.check.next() > 0 {
            progress.first = Some(self.arrived.elapsed());
        }
        checked.err().map(Reading::Violated)
    }
}

fn violated(kind: ViolationKind, detail: String) -> Reading {
    Reading::Violated(Violation::new(kind, detail))
}

/// The name of the model that traces ask for.
fn model() -> String {
    juniper_settings::overrides::DEFAULT_MODEL.to_owned()
}

fn cached_tokens(response: &Response) -> u64 {
    let header = response.headers().get("x-cached-tokens");
    header.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0)
}

async fn read_whole(client: &Client, response: Response, progress: &mut Progress) -> Reading {
    let body = match timeout(client.patience.stall, response.bytes()).await {
        Err(_) => return Reading::Broken(AttemptError::Stalled),
        Ok(Err(_)) => return Reading::Broken(AttemptError::Broken),
        Ok(Ok(body)) => body,
    };
    let answer: WholeAnswer = match serde_json::from_slice(&body) {
        Ok(answer) => answer,
        Err(error) => return violated(ViolationKind::WrongContent, error.to_string()),
    };
    let text: String = answer.choices.into_iter().map(|choice| choice.message.content).collect();
    let checked = progress.check.whole(&answer.id, &text, answer.usage);
    checked.map_or_else(Reading::Violated, |()| Reading::Complete)
}
