//! The servers as one router knows them, and the choice among them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use juniper_registry::{Instance, InstanceId};
use juniper_types::Timestamp;

use crate::cost::{CostContext, ServerView};
use crate::health::{Health, Outcome};
use crate::homes::{Homes, PromptKeys};
use crate::load::{Load, ReadingSpeed};
use crate::request::ServerRequest;

/// Costs that differ by less count as equal, in milliseconds.
const NEAR_EQUAL_MS: f64 = 1.0;

/// Part of the first shared part that a server which isn't the home of the whole
/// chain is expected to keep.
const FIRST_PART_KEPT: f64 = 0.9;

/// What a server that is cold costs more, in milliseconds, at most.
const MAX_COLD_MS: f64 = 400.0;

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the home of the prompt's shared parts.
    Home,
    /// It keeps the first shared part; the home is busier or worse.
    FirstPart,
    /// It costs least.
    LeastCost,
    /// None is known to work; this one has rested longest.
    LastResort,
}

impl Reason {
    /// The reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Home => "home",
            Reason::FirstPart => "first_part",
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
    /// A server with the same weights that should have kept more of the prompt.
    pub source: Option<SocketAddrV4>,
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
}

impl Server {
    fn new(instance: Instance) -> Self {
        let hash = hash_of(instance.report.id.as_str());
        let (health, load) = (Health::default(), Load::default());
        Server { instance, hash, health, load, seen_version: 0, renewing: false }
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
    homes: Homes,
}

impl Placement {
    /// Knows no server yet. The router is in `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Placement {
            zone: zone.into(),
            servers: HashMap::new(),
            services: HashMap::new(),
            speeds: HashMap::new(),
            homes: Homes::default(),
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
        &mut self,
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
        let keys = request.prompt.and_then(|prompt| PromptKeys::of(prompt, request.sharing));
        let choice = self.cheapest(&working, request, keys.as_ref(), now, random);
        if let (Some(keys), Some(prompt)) = (keys, request.prompt) {
            self.homes.record(&keys, prompt.tokens, now);
        }
        choice
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
        keys: Option<&PromptKeys>,
        now: Timestamp,
        random: u64,
    ) -> Result<Choice, NoChoice> {
        let context = CostContext {
            speed: self.speeds.get(request.service).copied().unwrap_or_default(),
            objective: request.objective,
            mean_failures: mean_failures(servers, now),
            now,
        };
        let (kept, home) = self.expected_kept(servers, keys, now);
        let model = request.prompt.map_or("", |prompt| prompt.model.as_str());
        let tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
        let mut best: Option<(f64, u64, usize)> = None;
        for (place, server) in servers.iter().enumerate() {
            let missed_tokens = tokens.saturating_sub(kept[place].0);
            let cost = context.cost_ms(&self.view(server, missed_tokens));
            let tie = random.rotate_left(place as u32 * 7) ^ server.hash;
            let is_better = best.is_none_or(|(least, least_tie, _)| {
                cost < least - NEAR_EQUAL_MS || (cost < least + NEAR_EQUAL_MS && tie < least_tie)
            });
            if is_better {
                best = Some((cost, tie, place));
            }
        }
        let (cost_ms, _, place) = best.ok_or(NoChoice::NoServer)?;
        let (kept_tokens, reason) = kept[place];
        let report = &servers[place].instance.report;
        let version = servers[place].version_of(model);
        let source = home.filter(|home| *home != place).map(|home| servers[home]);
        let source = source.filter(|home| home.version_of(model) == version);
        Ok(Choice {
            instance: report.id.clone(),
            address: report.address,
            reason,
            cost_ms,
            kept_tokens: kept_tokens.min(tokens),
            missed_tokens: tokens.saturating_sub(kept_tokens),
            candidates: servers.len(),
            version,
            source: source.map(|home| home.instance.report.address),
        })
    }

    fn view<'a>(&self, server: &'a Server, missed_tokens: u32) -> ServerView<'a> {
        let report = &server.instance.report;
        ServerView {
            health: &server.health,
            load: server.load,
            slots: report.slots,
            same_zone: report.zone == self.zone,
            silent: server.instance.silent,
            cold_ms: (report.cold_remaining_ms as f64).min(MAX_COLD_MS),
            missed_tokens,
        }
    }

    /// Tokens that each server should have kept, and what it is for the prompt; and
    /// the home of the whole prompt.
    fn expected_kept(
        &self,
        servers: &[&Server],
        keys: Option<&PromptKeys>,
        now: Timestamp,
    ) -> (Vec<(u32, Reason)>, Option<usize>) {
        let mut kept = vec![(0, Reason::LeastCost); servers.len()];
        let Some(keys) = keys else { return (kept, None) };
        let hashes: Vec<(usize, u64)> =
            servers.iter().enumerate().map(|(place, server)| (place, server.hash)).collect();
        let ranked = self.homes.rank(keys, &hashes, now);
        let home = ranked.first().copied();
        for (rank, place) in ranked.into_iter().enumerate() {
            let first = (f64::from(keys.first_tokens) * FIRST_PART_KEPT) as u32;
            kept[place] = match rank {
                0 => (keys.chain_tokens, Reason::Home),
                _ => (first, Reason::FirstPart),
            };
        }
        (kept, home)
    }

    /// The request is sent to the chosen server.
    pub fn begin(&mut self, choice: &Choice, has_prompt: bool, now: Timestamp) -> Ticket {
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
    }
}

/// FNV-1a, the same in every process and version.
fn hash_of(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
