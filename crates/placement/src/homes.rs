//! Homes of prompts: the server that is meant to keep the shared parts of each.
//!
//! All routers rank the servers of a service alike by rendezvous hashing, so they
//! agree on a home without talking, and when a server goes only its own prompts
//! move.

use juniper_prefix_index::rendezvous;

use crate::request::Prompt;

/// Names the shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChainKey {
    /// The same for the same parts in the same order among the same callers.
    pub key: u64,
    /// Tokens of the parts.
    pub tokens: u32,
}

impl ChainKey {
    /// The key of a prompt, unless it shares nothing. `sharing` names the callers
    /// among whom parts are shared.
    pub fn of(prompt: &Prompt, sharing: u64) -> Option<Self> {
        let shared = prompt.shared();
        if shared.is_empty() {
            return None;
        }
        let key = shared.iter().fold(sharing, |key, part| rendezvous::score(key, part.id));
        Some(ChainKey { key, tokens: prompt.shared_tokens() })
    }

    /// The place of the home among servers, given by their hashes.
    pub fn home(&self, hashes: impl Iterator<Item = u64>) -> Option<usize> {
        let scored =
            hashes.enumerate().map(|(place, hash)| (rendezvous::score(self.key, hash), place));
        scored.max().map(|(_, place)| place)
    }
}
