//! Wire format of chat completions: request body, stream chunks and usage.

use serde::{Deserialize, Serialize};

/// Number of output tokens if the body sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// Body of `POST /v1/chat/completions`; unused fields are ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatBody {
    /// Requested model.
    pub model: String,
    /// Messages of the prompt.
    pub messages: Vec<ChatMessage>,
    /// Whether to stream the response.
    #[serde(default)]
    pub stream: bool,
    /// Output tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Sampling seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// User named by the caller. Lab clients set their tenant, which the witness reads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
}

/// Message of a prompt or response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl ChatBody {
    /// Serializes the prompt to the bytes that block hashes are computed from.
    pub fn prompt(&self) -> Vec<u8> {
        let length = self.messages.iter().map(|m| m.role.len() + m.content.len() + 2).sum();
        let mut prompt = Vec::with_capacity(length);
        for message in &self.messages {
            prompt.extend_from_slice(message.role.as_bytes());
            prompt.push(b'\n');
            prompt.extend_from_slice(message.content.as_bytes());
            prompt.push(b'\n');
        }
        prompt
    }

    /// Output tokens to generate.
    pub fn output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Server-sent event of a streamed response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Request id.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model that generated the response.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<ChunkChoice>,
    /// Position of the chunk in the stream.
    pub juniper: ChunkPlace,
    /// Token counts, only on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always zero.
    pub index: u32,
    /// Addition to the response.
    pub delta: Delta,
    /// Reason for the end of the stream, only on the last chunk.
    pub finish_reason: Option<String>,
}

/// Addition of one chunk to the response.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Added text, absent on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Position of a chunk in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkPlace {
    /// Index of the chunk's first output token.
    pub index: u32,
    /// Number of output tokens in the chunk.
    #[serde(default)]
    pub count: u32,
}

/// Token counts of a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens, including those of earlier attempts.
    pub completion_tokens: u32,
    /// Details of the prompt tokens.
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Details of the prompt tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Response to a request without streaming.
#[derive(Clone, Debug, Serialize)]
pub struct Completion {
    /// Request id.
    pub id: String,
    /// Always `chat.completion`.
    pub object: &'static str,
    /// Model that generated the response.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// Choice of a response without streaming.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// Generated message.
    pub message: ChatMessage,
    /// Reason for the end of the output.
    pub finish_reason: &'static str,
}
