//! Keys of a prompt's shared prefixes, and the home server of a prompt.
//!
//! All routers rank the servers of a service by rendezvous hashing, so they agree on the home of
//! uncached segments without coordination. When a server is removed, only its own prompts get
//! another home.

use juniper_prefix_index::rendezvous;

use crate::request::Prompt;

/// Keys of the prefixes that end with each shared segment of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainKeys {
    /// Prefix keys, the longest prefix last. Equal for the same segments in the same order under
    /// the same sharing_key key.
    pub keys: Vec<u64>,
    /// Tokens of each prefix.
    pub tokens: Vec<u32>,
}

impl ChainKeys {
    /// Computes the keys of a prompt. `sharing_key` is the key of the callers that share cached
    /// segments with each other.
    pub fn of(prompt: &Prompt, sharing_key: u64) -> Self {
        let mut chain = ChainKeys::default();
        let (mut key, mut tokens) = (sharing_key, 0_u32);
        for segment in prompt.shared() {
            key = rendezvous::score(key, segment.id);
            tokens = tokens.saturating_add(segment.tokens);
            chain.keys.push(key);
            chain.tokens.push(tokens);
        }
        chain
    }

    /// Total tokens of the shared segments.
    pub fn all_tokens(&self) -> u32 {
        self.tokens.last().copied().unwrap_or(0)
    }

    /// Tokens of each segment.
    pub fn segment_tokens(&self) -> Vec<u32> {
        let starts = std::iter::once(0).chain(self.tokens.iter().copied());
        self.tokens.iter().zip(starts).map(|(end, start)| end - start).collect()
    }

    /// Index of the home server, among servers given by their hashes.
    pub fn home(&self, hashes: impl Iterator<Item = u64>) -> Option<usize> {
        let key = self.keys.last()?;
        let scored = hashes.enumerate().map(|(index, hash)| (rendezvous::score(*key, hash), index));
        scored.max().map(|(_, index)| index)
    }
}
