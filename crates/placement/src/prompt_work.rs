//! Work that a prompt causes on each server: cache hits, prefill, KV transfer and evictions.

use std::collections::HashMap;

use juniper_types::Timestamp;

use crate::cached_segments::CachedWeights;
use crate::choice::{Reason, ServiceProfile};
use crate::homes::ChainKeys;
use crate::lanes::is_long;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

/// Minimum shared tokens for a KV transfer between servers.
const MIN_TRANSFER_TOKENS: u32 = 64;

/// Uncached shared segments that are placed away from their home count as recomputed at one part in
/// this many: another router may be computing them at the home.
const OFF_HOME_DIVISOR: u32 = 8;

/// Work that a prompt causes on one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptWork {
    /// Shared tokens whose prefill is expected to be complete, so that other servers can fetch
    /// them.
    pub ready_tokens: u32,
    /// Prompt tokens that the server must compute.
    pub prefill_tokens: u32,
    /// Shared tokens among those that are already cached on some server.
    pub recomputed_tokens: u32,
    /// Time to transfer shared segments to the server, in milliseconds.
    pub transfer_ms: f64,
    /// Whether the server belongs to the lane for prompts of the other length.
    pub other_lane: bool,
    /// Tokens inserted into the server's cache.
    pub inserted_tokens: u32,
    /// Probability that the tokens evicted for them would have been requested again.
    pub eviction_loss: f64,
    /// Whether KV transfer is available and worthwhile.
    pub can_transfer: bool,
    /// Index of a server to fetch segments from; other servers may have as many.
    pub source: Option<usize>,
    /// Why this server would be chosen.
    pub reason: Reason,
}

impl Default for PromptWork {
    fn default() -> Self {
        PromptWork {
            ready_tokens: 0,
            prefill_tokens: 0,
            recomputed_tokens: 0,
            transfer_ms: 0.0,
            other_lane: false,
            inserted_tokens: 0,
            eviction_loss: 0.0,
            can_transfer: false,
            source: None,
            reason: Reason::LeastCost,
        }
    }
}

impl PromptWork {
    /// Whether the computed segments should be saved in a store. The server saves the whole prompt
    /// including its unshared end, which takes up bandwidth and space of the store. So shared
    /// segments must be computed, and they must be most of the prompt.
    pub(crate) fn should_store(&self, tokens: u32, shared_tokens: u32) -> bool {
        let own_tokens = tokens.saturating_sub(shared_tokens);
        self.prefill_tokens > own_tokens && tokens < 2 * shared_tokens
    }
}

impl Placement {
    /// Computes the work that the prompt causes on each server.
    pub(crate) fn prompt_work(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        chain: &ChainKeys,
        now: Timestamp,
    ) -> Vec<PromptWork> {
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let shared_tokens = chain.all_tokens();
        let other_lane = self.other_lane(servers, request, now);
        let ServiceProfile { transfer_ms_per_token, cache_tokens, .. } =
            *self.profile(request.service);
        let can_transfer = transfer_ms_per_token > 0.0 && shared_tokens >= MIN_TRANSFER_TOKENS;
        let home = chain.home(servers.iter().map(|server| server.hash));
        let versions: Vec<u64> = servers.iter().map(|server| server.version_of(model)).collect();
        let cached = tokens_by_server(servers, &versions, chain, |server, version, key| {
            let weights = CachedWeights { model: server.cache_model(model), version };
            server.cached.contains(weights, key)
        });
        let ready = tokens_by_server(servers, &versions, chain, |server, version, key| {
            let weights = CachedWeights { model: server.cache_model(model), version };
            server.cached.is_computed(weights, key, now)
        });
        let holders = best_holders(&versions, &ready);
        let is_uncached = cached.iter().all(|tokens| *tokens == 0);
        let work = |index: usize| {
            let cached_tokens = cached[index];
            let holder = holders.get(&versions[index]).copied();
            let source = holder.filter(|holder| can_transfer && ready[*holder] > cached_tokens);
            let transferred = source.map_or(0, |source| ready[source] - cached_tokens);
            let uncached = shared_tokens - cached_tokens - transferred;
            let is_home = home == Some(index);
            let recomputed = match (is_home, is_uncached) {
                (true, _) => 0,
                (false, true) => uncached / OFF_HOME_DIVISOR,
                (false, false) => uncached,
            };
            PromptWork {
                ready_tokens: ready[index],
                prefill_tokens: tokens.saturating_sub(cached_tokens + transferred),
                recomputed_tokens: recomputed,
                transfer_ms: transfer_ms_per_token * f64::from(transferred),
                other_lane: other_lane[index],
                inserted_tokens: tokens.saturating_sub(cached_tokens),
                eviction_loss: servers[index].turnover.eviction_loss(cache_tokens, now),
                can_transfer,
                source,
                reason: match (cached_tokens > 0, transferred > 0, is_home) {
                    (true, false, _) => Reason::Holder,
                    (_, true, _) => Reason::Fetch,
                    (false, false, true) => Reason::Home,
                    (false, false, false) => Reason::LeastCost,
                },
            }
        };
        (0..servers.len()).map(work).collect()
    }

    /// For each server, whether it belongs to the lane for prompts of the other length. Lanes
    /// divide all servers, including unreachable and renewing ones, so that they don't change with
    /// availability.
    fn other_lane(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        now: Timestamp,
    ) -> Vec<bool> {
        let none = vec![false; servers.len()];
        let Some(prompt) = request.prompt else { return none };
        let Some(lanes) = self.lanes.get(request.service) else { return none };
        let members = self.services.get(request.service).map_or(&[][..], Vec::as_slice);
        let members = members.iter().filter_map(|id| self.servers.get(id));
        let mut hashes: Vec<u64> =
            members.filter(|server| !server.health.replaced).map(|server| server.hash).collect();
        hashes.sort_unstable();
        let short = lanes.short_servers(hashes.len(), now);
        let first_long = hashes.get(short).copied();
        let wants_long = is_long(prompt.tokens);
        let is_other = |server: &&Server| {
            let is_long_lane = first_long.is_some_and(|first| server.hash >= first);
            is_long_lane != wants_long
        };
        servers.iter().map(is_other).collect()
    }
}

/// The server with most of the prompt in its cache, for each version of the weights. Computed once
/// for all servers, as searching per server would take quadratic time.
fn best_holders(versions: &[u64], cached: &[u32]) -> HashMap<u64, usize> {
    let mut holders: HashMap<u64, usize> = HashMap::new();
    for (index, version) in versions.iter().enumerate() {
        let best = holders.entry(*version).or_insert(index);
        if cached[index] >= cached[*best] {
            *best = index;
        }
    }
    holders
}

/// For each server, the tokens of the longest prefix for which `has` holds.
fn tokens_by_server(
    servers: &[&Server],
    versions: &[u64],
    chain: &ChainKeys,
    has: impl Fn(&Server, u64, u64) -> bool,
) -> Vec<u32> {
    let of_server = |(server, version): (&&Server, &u64)| {
        let mut longest_first = chain.keys.iter().zip(&chain.tokens).rev();
        let held = longest_first.find(|(key, _)| has(server, *version, **key));
        held.map_or(0, |(_, tokens)| *tokens)
    };
    servers.iter().zip(versions).map(of_server).collect()
}
