//! What the memory of a server should keep, by what was sent there.
//!
//! Engines publish what they keep late and with gaps, and asking costs them time. But how they
//! choose is known: the least recently used parts give way when memory is full. So each router
//! keeps a model of each server's memory and applies every prompt to it that any router sends.

use std::collections::{HashMap, VecDeque};

use juniper_types::Timestamp;

/// Part of the memory that is counted on. The rest goes to generated tokens, to the ends of
/// blocks, and to prompts that this router was not told of. Measured on ikaze-shops: 0.7 lost
/// 0.011 of a day's worth against it, 1.1 made no difference (docs/experiments/ikaze-shops.md).
const COUNTED_PART: f64 = 0.9;

/// Uses remembered, at most; a server whose memory is not stated keeps the latest.
const MAX_USES: usize = 1_024;

/// Parts of one prompt that a server was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentParts<'a> {
    /// Names of the beginnings of the prompt, one for each shared part.
    pub keys: &'a [u64],
    /// Tokens of each shared part.
    pub tokens: &'a [u32],
    /// Tokens that no other prompt has.
    pub own_tokens: u32,
    /// When the server should have read the prompt. Before, nobody can fetch the parts from it.
    pub read_at: Timestamp,
}

/// One use of a part.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Names the part; `None` for what no other prompt has.
    key: Option<u64>,
    tokens: u32,
    /// Number of the use.
    number: u64,
}

/// What is known of a part that is kept.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Number of its latest use.
    latest: u64,
    /// When it should have been read first.
    read_at: Timestamp,
}

/// Parts that a server should keep.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptParts {
    /// Weights that made them; other weights find none of them.
    version: u64,
    parts: HashMap<u64, Kept>,
    /// Uses, the latest last. Those that aren't the latest of their part count for nothing.
    uses: VecDeque<Use>,
    /// Tokens of all parts that are kept.
    held_tokens: u64,
    next_number: u64,
}

impl KeptParts {
    /// A prompt was sent to the server, which has weights of `version` and memory for
    /// `capacity` tokens; zero if that is not known.
    pub(crate) fn record(&mut self, version: u64, parts: SentParts<'_>, capacity: u64) {
        if version < self.version {
            return;
        }
        if version > self.version {
            *self = KeptParts { version, ..KeptParts::default() };
        }
        for (key, tokens) in parts.keys.iter().zip(parts.tokens) {
            self.record_use(Some(*key), *tokens, parts.read_at);
        }
        self.record_use(None, parts.own_tokens, parts.read_at);
        self.make_room(capacity);
    }

    fn record_use(&mut self, key: Option<u64>, tokens: u32, read_at: Timestamp) {
        let number = self.next_number;
        self.next_number += 1;
        self.uses.push_back(Use { key, tokens, number });
        let known = key.and_then(|key| self.parts.get_mut(&key));
        if let Some(known) = known {
            known.latest = number;
            return;
        }
        self.held_tokens += u64::from(tokens);
        if let Some(key) = key {
            self.parts.insert(key, Kept { latest: number, read_at });
        }
    }

    /// Lets go what was unused for longest.
    fn make_room(&mut self, capacity: u64) {
        let room = (capacity as f64 * COUNTED_PART) as u64;
        let is_full = |kept: &KeptParts| {
            kept.uses.len() > MAX_USES || (capacity > 0 && kept.held_tokens > room)
        };
        while is_full(self)
            && let Some(oldest) = self.uses.pop_front()
        {
            if let Some(key) = oldest.key {
                let is_latest =
                    self.parts.get(&key).is_some_and(|kept| kept.latest == oldest.number);
                if !is_latest {
                    continue;
                }
                self.parts.remove(&key);
            }
            self.held_tokens = self.held_tokens.saturating_sub(u64::from(oldest.tokens));
        }
    }

    /// Whether the server should keep the part, made by weights of `version`.
    pub(crate) fn holds(&self, version: u64, key: u64) -> bool {
        version == self.version && self.parts.contains_key(&key)
    }

    /// Whether the server should have read the part by now, so that others can fetch it.
    pub(crate) fn has_read(&self, version: u64, key: u64, now: Timestamp) -> bool {
        let kept = self.parts.get(&key).filter(|_| version == self.version);
        kept.is_some_and(|kept| kept.read_at <= now)
    }
}
