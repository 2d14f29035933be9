//! The servers as one router knows them, and the choice among them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_registry::{Instance, InstanceId};
use juniper_types::Timestamp;

use crate::cost::{CostContext, ServerView};
use crate::health::{Health, Outcome};
use crate::homes::ChainKeys;
use crate::lanes::{Lanes, is_long};
use crate::load::{Load, ReadingSpeed};
use crate::memory::MemoryTurnover;
use crate::recent::{ChainSighting, RecentChains};
use crate::request::ServerRequest;

/// Costs that differ by less count as equal, in milliseconds.
const NEAR_EQUAL_MS: f64 = 1.0;

/// Fewest shared tokens that are worth a move between servers.
const MIN_MOVED_TOKENS: u32 = 1_000;

/// Part of new shared parts that counts as read again where they don't go to their
/// home.
const ASTRAY_PART: u32 = 8;

/// What a server that is cold costs more, in milliseconds, at most.
const MAX_COLD_MS: f64 = 400.0;

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has the prompt's shared parts.
    Holder,
    /// It is meant to keep them; nobody has them.
    Home,
    /// It fetches them; who has them is busier or worse.
    Fetch,
    /// It costs least.
    LeastCost,
    /// None is known to work; this one has rested longest.
    LastResort,
}

impl Reason {
    /// The reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Holder => "holder",
            Reason::Home => "home",
            Reason::Fetch => "fetch",
            Reason::LeastCost => "least_cost",
            Reason::LastResort => "last_resort",
        }
    }
}

/// A chosen server.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Its life.
    pub instance: InstanceId,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Why it was chosen.
    pub reason: Reason,
    /// Expected cost, in milliseconds.
    pub cost_ms: f64,
    /// Tokens that it should have kept.
    pub kept_tokens: u32,
    /// Tokens that it has to read.
    pub missed_tokens: u32,
    /// Servers that were considered.
    pub candidates: usize,
    /// Version of the weights that it is known to have; zero without a model.
    pub version: u64,
    /// A server with the same weights, or the store, that should have kept more of
    /// the prompt.
    pub source: Option<SocketAddrV4>,
    /// The store that should get the prompt's parts once they are read.
    pub store: Option<SocketAddrV4>,
    /// Names the beginnings of the prompt's shared parts.
    pub keys: Vec<u64>,
    /// Tokens that it has to read or fetch.
    pub inserted_tokens: u32,
}

impl Choice {
    /// What other routers should know of the choice.
    pub fn sighting(&self) -> ChainSighting {
        let (instance, version) = (self.instance.clone(), self.version);
        let tokens = self.inserted_tokens;
        ChainSighting { instance, version, keys: self.keys.clone(), tokens }
    }

    /// Whether the prompt's shared parts are large enough to be moved.
    pub fn is_movable(&self) -> bool {
        self.store.is_some() || self.source.is_some()
    }
}

/// What moves of memory cost at a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceProfile {
    /// Time to move one token, in milliseconds; zero where nothing can be moved.
    pub move_ms: f64,
    /// Tokens that the memory of a server holds.
    pub cache_tokens: u64,
    /// The store of kept parts, if there is one.
    pub store: Option<SocketAddrV4>,
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoChoice {
    /// No server of the service is known.
    #[error("no server of the service is known")]
    NoServer,
    /// Every server failed this request already.
    #[error("every server failed this request already")]
    AllExcluded,
    /// Every server has older weights than may be used.
    #[error("every server has older weights than may be used")]
    OldWeights,
}

/// A request under way on a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    instance: InstanceId,
    missed_tokens: u32,
    has_prompt: bool,
    begun: Timestamp,
    had_output: bool,
}

#[derive(Clone, Debug)]
struct Server {
    instance: Instance,
    hash: u64,
    health: Health,
    load: Load,
    /// Highest version of weights that it answered with.
    seen_version: u64,
    /// It takes no new requests, because it is given new weights.
    renewing: bool,
    turnover: MemoryTurnover,
}

impl Server {
    fn new(instance: Instance) -> Self {
        let hash = hash_of(instance.report.id.as_str());
        let (health, load) = (Health::default(), Load::default());
        Server {
            instance,
            hash,
            health,
            load,
            seen_version: 0,
            renewing: false,
            turnover: MemoryTurnover::default(),
        }
    }

    fn version_of(&self, model: &str) -> u64 {
        self.instance.report.version_of(model).unwrap_or(0).max(self.seen_version)
    }
}

/// The servers as one router knows them.
#[derive(Clone, Debug)]
pub struct Placement {
    zone: String,
    servers: HashMap<InstanceId, Server>,
    services: HashMap<String, Vec<InstanceId>>,
    speeds: HashMap<String, ReadingSpeed>,
    profiles: HashMap<String, ServiceProfile>,
    recent: RecentChains,
    lanes: HashMap<String, Lanes>,
}

impl Placement {
    /// Knows no server yet. The router is in `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Placement {
            zone: zone.into(),
            servers: HashMap::new(),
            services: HashMap::new(),
            speeds: HashMap::new(),
            profiles: HashMap::new(),
            recent: RecentChains::default(),
            lanes: HashMap::new(),
        }
    }

    /// These servers, and no others, may be used from now on. What is known of
    /// those that stay is kept.
    pub fn set_instances(&mut self, instances: &[Instance]) {
        let mut servers = HashMap::with_capacity(instances.len());
        let mut services: HashMap<String, Vec<InstanceId>> = HashMap::new();
        for instance in instances {
            let id = instance.report.id.clone();
            let server = match self.servers.remove(&id) {
                Some(known) => Server { instance: instance.clone(), ..known },
                None => Server::new(instance.clone()),
            };
            services.entry(instance.report.service.clone()).or_default().push(id.clone());
            servers.insert(id, server);
        }
        self.servers = servers;
        self.services = services;
    }

    /// What moves of memory cost, by service.
    pub fn set_profiles(&mut self, profiles: HashMap<String, ServiceProfile>) {
        self.profiles = profiles;
    }

    /// These servers, and no others, take no new requests for now.
    pub fn set_renewing(&mut self, renewing: &BTreeSet<InstanceId>) {
        for (id, server) in &mut self.servers {
            server.renewing = renewing.contains(id);
        }
    }

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
        let works = |server: &&Server| !server.health.is_resting(now) && !server.renewing;
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

    /// The request is sent to the chosen server.
    pub fn begin(&mut self, choice: &Choice, has_prompt: bool, now: Timestamp) -> Ticket {
        let sighting = choice.sighting();
        self.sighted(&sighting, now);
        if has_prompt && let Some(server) = self.servers.get(&choice.instance) {
            let service = server.instance.report.service.clone();
            let tokens = choice.kept_tokens + choice.missed_tokens;
            self.lanes.entry(service).or_default().record(tokens, choice.missed_tokens, now);
        }
        if let Some(server) = self.servers.get_mut(&choice.instance) {
            server.load.begin(choice.missed_tokens);
        }
        Ticket {
            instance: choice.instance.clone(),
            missed_tokens: choice.missed_tokens,
            has_prompt,
            begun: now,
            had_output: false,
        }
    }

    /// Another router has sent shared parts to a server.
    pub fn sighted(&mut self, sighting: &ChainSighting, now: Timestamp) {
        self.recent.record(sighting, now);
        if let Some(server) = self.servers.get_mut(&sighting.instance) {
            server.turnover.record(sighting.tokens, now);
        }
    }

    /// The server has begun to answer.
    pub fn first_output(&mut self, ticket: &mut Ticket, now: Timestamp) {
        if std::mem::replace(&mut ticket.had_output, true) {
            return;
        }
        let took = now.since(ticket.begun);
        let Some(server) = self.servers.get_mut(&ticket.instance) else { return };
        server.load.first_output(ticket.missed_tokens);
        if !ticket.has_prompt {
            return;
        }
        let speed = self.speeds.entry(server.instance.report.service.clone()).or_default();
        let expected_ms = speed.ms_for(f64::from(ticket.missed_tokens));
        speed.record(ticket.missed_tokens, took);
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        server.health.record_delay(took.saturating_sub(expected), now);
    }

    /// The request has ended on its server.
    pub fn end(&mut self, mut ticket: Ticket, outcome: Outcome, now: Timestamp) {
        let Some(server) = self.servers.get_mut(&ticket.instance) else { return };
        if !std::mem::replace(&mut ticket.had_output, true) {
            server.load.first_output(ticket.missed_tokens);
        }
        server.load.end();
        server.health.record(outcome, now);
    }

    /// A server answered with weights of this version.
    pub fn saw_version(&mut self, instance: &InstanceId, version: u64) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.seen_version = server.seen_version.max(version);
        }
    }

    /// Version of the weights of `model` that a server is known to have.
    pub fn version_of(&self, instance: &InstanceId, model: &str) -> Option<u64> {
        self.servers.get(instance).map(|server| server.version_of(model))
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
    }
}

/// FNV-1a, the same in every process and version.
fn hash_of(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
