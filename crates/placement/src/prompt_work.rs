//! Work that a prompt causes on each server: cache hits, prefill, KV transfer and evictions.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_types::Timestamp;

use crate::cache::stored_segments::is_worth_storing;
use crate::cache::transfer_sources::Transfer;
use crate::choice::{Reason, ServiceProfile};
use crate::homes::ChainKeys;
use crate::lanes::is_long;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

/// Minimum shared tokens for a KV transfer between servers.
pub(crate) const MIN_TRANSFER_TOKENS: u32 = 64;

/// Uncached shared segments that are placed away from their home count as recomputed at one part in
/// this many: another router may be computing them at the home.
const OFF_HOME_DIVISOR: u32 = 8;

/// Time that a server spends on asking a store for segments that it doesn't have, in milliseconds.
const STORE_MISS_MS: f64 = 1.0;

/// Initial cost of a server that has just started, relative to the objective. All routers learn of
/// an idle server at once, and would all send to it until they see each other's dispatches.
/// Selection draws only among servers of nearly equal cost, which an idle server isn't.
const SLOW_START_SHARE: f64 = 0.25;

/// Time in which the cost of a started server falls to zero: several report delays, so that the
/// prompts that gain most from an idle server come first and are seen by all routers.
const SLOW_START_TIME: Duration = Duration::from_millis(400);

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
    /// Store to fetch segments from instead.
    pub source_store: Option<SocketAddrV4>,
    /// Cost of a server that has just started, in milliseconds.
    pub slow_start_ms: f64,
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
            source_store: None,
            slow_start_ms: 0.0,
            reason: Reason::LeastCost,
        }
    }
}

impl PromptWork {
    /// Whether the computed segments should be saved in a store.
    pub(crate) fn should_store(&self, tokens: u32, shared_tokens: u32) -> bool {
        let own_tokens = tokens.saturating_sub(shared_tokens);
        is_worth_storing(self.prefill_tokens, own_tokens, shared_tokens)
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
        let profile = self.profile(request.service);
        let ServiceProfile { transfer_ms_per_token, cache_tokens, is_tight, .. } = *profile;
        let can_transfer = transfer_ms_per_token > 0.0 && shared_tokens >= MIN_TRANSFER_TOKENS;
        let home = chain.home(servers.iter().map(|server| server.hash));
        let versions: Vec<u64> = servers.iter().map(|server| server.version_of(model)).collect();
        let cached = tokens_by_server(servers, &versions, chain, |server, version, key| {
            server.cached.contains(version, key)
        });
        let ready = tokens_by_server(servers, &versions, chain, |server, version, key| {
            server.cached.is_computed(version, key, now)
        });
        let holders = best_holders(&versions, &ready);
        let is_uncached = cached.iter().all(|tokens| *tokens == 0);
        let sources = (is_tight && can_transfer).then(|| {
            let ready = (versions.as_slice(), ready.as_slice());
            self.transfer_sources(request.service, servers, ready, chain, now)
        });
        let restoration_share = self.restoration_share(request.service, chain, now);
        let can_miss = is_tight && can_transfer && !profile.stores.is_empty();
        let work = |index: usize| {
            let cached_tokens = cached[index];
            let transfer = match &sources {
                _ if !can_transfer => Transfer::default(),
                Some(sources) => sources.best(servers[index], versions[index], cached_tokens),
                None => {
                    let holder = holders.get(&versions[index]).copied();
                    let server = holder.filter(|holder| ready[*holder] > cached_tokens);
                    let tokens = server.map_or(0, |server| ready[server] - cached_tokens);
                    let ms = transfer_ms_per_token * f64::from(tokens);
                    Transfer { tokens, ms, server, store: None }
                }
            };
            let transferred = transfer.tokens;
            let uncached = shared_tokens - cached_tokens - transferred;
            let is_miss = can_miss && transferred == 0 && uncached > 0;
            let is_home = home == Some(index);
            let recomputed = match (is_home, is_uncached) {
                (true, _) => 0,
                (false, true) => match restoration_share {
                    Some(share) => (f64::from(uncached) * share) as u32,
                    None => uncached / OFF_HOME_DIVISOR,
                },
                (false, false) => uncached,
            };
            PromptWork {
                ready_tokens: ready[index],
                prefill_tokens: tokens.saturating_sub(cached_tokens + transferred),
                recomputed_tokens: recomputed,
                transfer_ms: transfer.ms + if is_miss { STORE_MISS_MS } else { 0.0 },
                other_lane: other_lane[index],
                inserted_tokens: tokens.saturating_sub(cached_tokens),
                eviction_loss: servers[index].turnover.eviction_loss(cache_tokens, now),
                can_transfer,
                source: transfer.server,
                source_store: transfer.store,
                slow_start_ms: if is_tight {
                    slow_start_ms(servers[index], request.objective, now)
                } else {
                    0.0
                },
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

    /// Share of the prompt's uncached segments that counts as recomputed away from their home, if
    /// many servers were lost recently and the segments may be among what they held.
    fn restoration_share(&self, service: &str, chain: &ChainKeys, now: Timestamp) -> Option<f64> {
        let key = chain.keys.last()?;
        if !self.losses.get(service)?.is_active(now) {
            return None;
        }
        self.demand.restoration_share(*key, now)
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

/// Cost of a server that has just started, in milliseconds.
fn slow_start_ms(server: &Server, objective: Duration, now: Timestamp) -> f64 {
    let Some(listed_at) = server.listed_at else { return 0.0 };
    let passed = now.since(listed_at).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
    objective.as_secs_f64() * 1_000.0 * SLOW_START_SHARE * (1.0 - passed).max(0.0)
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
