//! The search for the server that costs least.

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::choice::{Choice, NoChoice, Reason, ServiceProfile};
use crate::cost::{CostContext, ServerView};
use crate::homes::ChainKeys;
use crate::lanes::is_long;
use crate::placement::Placement;
use crate::request::ServerRequest;
use crate::server::Server;

/// Costs that differ by less count as equal, in milliseconds.
const NEAR_EQUAL_MS: f64 = 1.0;

/// Fewest shared tokens that are worth a move between servers.
const MIN_MOVED_TOKENS: u32 = 1_000;

/// Part of new shared parts that counts as read again where they don't go to their
/// home.
const ASTRAY_PART: u32 = 8;

/// What a server that is cold costs more, in milliseconds, at most.
const MAX_COLD_MS: f64 = 400.0;

impl Placement {
    /// Chooses a server for the request.
    ///
    /// # Errors
    /// A [`NoChoice`] when none may be used.
    pub fn choose(
        &self,
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, NoChoice> {
        let members = self.services.get(request.service).map_or(&[][..], Vec::as_slice);
        if members.is_empty() {
            return Err(NoChoice::NoServer);
        }
        let candidates = self.candidates(members, request)?;
        let denies = |server: &Server| {
            let version = request.prompt.map(|prompt| server.version_of(&prompt.model));
            version.is_some_and(|version| server.health.denies(version, now))
        };
        let works = |server: &&Server| {
            !server.health.is_backing_off(now) && !server.renewing && !denies(server)
        };
        let working: Vec<&Server> = candidates.iter().copied().filter(works).collect();
        if working.is_empty() {
            return Ok(last_resort(&candidates, request, random));
        }
        self.cheapest(&working, request, now, random)
    }

    /// The servers that the request may be sent to at all.
    fn candidates(
        &self,
        members: &[InstanceId],
        request: &ServerRequest<'_>,
    ) -> Result<Vec<&Server>, NoChoice> {
        let known = members.iter().filter_map(|id| self.servers.get(id));
        let known: Vec<&Server> = known.filter(|server| !server.health.replaced).collect();
        if known.is_empty() {
            return Err(NoChoice::NoServer);
        }
        let mut fresh: Vec<&Server> = known;
        if let Some(prompt) = request.prompt {
            fresh.retain(|server| server.version_of(&prompt.model) >= request.min_version);
            if fresh.is_empty() {
                return Err(NoChoice::OldWeights);
            }
        }
        fresh.retain(|server| !request.excluded.contains(&server.instance.report.id));
        match fresh.is_empty() {
            true => Err(NoChoice::AllExcluded),
            false => Ok(fresh),
        }
    }

    fn cheapest(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, NoChoice> {
        let context = CostContext {
            speed: self.speeds.get(request.service).copied().unwrap_or_default(),
            objective: request.objective,
            mean_failures: mean_failures(servers, now),
            now,
        };
        let chain = request.prompt.map(|prompt| ChainKeys::of(prompt, request.sharing));
        let chain = chain.unwrap_or_default();
        let works = self.works(servers, request, &chain, now);
        let mut best: Option<(f64, u64, usize)> = None;
        for (place, server) in servers.iter().enumerate() {
            let cost = context.cost_ms(&self.view(server, works[place]));
            let tie = random.rotate_left(place as u32 * 7) ^ server.hash;
            let is_better = best.is_none_or(|(least, least_tie, _)| {
                cost < least - NEAR_EQUAL_MS || (cost < least + NEAR_EQUAL_MS && tie < least_tie)
            });
            if is_better {
                best = Some((cost, tie, place));
            }
        }
        let (cost_ms, _, place) = best.ok_or(NoChoice::NoServer)?;
        let found = Found { place, work: works[place], cost_ms };
        Ok(self.decision(servers, request, chain, found))
    }

    fn decision(
        &self,
        servers: &[&Server],
        request: &ServerRequest<'_>,
        chain: ChainKeys,
        found: Found,
    ) -> Choice {
        let Found { place, work, cost_ms } = found;
        let server = servers[place];
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let version = server.version_of(model);
        let store = self.profile(request.service).store.filter(|_| work.can_move);
        let holder = work.source.map(|place| servers[place].instance.report.address);
        Choice {
            instance: server.instance.report.id.clone(),
            address: server.instance.report.address,
            reason: work.reason,
            cost_ms,
            kept_tokens: tokens.saturating_sub(work.missed_tokens),
            missed_tokens: work.missed_tokens,
            candidates: servers.len(),
            version,
            source: holder.or(store).filter(|_| work.can_move),
            // A store full of what nobody shares has no room for what is shared.
            store: store.filter(|_| tokens < 2 * chain.all_tokens()),
            keys: chain.keys,
            inserted_tokens: work.inserted_tokens,
            is_movable: work.can_move,
        }
    }

    fn profile(&self, service: &str) -> ServiceProfile {
        self.profiles.get(service).copied().unwrap_or_default()
    }

    /// What the prompt means for each server.
    fn works(
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
        let ServiceProfile { move_ms, cache_tokens, .. } = self.profile(request.service);
        let can_move = move_ms > 0.0 && all >= MIN_MOVED_TOKENS;
        let home = chain.home(servers.iter().map(|server| server.hash));
        let kept = self.kept_tokens(servers, chain, model, now);
        let nobody_has_any = kept.iter().all(|tokens| *tokens == 0);
        let work = |place: usize| {
            let own = kept[place];
            let source = self.source(servers, &kept, place, model).filter(|_| can_move);
            let fetched = source.map_or(0, |source| kept[source] - own);
            let missed = all - own - fetched;
            let is_home = home == Some(place);
            let astray = match (is_home, nobody_has_any) {
                (true, _) => 0,
                // Only a router that asks at the same moment would look at the home.
                (false, true) => missed / ASTRAY_PART,
                (false, false) => missed,
            };
            PromptWork {
                missed_tokens: tokens.saturating_sub(own + fetched),
                shared_missed: astray,
                move_ms: move_ms * f64::from(fetched),
                other_lane: other_lane[place],
                inserted_tokens: tokens.saturating_sub(own),
                loss: servers[place].turnover.loss(cache_tokens, now),
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

    /// Shared tokens that each server should have, by what was sent there lately.
    fn kept_tokens(
        &self,
        servers: &[&Server],
        chain: &ChainKeys,
        model: &str,
        now: Timestamp,
    ) -> Vec<u32> {
        let mut kept = vec![0; servers.len()];
        for (key, tokens) in chain.keys.iter().zip(&chain.tokens) {
            for (place, server) in servers.iter().enumerate() {
                let version = server.version_of(model);
                let mut holders = self.recent.holders(*key, version, now);
                if holders.any(|holder| *holder == server.instance.report.id) {
                    kept[place] = *tokens;
                }
            }
        }
        kept
    }

    /// The server with the same weights that has most of what `place` lacks.
    fn source(
        &self,
        servers: &[&Server],
        kept: &[u32],
        place: usize,
        model: &str,
    ) -> Option<usize> {
        let version = servers[place].version_of(model);
        let has_more = |other: &usize| {
            kept[*other] > kept[place] && servers[*other].version_of(model) == version
        };
        (0..servers.len()).filter(has_more).max_by_key(|other| kept[*other])
    }

    fn view<'a>(&self, server: &'a Server, work: PromptWork) -> ServerView<'a> {
        let report = &server.instance.report;
        ServerView {
            health: &server.health,
            load: server.load,
            slots: report.slots,
            same_zone: report.zone == self.zone,
            silent: server.instance.silent,
            cold_ms: (report.cold_remaining_ms as f64).min(MAX_COLD_MS),
            missed_tokens: work.missed_tokens,
            shared_missed: work.shared_missed,
            move_ms: work.move_ms,
            other_lane: work.other_lane,
            displaced: f64::from(work.inserted_tokens) * work.loss,
        }
    }
}

/// The server that costs least.
struct Found {
    place: usize,
    work: PromptWork,
    cost_ms: f64,
}

/// What a prompt means for one server.
#[derive(Clone, Copy, Debug)]
struct PromptWork {
    /// Tokens that it would have to read.
    missed_tokens: u32,
    /// Tokens of shared parts among those.
    shared_missed: u32,
    /// Time to move the shared parts to it.
    move_ms: f64,
    /// Whether it belongs to the lane of prompts of the other length.
    other_lane: bool,
    /// Tokens that come into its memory.
    inserted_tokens: u32,
    /// Chance that what gives way to them would have been asked for again.
    loss: f64,
    /// Whether parts can be moved at all.
    can_move: bool,
    /// Place of the server to move them from.
    source: Option<usize>,
    reason: Reason,
}

impl Default for PromptWork {
    fn default() -> Self {
        PromptWork {
            missed_tokens: 0,
            shared_missed: 0,
            move_ms: 0.0,
            other_lane: false,
            inserted_tokens: 0,
            loss: 0.0,
            can_move: false,
            source: None,
            reason: Reason::LeastCost,
        }
    }
}

fn mean_failures(servers: &[&Server], now: Timestamp) -> f64 {
    let sum: f64 = servers.iter().map(|server| server.health.failure_share(now)).sum();
    sum / servers.len().max(1) as f64
}

/// Any of the servers, when none is known to work: it may work again.
fn last_resort(candidates: &[&Server], request: &ServerRequest<'_>, random: u64) -> Choice {
    let place = (random % candidates.len().max(1) as u64) as usize;
    let report = &candidates[place].instance.report;
    Choice {
        instance: report.id.clone(),
        address: report.address,
        reason: Reason::LastResort,
        cost_ms: 0.0,
        kept_tokens: 0,
        missed_tokens: request.prompt.map_or(0, |prompt| prompt.tokens),
        candidates: candidates.len(),
        version: request.prompt.map_or(0, |prompt| candidates[place].version_of(&prompt.model)),
        source: None,
        store: None,
        keys: Vec::new(),
        inserted_tokens: 0,
        is_movable: false,
    }
}
