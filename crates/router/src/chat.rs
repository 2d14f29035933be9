//! Parsing and validation of chat-completion requests.

use juniper_types::ModelName;
use serde::Deserialize;
use serde_json::{Map, Value, json};

use crate::error::RequestError;

/// Maximum number of messages in one request.
pub const MAX_MESSAGES: usize = 1_024;

/// Request fields that the router reads; other fields are forwarded unchanged.
#[derive(Debug, Deserialize)]
struct ChatBody {
    #[serde(default)]
    model: Option<String>,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(flatten)]
    others: Map<String, Value>,
}

/// One message of the conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `system` or `user`.
    pub role: String,
    /// Content of the message.
    pub content: Content,
}

/// Message content as a single string or as a list of parts.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Single string.
    Text(String),
    /// List of parts.
    Parts(Vec<Part>),
}

/// A part of a message.
#[derive(Clone, Debug, Deserialize)]
pub struct Part {
    /// Kind of the part; only `text` is accepted.
    #[serde(rename = "type")]
    pub kind: String,
    /// Text of the part.
    pub text: String,
}

/// A validated chat request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Prompt from which block hashes are computed.
    pub prompt: Vec<u8>,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Body to send to the engine.
    pub engine_body: Vec<u8>,
}

impl ChatRequest {
    /// Parses and validates `body` for a service of `model`.
    pub fn parse(
        body: &[u8],
        model: &ModelName,
        max_output_tokens: u32,
    ) -> Result<Self, RequestError> {
        let parsed: ChatBody = serde_json::from_slice(body)
            .map_err(|error| RequestError::Malformed(error.to_string()))?;
        if parsed.messages.is_empty() || parsed.messages.len() > MAX_MESSAGES {
            let reason = format!("messages must have 1 to {MAX_MESSAGES} entries");
            return Err(RequestError::Malformed(reason));
        }
        if let Some(named) = parsed.model.filter(|named| named != model.as_str()) {
            return Err(RequestError::UnknownModel(named));
        }
        let max_tokens = parsed.max_tokens.unwrap_or(max_output_tokens).min(max_output_tokens);
        let mut prompt = Vec::with_capacity(body.len());
        let mut messages = Vec::with_capacity(parsed.messages.len());
        for message in parsed.messages {
            let content = message.content.into_text()?;
            append_message(&mut prompt, &message.role, &content);
            messages.push(json!({ "role": message.role, "content": content }));
        }
        let mut fields = parsed.others;
        fields.insert("model".into(), Value::from(model.as_str()));
        fields.insert("stream".into(), Value::from(true));
        fields.insert("max_tokens".into(), Value::from(max_tokens));
        fields.insert("messages".into(), Value::from(messages));
        let engine_body = serde_json::to_vec(&fields)
            .map_err(|error| RequestError::Malformed(error.to_string()))?;
        Ok(ChatRequest { prompt, stream: parsed.stream, max_tokens, engine_body })
    }
}

impl Content {
    /// Joins the parts into one string, the only form that is sent to engines.
    fn into_text(self) -> Result<String, RequestError> {
        let parts = match self {
            Content::Text(text) => return Ok(text),
            Content::Parts(parts) => parts,
        };
        match parts.iter().find(|part| part.kind != "text") {
            Some(part) => {
                let reason = format!("content of type {:?} is not accepted", part.kind);
                Err(RequestError::Malformed(reason))
            }
            None => Ok(parts.into_iter().map(|part| part.text).collect()),
        }
    }
}

fn append_message(prompt: &mut Vec<u8>, role: &str, content: &str) {
    prompt.extend_from_slice(role.as_bytes());
    prompt.push(b'\n');
    prompt.extend_from_slice(content.as_bytes());
    prompt.push(b'\n');
}
