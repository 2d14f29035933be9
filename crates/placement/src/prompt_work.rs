//! What a prompt means for each server: what it keeps, reads, fetches and displaces.

use std::collections::HashMap;

use juniper_types::Timestamp;

use crate::choice::{Reason, ServiceProfile};
use crate::homes::ChainKeys;
use crate::lanes::is_long;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

/// Fewest shared tokens that are worth a move between servers.
const MIN_MOVED_TOKENS: u32 = 64;

/// Shared parts that nobody has, placed elsewhere than at their home, count as read
/// again by one part in so many: another router may be reading them at the home.
const OFF_HOME_DIVISOR: u32 = 8;

/// What a prompt means for one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptWork {
    /// Shared tokens that it should have read by now, so that others can fetch them.
    pub ready_tokens: u32,
    /// Tokens that it would have to read.
    pub missed_tokens: u32,
    /// Tokens of shared parts among those that some server has read already.
    pub reread_tokens: u32,
    /// Time to move the shared parts to it.
    pub move_ms: f64,
    /// Whether it belongs to the lane of prompts of the other length.
    pub other_lane: bool,
    /// Tokens that come into its memory.
    pub inserted_tokens: u32,
    /// Chance that what gives way to them would have been asked for again.
    pub displacement_loss: f64,
    /// Whether parts can be moved at all.
    pub can_move: bool,
    /// Index of a server that they can be moved from; others may have as much.
    pub source: Option<usize>,
    /// Why this server would be chosen.
    pub reason: Reason,
}

impl Default for PromptWork {
    fn default() -> Self {
        PromptWork {
            ready_tokens: 0,
            missed_tokens: 0,
            reread_tokens: 0,
            move_ms: 0.0,
            other_lane: false,
            inserted_tokens: 0,
            displacement_loss: 0.0,
            can_move: false,
            source: None,
            reason: Reason::LeastCost,
        }
    }
}

impl PromptWork {
    /// Whether the parts that the server reads should be saved in a store. A server sends
    /// everything that it has read, the request's own part too, which nobody will ask for: it takes
    /// the store's link and room. So the server has to read shared parts, and those have to be
    /// most of the prompt.
    pub(crate) fn is_worth_saving(&self, tokens: u32, shared_tokens: u32) -> bool {
        let own_tokens = tokens.saturating_sub(shared_tokens);
        self.missed_tokens > own_tokens && tokens < 2 * shared_tokens
    }
}

impl Placement {
    /// What the prompt means for each server.
    pub(crate) fn prompt_works(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        chain: &ChainKeys,
        now: Timestamp,
    ) -> Vec<PromptWork> {
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let all = chain.all_tokens();
        let other_lane = self.other_lane(servers, request, now);
        let ServiceProfile { move_ms, cache_tokens, .. } = *self.profile(request.service);
        let can_move = move_ms > 0.0 && all >= MIN_MOVED_TOKENS;
        let home = chain.home(servers.iter().map(|server| server.hash));
        let versions: Vec<u64> = servers.iter().map(|server| server.version_of(model)).collect();
        let kept = shared_tokens(servers, &versions, chain, |server, version, key| {
            server.kept.holds(version, key)
        });
        let ready = shared_tokens(servers, &versions, chain, |server, version, key| {
            server.kept.has_read(version, key, now)
        });
        let holders = best_holders(&versions, &ready);
        let nobody_has_any = kept.iter().all(|tokens| *tokens == 0);
        let work = |index: usize| {
            let own = kept[index];
            let holder = holders.get(&versions[index]).copied();
            let source = holder.filter(|holder| can_move && ready[*holder] > own);
            let fetched = source.map_or(0, |source| ready[source] - own);
            let missed = all - own - fetched;
            let is_home = home == Some(index);
            let reread = match (is_home, nobody_has_any) {
                (true, _) => 0,
                (false, true) => missed / OFF_HOME_DIVISOR,
                (false, false) => missed,
            };
            PromptWork {
                ready_tokens: ready[index],
                missed_tokens: tokens.saturating_sub(own + fetched),
                reread_tokens: reread,
                move_ms: move_ms * f64::from(fetched),
                other_lane: other_lane[index],
                inserted_tokens: tokens.saturating_sub(own),
                displacement_loss: servers[index].turnover.loss(cache_tokens, now),
                can_move,
                source,
                reason: match (own > 0, fetched > 0, is_home) {
                    (true, false, _) => Reason::Holder,
                    (_, true, _) => Reason::Fetch,
                    (false, false, true) => Reason::Home,
                    (false, false, false) => Reason::LeastCost,
                },
            }
        };
        (0..servers.len()).map(work).collect()
    }

    /// Whether each server belongs to the lane of prompts of the other length. The
    /// lanes are parts of all servers, so that they stay the same while some are
    /// renewed or can't be reached.
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

/// The server that has most of the prompt, by version of weights. Looked for once: to look
/// anew for each server would take the square of their number.
fn best_holders(versions: &[u64], kept: &[u32]) -> HashMap<u64, usize> {
    let mut holders: HashMap<u64, usize> = HashMap::new();
    for (index, version) in versions.iter().enumerate() {
        let best = holders.entry(*version).or_insert(index);
        if kept[index] >= kept[*best] {
            *best = index;
        }
    }
    holders
}

/// Shared tokens that each server has, where `has` tells whether it has a beginning of the chain.
fn shared_tokens(
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
