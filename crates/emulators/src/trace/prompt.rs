//! The exact text and the cache blocks of a prompt.

use std::collections::HashMap;
use std::sync::Arc;

use juniper_types::{CacheScope, PromptBlocks, TOKEN_BYTES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::record::Segment;
use crate::http::chat::ChatMessage;

/// Role of the shared segments of a prompt.
const SHARED_ROLE: &str = "system";

/// Role of a request's own segment, the last one.
const OWN_ROLE: &str = "user";

/// Letters that segment texts are made of.
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeinot";

/// Letters in a word of a segment text.
const WORD_LETTERS: usize = 7;

/// Texts kept at once; the own text of a request is never asked for twice.
const KEPT_TEXTS: usize = 4_096;

/// Makes the texts of one trace's segments and keeps those that come again.
#[derive(Clone, Debug)]
pub struct PromptTexts {
    seed: u64,
    kept: HashMap<Segment, Arc<str>>,
}

impl PromptTexts {
    /// Texts of the trace with `seed`.
    pub fn new(seed: u64) -> Self {
        PromptTexts { seed, kept: HashMap::new() }
    }

    /// The messages of `prompt`: shared segments first, the request's own text last.
    pub fn messages(&mut self, prompt: &[Segment]) -> Vec<ChatMessage> {
        let last = prompt.len().saturating_sub(1);
        let mut messages = Vec::with_capacity(prompt.len());
        for (place, segment) in prompt.iter().enumerate() {
            let role = if place == last { OWN_ROLE } else { SHARED_ROLE };
            let content = self.content(*segment, role, place != last);
            messages.push(ChatMessage { role: role.to_owned(), content: content.to_string() });
        }
        messages
    }

    /// The prompt as the bytes that blocks are cut from: every segment takes
    /// exactly its tokens.
    pub fn text(&mut self, prompt: &[Segment]) -> Vec<u8> {
        let last = prompt.len().saturating_sub(1);
        let mut text = Vec::new();
        for (place, segment) in prompt.iter().enumerate() {
            let role = if place == last { OWN_ROLE } else { SHARED_ROLE };
            let content = self.content(*segment, role, place != last);
            text.extend_from_slice(role.as_bytes());
            text.push(b'\n');
            text.extend_from_slice(content.as_bytes());
            text.push(b'\n');
        }
        text
    }

    /// The block hashes of `prompt` in `scope`, as routers and engines compute them.
    pub fn blocks(&mut self, scope: &CacheScope, prompt: &[Segment]) -> PromptBlocks {
        PromptBlocks::of_text(scope, &self.text(prompt))
    }

    /// The content of a segment's message.
    fn content(&mut self, segment: Segment, role: &str, keep: bool) -> Arc<str> {
        if let Some(text) = self.kept.get(&segment) {
            return Arc::clone(text);
        }
        // The role and two line ends belong to the segment's tokens.
        let frame = role.len() + 2;
        let length = (segment.tokens as usize * TOKEN_BYTES as usize).saturating_sub(frame);
        let text: Arc<str> = segment_text(self.seed, segment.id, length).into();
        if keep {
            if self.kept.len() >= KEPT_TEXTS {
                self.kept.clear();
            }
            self.kept.insert(segment, Arc::clone(&text));
        }
        text
    }
}

/// Words of letters, `length` bytes in all, drawn from the trace's seed and the segment's number.
fn segment_text(seed: u64, id: u64, length: usize) -> String {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    key[8..16].copy_from_slice(&id.to_le_bytes());
    let mut bytes = vec![0; length];
    ChaCha8Rng::from_seed(key).fill_bytes(&mut bytes);
    let letter = |(place, byte): (usize, &u8)| match place % (WORD_LETTERS + 1) {
        WORD_LETTERS => ' ',
        _ => char::from(LETTERS[usize::from(*byte) % LETTERS.len()]),
    };
    bytes.iter().enumerate().map(letter).collect()
}
