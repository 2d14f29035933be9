//! Names of the shared parts of a prompt, and the server that is meant to keep them.
//!
//! All routers rank the servers of a service alike by rendezvous hashing, so they
//! agree on a home for parts that nobody has seen yet without talking, and when a
//! server goes only its own prompts move.

use juniper_prefix_index::rendezvous;

use crate::request::Prompt;

/// Names each beginning of the chain of a prompt's shared parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChainKeys {
    /// Names of the beginnings, the longest last. The same for the same parts in
    /// the same order among the same callers.
    pub keys: Vec<u64>,
    /// Tokens of each beginning.
    pub tokens: Vec<u32>,
}

impl ChainKeys {
    /// The keys of a prompt. `sharing` names the callers among whom parts are shared.
    pub fn of(prompt: &Prompt, sharing: u64) -> Self {
        let mut chain = ChainKeys::default();
        let (mut key, mut tokens) = (sharing, 0_u32);
        for part in prompt.shared() {
            key = rendezvous::score(key, part.id);
            tokens = tokens.saturating_add(part.tokens);
            chain.keys.push(key);
            chain.tokens.push(tokens);
        }
        chain
    }

    /// Tokens of all shared parts.
    pub fn all_tokens(&self) -> u32 {
        self.tokens.last().copied().unwrap_or(0)
    }

    /// Tokens of each part.
    pub fn part_tokens(&self) -> Vec<u32> {
        let starts = std::iter::once(0).chain(self.tokens.iter().copied());
        self.tokens.iter().zip(starts).map(|(end, start)| end - start).collect()
    }

    /// The place of the home among servers, given by their hashes.
    pub fn home(&self, hashes: impl Iterator<Item = u64>) -> Option<usize> {
        let key = self.keys.last()?;
        let scored = hashes.enumerate().map(|(place, hash)| (rendezvous::score(*key, hash), place));
        scored.max().map(|(_, place)| place)
    }
}
