//! Chat completions on the wire: request body, stream chunks, usage.

use serde::{Deserialize, Serialize};

/// Output tokens generated when the body does not limit them.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// Body of `POST /v1/chat/completions`; fields the emulator has no use for are ignored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatBody {
    /// Model that is to answer.
    pub model: String,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Output tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Seed of the sampling.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    /// Who the caller says it is; callers of the lab name their tenant, and the witness reads it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
}

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl ChatBody {
    /// The prompt as the bytes that blocks are cut from.
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

/// One server-sent event of a streamed answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    /// Request id.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model that answers.
    pub model: String,
    /// The one choice.
    pub choices: Vec<ChunkChoice>,
    /// Place of the chunk in the stream.
    pub juniper: ChunkPlace,
    /// Token counts, on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The choice of a chunk.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always zero.
    pub index: u32,
    /// What the chunk adds.
    pub delta: Delta,
    /// Why the stream ends, on the last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds to the answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Delta {
    /// Text added.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Place of a chunk in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkPlace {
    /// Number of the first output token of the chunk.
    pub index: u32,
    /// Output tokens in the chunk.
    #[serde(default)]
    pub count: u32,
}

/// Token counts of a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated, those of earlier attempts included.
    pub completion_tokens: u32,
    /// More about the prompt.
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Where the prompt's tokens came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// A whole answer, for callers that don't stream.
#[derive(Clone, Debug, Serialize)]
pub struct Completion {
    /// Request id.
    pub id: String,
    /// Always `chat.completion`.
    pub object: &'static str,
    /// Model that answers.
    pub model: String,
    /// The one choice.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// The choice of a whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct CompletionChoice {
    /// Always zero.
    pub index: u32,
    /// The answer.
    pub message: ChatMessage,
    /// Why the answer ends.
    pub finish_reason: &'static str,
}
