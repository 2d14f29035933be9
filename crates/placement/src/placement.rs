//! The servers as one router knows them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::{Departures, Instance, InstanceId, InstanceMap, InstanceName};
use juniper_types::{NodeId, Timestamp};

use crate::choice::{Choice, ServiceProfile, Ticket};
use crate::fleet_load::is_forgotten;
use crate::health::Outcome;
use crate::kept_parts::SentParts;
use crate::lanes::Lanes;
use crate::load::ReadingSpeed;
use crate::reports::Reporter;
use crate::rest::Rests;
use crate::server::Server;
use crate::sighting::{ChainSighting, ToldRequest};

/// Most that a server may be still to read, relative to a prompt, for the time to that prompt's
/// first output to tell how fast servers read. Beyond it the time tells how long the queue is.
const MAX_PART_AHEAD: f64 = 0.25;

/// Requests of others below which forgotten ones aren't looked for. The fleet designed for has some
/// thousands under way.
const LEAST_TOLD: usize = 4_096;

/// Stands for this router in the names of its own requests; no router has this number.
const THIS_ROUTER: NodeId = NodeId(0);

/// The servers as one router knows them.
#[derive(Clone, Debug)]
pub struct Placement {
    pub(crate) zone: String,
    /// The servers that may be used, as they were taken over last.
    known: InstanceMap,
    pub(crate) servers: HashMap<InstanceName, Server>,
    pub(crate) services: HashMap<String, Vec<InstanceName>>,
    renewing: BTreeSet<InstanceId>,
    pub(crate) rests: Rests,
    /// Servers that said themselves that they leave.
    pub(crate) departures: Departures,
    /// Servers in view that have asked for something.
    pub(crate) marked: BTreeSet<InstanceName>,
    pub(crate) speeds: HashMap<String, ReadingSpeed>,
    pub(crate) profiles: HashMap<String, ServiceProfile>,
    pub(crate) lanes: HashMap<String, Lanes>,
    /// Servers of the requests that other routers told of, with the time of each.
    told: HashMap<ToldRequest, (InstanceId, Timestamp)>,
    /// Number of requests told of at which forgotten ones are looked for.
    look_at: usize,
    /// Number of the latest request of this router.
    last_own: u16,
}

impl Placement {
    /// Knows no server yet. The router is in `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Placement {
            zone: zone.into(),
            known: InstanceMap::default(),
            servers: HashMap::new(),
            services: HashMap::new(),
            renewing: BTreeSet::new(),
            rests: Rests::default(),
            departures: Departures::default(),
            marked: BTreeSet::new(),
            speeds: HashMap::new(),
            profiles: HashMap::new(),
            lanes: HashMap::new(),
            told: HashMap::new(),
            look_at: LEAST_TOLD,
            last_own: 0,
        }
    }

    /// These servers, and no others, may be used from now on. What is known of those that stay is
    /// kept; of one that has started again nothing is. The work is in proportion to what changes,
    /// and not to the servers that there are.
    pub fn set_instances(&mut self, instances: &InstanceMap) {
        let changes = instances.changes_from(&self.known);
        changes.removed.iter().for_each(|name| self.remove(name));
        changes.changed.into_iter().for_each(|instance| self.take_in(instance));
        self.known = instances.clone();
    }

    fn take_in(&mut self, instance: Arc<Instance>) {
        let name = instance.id.name();
        let service = &instance.report.service;
        if let Some(known) = self.servers.get_mut(name) {
            let stays = known.instance.id == instance.id;
            if stays && known.instance.report.service == *service {
                known.instance = instance;
                return;
            }
        }
        self.remove(name);
        let members = self.services.entry(service.clone()).or_default();
        members.push(name.clone());
        let place = members.len() - 1;
        let mut server = Server::new(Arc::clone(&instance), place);
        server.renewing = self.renewing.contains(&instance.id);
        self.mark_new(&mut server);
        self.servers.insert(name.clone(), server);
    }

    fn remove(&mut self, name: &InstanceName) {
        let Some(server) = self.servers.remove(name) else { return };
        self.marked.remove(name);
        let service = &server.instance.report.service;
        let Some(members) = self.services.get_mut(service) else { return };
        members.swap_remove(server.place);
        if let Some(moved) = members.get(server.place)
            && let Some(moved) = self.servers.get_mut(moved)
        {
            moved.place = server.place;
        }
    }

    /// What is known of an incarnation, if it may be used.
    pub(crate) fn server(&self, id: &InstanceId) -> Option<&Server> {
        self.servers.get(id.name()).filter(|server| server.instance.id.is_same(id))
    }

    pub(crate) fn server_mut(&mut self, id: &InstanceId) -> Option<&mut Server> {
        incarnation(&mut self.servers, id)
    }

    /// What moves of memory cost, by service.
    pub fn set_profiles(&mut self, profiles: HashMap<String, ServiceProfile>) {
        self.profiles = profiles;
    }

    /// These servers, and no others, take no new requests for now.
    pub fn set_renewing(&mut self, renewing: &BTreeSet<InstanceId>) {
        if self.renewing == *renewing {
            return;
        }
        let former = std::mem::replace(&mut self.renewing, renewing.clone());
        for id in former.symmetric_difference(renewing) {
            if let Some(server) = self.server_mut(id) {
                server.renewing = renewing.contains(id);
            }
        }
    }

    /// The request is sent to the chosen server.
    pub fn begin(&mut self, choice: &Choice, has_prompt: bool, now: Timestamp) -> Ticket {
        let tokens_ahead = self.tokens_ahead(&choice.instance, now);
        self.last_own = self.last_own.wrapping_add(1);
        let request = ToldRequest { router: THIS_ROUTER, number: self.last_own };
        self.note_sent(Some(request), &choice.sighting(), now);
        if has_prompt && let Some(server) = self.server(&choice.instance) {
            let service = server.instance.report.service.clone();
            let tokens = choice.kept_tokens + choice.missed_tokens;
            self.lanes.entry(service).or_default().record(tokens, choice.missed_tokens, now);
        }
        if let Some(server) = self.server_mut(&choice.instance) {
            server.load.begin(choice.tokens_in_line());
        }
        Ticket {
            instance: choice.instance.clone(),
            missed_tokens: choice.tokens_in_line(),
            // The time of one that gives way tells nothing of the server.
            is_measured: has_prompt && !choice.is_late,
            begun: now,
            had_output: false,
            request,
            tokens_ahead,
        }
    }

    /// Tokens that a server is still to read, as far as routers tell each other.
    fn tokens_ahead(&self, instance: &InstanceId, now: Timestamp) -> f64 {
        let Some(server) = self.server(instance) else { return 0.0 };
        let speed = self.speeds.get(&server.instance.report.service).copied().unwrap_or_default();
        server.fleet_load.waiting_tokens(speed, now)
    }

    /// A request was sent to a server. Its end will not be told of.
    pub fn sighted(&mut self, sighting: &ChainSighting, now: Timestamp) {
        self.note_sent(None, sighting, now);
    }

    /// Another router has sent a request to a server, and will tell of its end.
    pub fn heard_sent(&mut self, request: ToldRequest, sighting: &ChainSighting, now: Timestamp) {
        if self.told.len() >= self.look_at {
            self.told.retain(|_, (_, begun)| !is_forgotten(*begun, now));
            self.look_at = (self.told.len() * 2).max(LEAST_TOLD);
        }
        self.told.insert(request, (sighting.instance.clone(), now));
        self.note_sent(Some(request), sighting, now);
    }

    fn note_sent(
        &mut self,
        request: Option<ToldRequest>,
        sighting: &ChainSighting,
        now: Timestamp,
    ) {
        let Some(server) = incarnation(&mut self.servers, &sighting.instance) else { return };
        server.turnover.record(sighting.tokens, now);
        let service = &server.instance.report.service;
        let speed = self.speeds.get(service).copied().unwrap_or_default();
        server.fleet_load.begin(request, sighting.read_tokens, speed, now);
        if sighting.keys.is_empty() && sighting.own_tokens == 0 {
            return;
        }
        let capacity = self.profiles.get(service).map_or(0, |profile| profile.cache_tokens);
        let parts = SentParts {
            keys: &sighting.keys,
            tokens: &sighting.part_tokens,
            own_tokens: sighting.own_tokens,
            read_at: now.after(speed.time_for(server.fleet_load.waiting_tokens(speed, now))),
        };
        server.kept.record(sighting.version, parts, capacity);
    }

    /// A request that another router had told of has ended.
    pub fn heard_end(&mut self, request: ToldRequest) {
        let Some((instance, _)) = self.told.remove(&request) else { return };
        if let Some(server) = self.server_mut(&instance) {
            server.fleet_load.end(request);
        }
    }

    /// Another router has tried to reach the server. Returns whether the server counts as
    /// unreachable from now on and did not before.
    pub fn heard_reachability(
        &mut self,
        reporter: Reporter<'_>,
        instance: &InstanceId,
        reached: bool,
        now: Timestamp,
    ) -> bool {
        let Some(server) = incarnation(&mut self.servers, instance) else { return false };
        if reached {
            server.reports.reached();
            return false;
        }
        let was_believed = server.reports.are_believed(&self.zone, now);
        server.reports.unreachable(reporter, now);
        !was_believed && server.reports.are_believed(&self.zone, now)
    }

    /// The server has begun to answer.
    pub fn first_output(&mut self, ticket: &mut Ticket, now: Timestamp) {
        if std::mem::replace(&mut ticket.had_output, true) {
            return;
        }
        let took = now.since(ticket.begun);
        let Some(server) = incarnation(&mut self.servers, &ticket.instance) else { return };
        server.reports.reached();
        server.load.first_output(ticket.missed_tokens);
        if !ticket.is_measured {
            return;
        }
        let speed = self.speeds.entry(server.instance.report.service.clone()).or_default();
        let expected_ms = speed.ms_for(f64::from(ticket.missed_tokens));
        if ticket.tokens_ahead < f64::from(ticket.missed_tokens) * MAX_PART_AHEAD {
            speed.record(ticket.missed_tokens, took);
        }
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        server.health.record_delay(took.saturating_sub(expected), now);
    }

    /// The request has ended on its server.
    pub fn end(&mut self, mut ticket: Ticket, outcome: Outcome, now: Timestamp) {
        let Some(server) = self.server_mut(&ticket.instance) else { return };
        if !std::mem::replace(&mut ticket.had_output, true) {
            server.load.first_output(ticket.missed_tokens);
        }
        server.load.end();
        server.fleet_load.end(ticket.request);
        server.health.record(outcome, now);
    }

    /// Servers that could not be connected to and are to be probed now, with their
    /// addresses. Until a probe succeeds a request is sent to them only if no other server
    /// may be used.
    pub fn take_due_probes(&mut self, now: Timestamp) -> Vec<(InstanceId, SocketAddrV4)> {
        let due = self.servers.values_mut().filter_map(|server| {
            let is_due = server.health.take_due_probe(now);
            is_due.then(|| (server.instance.id.clone(), server.instance.report.address))
        });
        due.collect()
    }

    /// A probe of the server has succeeded.
    pub fn reached(&mut self, instance: &InstanceId) {
        if let Some(server) = self.server_mut(instance) {
            server.health.reached();
            server.reports.reached();
        }
    }

    /// A server answered with weights of this version.
    pub fn saw_version(&mut self, instance: &InstanceId, version: u64) {
        if let Some(server) = self.server_mut(instance) {
            server.seen_version = server.seen_version.max(version);
        }
    }

    /// Version of the weights of `model` that a server is known to have.
    pub fn version_of(&self, instance: &InstanceId, model: &str) -> Option<u64> {
        self.server(instance).map(|server| server.version_of(model))
    }
}

/// What is known of an incarnation, to be changed.
fn incarnation<'a>(
    servers: &'a mut HashMap<InstanceName, Server>,
    id: &InstanceId,
) -> Option<&'a mut Server> {
    servers.get_mut(id.name()).filter(|server| server.instance.id.is_same(id))
}
