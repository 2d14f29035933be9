//! Homes of prompt parts: the servers that are meant to keep them.
//!
//! The first shared part of a prompt is kept by a few servers, as many as its
//! share of the work needs. Among those, the last shared part names one: the
//! home of the prompt. All routers rank the servers alike, so they agree without
//! talking; a difference in their measure of the share changes only who is last
//! among the few.

use std::collections::HashMap;
use std::time::Duration;

use juniper_prefix_index::rendezvous;
use juniper_types::Timestamp;

use crate::request::Prompt;

/// Servers for a first part beyond what its share of the work asks for.
const SPREAD_FACTOR: f64 = 1.5;

/// Fewest servers for a first part: the loss of one costs half of what is kept.
const MIN_SPREAD: usize = 2;

/// Time in which what was measured loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// First parts whose work is measured; the least measured one makes room.
const MAX_FIRST_PARTS: usize = 1_024;

/// A decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    value: f64,
    updated: Timestamp,
}

impl Decaying {
    fn at(&self, now: Timestamp) -> f64 {
        let halves = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * (-halves).exp2()
    }

    fn add(&mut self, amount: f64, now: Timestamp) {
        self.value = self.at(now) + amount;
        self.updated = now;
    }
}

/// Names homes.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    work: HashMap<u64, Decaying>,
    total: Decaying,
}

/// The homes of one prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PromptKeys {
    /// Names the first shared part.
    pub first: u64,
    /// Names the whole chain of shared parts.
    pub chain: u64,
    /// Tokens of the first shared part.
    pub first_tokens: u32,
    /// Tokens of the chain.
    pub chain_tokens: u32,
}

impl PromptKeys {
    /// The keys of a prompt, unless it shares nothing. `sharing` names the callers
    /// among whom parts are shared.
    pub(crate) fn of(prompt: &Prompt, sharing: u64) -> Option<Self> {
        let shared = prompt.shared();
        let first = shared.first()?;
        let first_key = rendezvous::score(sharing, first.id);
        let chain = shared.iter().fold(sharing, |key, part| rendezvous::score(key, part.id));
        Some(PromptKeys {
            first: first_key,
            chain,
            first_tokens: first.tokens,
            chain_tokens: prompt.shared_tokens(),
        })
    }
}

impl Homes {
    /// Counts the work that a prompt brings, in tokens.
    pub(crate) fn record(&mut self, keys: &PromptKeys, tokens: u32, now: Timestamp) {
        if self.work.len() >= MAX_FIRST_PARTS && !self.work.contains_key(&keys.first) {
            self.forget_least(now);
        }
        self.total.add(f64::from(tokens), now);
        self.work.entry(keys.first).or_default().add(f64::from(tokens), now);
    }

    fn forget_least(&mut self, now: Timestamp) {
        let least = self.work.iter().min_by(|a, b| a.1.at(now).total_cmp(&b.1.at(now)));
        if let Some(key) = least.map(|(key, _)| *key) {
            self.work.remove(&key);
        }
    }

    /// Servers, of `servers`, that keep the first part.
    pub(crate) fn spread(&self, keys: &PromptKeys, servers: usize, now: Timestamp) -> usize {
        let work = self.work.get(&keys.first).map_or(0.0, |work| work.at(now));
        let share = work / self.total.at(now).max(1.0);
        let wanted = (share * servers as f64 * SPREAD_FACTOR).ceil() as usize;
        wanted.max(MIN_SPREAD).min(servers)
    }

    /// The places of `servers` (their hashes) that keep the first part, the home of
    /// the chain first.
    pub(crate) fn rank(
        &self,
        keys: &PromptKeys,
        servers: &[(usize, u64)],
        now: Timestamp,
    ) -> Vec<usize> {
        let mut ranked = servers.to_vec();
        ranked.sort_unstable_by_key(|(_, hash)| {
            std::cmp::Reverse(rendezvous::score(keys.first, *hash))
        });
        ranked.truncate(self.spread(keys, servers.len(), now));
        ranked.sort_unstable_by_key(|(_, hash)| {
            std::cmp::Reverse(rendezvous::score(keys.chain, *hash))
        });
        ranked.into_iter().map(|(place, _)| place).collect()
    }
}
