//! Text and block hashes of the prompts of a trace.

use std::collections::HashMap;
use std::sync::Arc;

use juniper_types::{CacheScope, PromptBlocks, TOKEN_BYTES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::record::Segment;
use crate::http::chat::ChatMessage;

/// Message role of the shared segments of a prompt.
const SHARED_ROLE: &str = "system";

/// Role of the last segment of a prompt, which is unique to the request.
const UNIQUE_ROLE: &str = "user";

/// Alphabet of segment texts.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeinot";

/// Number of letters in a word of a segment text.
const WORD_LETTERS: usize = 7;

/// Maximum number of cached texts. Texts that are unique to a request are not cached.
const MAX_CACHED_TEXTS: usize = 4_096;

/// Generator of the segment texts of a trace, with a cache of shared segments.
#[derive(Clone, Debug)]
pub struct PromptTexts {
    seed: u64,
    cache: HashMap<Segment, Arc<str>>,
}

impl PromptTexts {
    /// Creates a generator for the trace with `seed`.
    pub fn new(seed: u64) -> Self {
        PromptTexts { seed, cache: HashMap::new() }
    }

    /// Returns the messages of `prompt`: the shared segments and then the request's unique segment.
    pub fn messages(&mut self, prompt: &[Segment]) -> Vec<ChatMessage> {
        let last = prompt.len().saturating_sub(1);
        let mut messages = Vec::with_capacity(prompt.len());
        for (index, segment) in prompt.iter().enumerate() {
            let role = if index == last { UNIQUE_ROLE } else { SHARED_ROLE };
            let content = self.content(*segment, role, index != last);
            messages.push(ChatMessage { role: role.to_owned(), content: content.to_string() });
        }
        messages
    }

    /// Serializes `prompt` to the bytes that block hashes are computed from. Each
    /// segment takes exactly its number of tokens.
    pub fn text(&mut self, prompt: &[Segment]) -> Vec<u8> {
        let last = prompt.len().saturating_sub(1);
        let mut text = Vec::new();
        for (index, segment) in prompt.iter().enumerate() {
            let role = if index == last { UNIQUE_ROLE } else { SHARED_ROLE };
            let content = self.content(*segment, role, index != last);
            text.extend_from_slice(role.as_bytes());
            text.push(b'\n');
            text.extend_from_slice(content.as_bytes());
            text.push(b'\n');
        }
        text
    }

    /// Computes the block hashes of `prompt` in `scope`, as routers and engines do.
    pub fn blocks(&mut self, scope: &CacheScope, prompt: &[Segment]) -> PromptBlocks {
        PromptBlocks::of_text(scope, &self.text(prompt))
    }

    /// Returns the message content of a segment, from the cache if present.
    fn content(&mut self, segment: Segment, role: &str, reusable: bool) -> Arc<str> {
        if let Some(text) = self.cache.get(&segment) {
            return Arc::clone(text);
        }
        // The role and two line ends count towards the segment's tokens.
        let frame = role.len() + 2;
        let length = (segment.tokens as usize * TOKEN_BYTES as usize).saturating_sub(frame);
        let text: Arc<str> = segment_text(self.seed, segment.id, length).into();
        if reusable {
            if self.cache.len() >= MAX_CACHED_TEXTS {
                self.cache.clear();
            }
            self.cache.insert(segment, Arc::clone(&text));
        }
        text
    }
}

/// Generates `length` bytes of words from the trace's seed and the segment's id.
fn segment_text(seed: u64, id: u64, length: usize) -> String {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&id.to_le_bytes());
    let mut bytes = vec![0; length];
    ChaCha8Rng::from_seed(key).fill_bytes(&mut bytes);
    let letter = |(index, byte): (usize, &u8)| match index % (WORD_LETTERS + 1) {
        WORD_LETTERS => ' ',
        _ => char::from(LETTERS[usize::from(*byte) % LETTERS.len()]),
    };
    bytes.iter().enumerate().map(letter).collect()
}
