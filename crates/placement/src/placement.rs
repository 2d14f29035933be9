//! State of all servers as known to one router.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::{Departures, Instance, InstanceId, InstanceMap, InstanceName};
use juniper_timing::ServiceTiming;
use juniper_types::{NodeId, Timestamp};

use crate::backoffs::Backoffs;
use crate::brittle::BrittleService;
use crate::cached_segments::{CachedWeights, DispatchedPrompt};
use crate::call_limits::CallLimits;
use crate::choice::{Choice, ServiceProfile, Ticket};
use crate::direct_paths::DirectPaths;
use crate::dispatch_record::{DispatchRecord, ReportedRequest};
use crate::fleet_load::is_expired;
use crate::health::Outcome;
use crate::lanes::Lanes;
use crate::load::PrefillSpeed;
use crate::server::Server;
use crate::weights::ModelKey;

/// Maximum queued prefill at dispatch, relative to the prompt's own prefill, for the time to first
/// output to count as a sample of the prefill speed. Above it the time mostly measures the queue.
const MAX_QUEUE_SHARE: f64 = 0.25;

/// Minimum number of reported requests before expired ones are removed.
const MIN_CLEANUP_THRESHOLD: usize = 4_096;

/// Router id of this router's own requests; never assigned to another router.
const LOCAL_ROUTER: NodeId = NodeId(0);

/// State of all servers as known to one router, and the choice among them.
#[derive(Clone, Debug)]
pub struct Placement {
    pub(crate) zone: String,
    /// Instances of the last update.
    instances: InstanceMap,
    pub(crate) servers: HashMap<InstanceName, Server>,
    pub(crate) services: HashMap<String, Vec<InstanceName>>,
    renewing: BTreeSet<InstanceId>,
    pub(crate) backoffs: Backoffs,
    /// Departures that servers have announced.
    pub(crate) departures: Departures,
    /// Listed servers that have requested a backoff or announced their departure.
    pub(crate) noticed: BTreeSet<InstanceName>,
    pub(crate) speeds: HashMap<String, PrefillSpeed>,
    /// Timing of the services with tight objectives.
    pub(crate) timings: HashMap<String, ServiceTiming>,
    pub(crate) profiles: HashMap<String, ServiceProfile>,
    pub(crate) lanes: HashMap<String, Lanes>,
    /// Concurrency limits of services without prompts.
    pub(crate) call_limits: CallLimits,
    /// Requests reported by other routers, with their server and the time of the report.
    reported_requests: HashMap<ReportedRequest, (InstanceId, Timestamp)>,
    /// Number of reported requests at which expired ones are removed.
    cleanup_threshold: usize,
    /// Number of this router's most recent request.
    last_request_number: u16,
    /// Number of routers, and this router's hash among them.
    pub(crate) router_count: u32,
    pub(crate) router_hash: u64,
    /// Services whose servers are brittle, or were.
    pub(crate) brittle: HashMap<String, BrittleService>,
    /// Network paths from this router to the servers of each service.
    pub(crate) direct_paths: HashMap<String, DirectPaths>,
}

impl Placement {
    /// A placement without servers, for a router in `zone`.
    pub fn new(zone: impl Into<String>) -> Self {
        Placement {
            zone: zone.into(),
            instances: InstanceMap::default(),
            servers: HashMap::new(),
            services: HashMap::new(),
            renewing: BTreeSet::new(),
            backoffs: Backoffs::default(),
            departures: Departures::default(),
            noticed: BTreeSet::new(),
            speeds: HashMap::new(),
            timings: HashMap::new(),
            profiles: HashMap::new(),
            lanes: HashMap::new(),
            call_limits: CallLimits::default(),
            reported_requests: HashMap::new(),
            cleanup_threshold: MIN_CLEANUP_THRESHOLD,
            last_request_number: 0,
            router_count: 1,
            router_hash: 0,
            brittle: HashMap::new(),
            direct_paths: HashMap::new(),
        }
    }

    /// Replaces the set of servers. State of unchanged incarnations is kept, that of restarted ones
    /// is reset. The cost is proportional to the number of changes.
    pub fn set_instances(&mut self, instances: &InstanceMap) {
        let changes = instances.changes_from(&self.instances);
        changes.removed.iter().for_each(|name| self.remove(name));
        changes.changed.into_iter().for_each(|instance| self.upsert_instance(instance));
        self.instances = instances.clone();
    }

    fn upsert_instance(&mut self, instance: Arc<Instance>) {
        let name = instance.id.name();
        let service = &instance.report.service;
        if let Some(known) = self.servers.get_mut(name) {
            let is_same_incarnation = known.instance.id == instance.id;
            if is_same_incarnation && known.instance.report.service == *service {
                known.instance = instance;
                return;
            }
        }
        self.remove(name);
        let members = self.services.entry(service.clone()).or_default();
        members.push(name.clone());
        let member_index = members.len() - 1;
        let mut server = Server::new(Arc::clone(&instance), member_index);
        server.renewing = self.renewing.contains(&instance.id);
        self.restore_notices(&mut server);
        self.servers.insert(name.clone(), server);
    }

    fn remove(&mut self, name: &InstanceName) {
        let Some(server) = self.servers.remove(name) else { return };
        self.noticed.remove(name);
        let service = &server.instance.report.service;
        let Some(members) = self.services.get_mut(service) else { return };
        members.swap_remove(server.member_index);
        if let Some(moved) = members.get(server.member_index)
            && let Some(moved) = self.servers.get_mut(moved)
        {
            moved.member_index = server.member_index;
        }
    }

    /// State of a listed incarnation.
    pub(crate) fn server(&self, id: &InstanceId) -> Option<&Server> {
        self.servers.get(id.name()).filter(|server| server.instance.id.is_same(id))
    }

    pub(crate) fn server_mut(&mut self, id: &InstanceId) -> Option<&mut Server> {
        incarnation_mut(&mut self.servers, id)
    }

    /// Sets the KV transfer costs and cache capacities, by service.
    pub fn set_profiles(&mut self, profiles: HashMap<String, ServiceProfile>) {
        self.profiles = profiles;
    }

    /// Sets the servers that accept no new requests during a rollout of new weights.
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

    /// Records the dispatch of a request to the chosen server.
    pub fn begin_request(&mut self, choice: &Choice, has_prompt: bool, now: Timestamp) -> Ticket {
        let tokens_ahead = self.tokens_ahead(&choice.instance, now);
        let sample = self.timing_sample(choice, now).filter(|_| has_prompt);
        self.last_request_number = self.last_request_number.wrapping_add(1);
        let request = ReportedRequest { router: LOCAL_ROUTER, number: self.last_request_number };
        self.apply_dispatch(Some(request), &choice.dispatch_record(), now);
        if has_prompt && let Some(server) = self.server(&choice.instance) {
            let service = server.instance.report.service.clone();
            let tokens = choice.cached_tokens + choice.prefill_tokens;
            self.lanes.entry(service).or_default().record(tokens, choice.prefill_tokens, now);
        }
        if let Some(server) = self.server_mut(&choice.instance) {
            server.load.add_request(choice.queued_tokens());
            server.count_dispatch(now);
        }
        Ticket {
            instance: choice.instance.clone(),
            prefill_tokens: choice.queued_tokens(),
            // Late requests run after others, so their timing isn't a sample of the server's speed.
            is_measured: has_prompt && !choice.is_late,
            started_at: now,
            had_output: false,
            request,
            model: choice.model,
            calls: self.calls_at(&choice.instance, now).filter(|_| !has_prompt),
            tokens_ahead,
            sample,
        }
    }

    /// Queued prefill tokens of all routers at a server.
    fn tokens_ahead(&self, instance: &InstanceId, now: Timestamp) -> f64 {
        let Some(server) = self.server(instance) else { return 0.0 };
        let timing = self.timing_model(&server.instance.report.service, now);
        server.fleet_load.queued_tokens(&timing, now)
    }

    /// Records a dispatch report without a request number: the end of the request won't be
    /// reported.
    pub fn apply_untracked_dispatch(&mut self, dispatch: &DispatchRecord, now: Timestamp) {
        self.apply_dispatch(None, dispatch, now);
    }

    /// Records another router's dispatch report; the end of the request will be reported too.
    pub fn apply_peer_dispatch(
        &mut self,
        request: ReportedRequest,
        dispatch: &DispatchRecord,
        now: Timestamp,
    ) {
        if self.reported_requests.len() >= self.cleanup_threshold {
            self.reported_requests.retain(|_, (_, started_at)| !is_expired(*started_at, now));
            self.cleanup_threshold = (self.reported_requests.len() * 2).max(MIN_CLEANUP_THRESHOLD);
        }
        self.reported_requests.insert(request, (dispatch.instance.clone(), now));
        self.apply_dispatch(Some(request), dispatch, now);
    }

    fn apply_dispatch(
        &mut self,
        request: Option<ReportedRequest>,
        dispatch: &DispatchRecord,
        now: Timestamp,
    ) {
        let Some(server) = self.server(&dispatch.instance) else { return };
        let timing = self.timing_model(&server.instance.report.service, now);
        let Some(server) = incarnation_mut(&mut self.servers, &dispatch.instance) else { return };
        server.turnover.record(dispatch.tokens, now);
        server.fleet_load.add_request(request, dispatch.prefill_tokens, &timing, now);
        server.record_fill(now);
        let service = &server.instance.report.service;
        if dispatch.keys.is_empty() && dispatch.own_tokens == 0 {
            return;
        }
        let capacity = self.profiles.get(service).map_or(0, |profile| profile.cache_tokens);
        let prompt = DispatchedPrompt {
            keys: &dispatch.keys,
            tokens: &dispatch.segment_tokens,
            own_tokens: dispatch.own_tokens,
            computed_at: now
                .after(timing.prefill_time(server.fleet_load.queued_tokens(&timing, now))),
        };
        let weights = CachedWeights { model: dispatch.model, version: dispatch.version };
        server.cached.record(weights, prompt, capacity);
    }

    /// Records the end of a request that another router has reported.
    pub fn apply_peer_completion(&mut self, request: ReportedRequest, now: Timestamp) {
        let Some((instance, _)) = self.reported_requests.remove(&request) else { return };
        self.mark_computed(&instance, request, now);
        if let Some(server) = self.server_mut(&instance) {
            server.fleet_load.remove_request(request);
        }
    }

    /// Records the first output of a request.
    pub fn record_first_output(&mut self, ticket: &mut Ticket, now: Timestamp) {
        if std::mem::replace(&mut ticket.had_output, true) {
            return;
        }
        let took = now.since(ticket.started_at);
        let Some(server) = incarnation_mut(&mut self.servers, &ticket.instance) else { return };
        server.record_evidence(now);
        server.load.first_output(ticket.prefill_tokens);
        if !ticket.is_measured {
            return;
        }
        if let Some(sample) = &mut ticket.sample {
            let service = &server.instance.report.service;
            let timing = match self.timings.get_mut(service) {
                Some(timing) => timing,
                None => self.timings.entry(service.clone()).or_default(),
            };
            sample.record_first_output(took, timing, server, now);
            return self.mark_computed(&ticket.instance, ticket.request, now);
        }
        let speed = self.speeds.entry(server.instance.report.service.clone()).or_default();
        let expected_ms = speed.ms_for(f64::from(ticket.prefill_tokens));
        if ticket.tokens_ahead < f64::from(ticket.prefill_tokens) * MAX_QUEUE_SHARE {
            speed.record(ticket.prefill_tokens, took);
        }
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        server.health.record_delay(took.saturating_sub(expected), now);
    }

    /// Records the end of a request.
    pub fn end_request(&mut self, mut ticket: Ticket, outcome: Outcome, now: Timestamp) {
        self.record_call(&ticket, outcome, now);
        let Some(server) = self.server_mut(&ticket.instance) else { return };
        if !std::mem::replace(&mut ticket.had_output, true) {
            server.load.first_output(ticket.prefill_tokens);
        }
        server.load.remove_request();
        server.fleet_load.remove_request(ticket.request);
        if let Some(server) = self.server_mut(&ticket.instance) {
            if outcome == Outcome::Answered {
                server.record_evidence(now);
            }
            if let (Outcome::VersionMismatch(version), Some(model)) = (outcome, ticket.model) {
                server.observed_weights.reject(model, version, now);
            }
            server.health.record(outcome, now);
        }
    }

    /// Records that the server has not answered a request within the timeout. The request goes on.
    pub fn record_silence(&mut self, instance: &InstanceId, now: Timestamp) {
        if let Some(server) = self.server_mut(instance) {
            server.health.record(Outcome::Interrupted, now);
        }
    }

    /// Records the version of the weights in an answer of the server to a request for `model`.
    pub fn observe_version(&mut self, instance: &InstanceId, model: ModelKey, version: u64) {
        if let Some(server) = self.server_mut(instance) {
            server.observed_weights.observe(model, version);
        }
    }

    /// Version of the weights of `model` on the server.
    pub fn version_of(&self, instance: &InstanceId, model: &str) -> Option<u64> {
        self.server(instance).map(|server| server.version_of(model))
    }
}

/// State of a listed incarnation.
pub(crate) fn incarnation_mut<'a>(
    servers: &'a mut HashMap<InstanceName, Server>,
    id: &InstanceId,
) -> Option<&'a mut Server> {
    servers.get_mut(id.name()).filter(|server| server.instance.id.is_same(id))
}
