//! Simulated servers, stores and routers.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, DispatchRecord, KvStore, Outcome, Placement, Prompt, PromptSegment, ReportedRequest,
    ServerRequest, ServiceProfile, Ticket,
};
use juniper_registry::{InstanceId, InstanceMap};
use juniper_types::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{SERVICE, at, instance};

const SERVERS: u16 = 60;
const ROUTERS: usize = 8;
const CACHE_TOKENS: u64 = 68_484;
const STORE_TOKENS: u64 = 693_111;
const TOKENS_PER_MS: f64 = 38.4;
const TRANSFER_MS_PER_TOKEN: f64 = 0.005;
/// Part of the time to first output that doesn't depend on the prompt.
const FIXED_MS: f64 = 40.0;
const REPORT_DELAY_MS: u64 = 30;
/// Time until a crashed server is removed from the instance list.
const REMOVAL_DELAY_MS: u64 = 600;
/// Number of different shared segments of long prompts.
const LONG_SEGMENTS: u64 = 120;

/// A kind of prompts.
struct Kind {
    per_second: f64,
    tokens: (u32, u32),
    segments: Range<u64>,
    objective_ms: u64,
    deadline_ms: u64,
}

const KINDS: [Kind; 2] = [
    Kind {
        per_second: 63.0,
        tokens: (6_300, 2_890),
        segments: 0..LONG_SEGMENTS,
        objective_ms: 1_500,
        deadline_ms: 5_000,
    },
    Kind {
        per_second: 284.0,
        tokens: (198, 628),
        segments: 1_000..1_020,
        objective_ms: 400,
        deadline_ms: 15_000,
    },
];

/// Results of the prompts that were counted.
#[derive(Debug, Default)]
pub struct Counts {
    pub prompts: u32,
    pub in_time: u32,
    pub refused: u32,
    pub recomputed_tokens: u64,
    pub transfers: u32,
}

/// Contents of a cache or store, the most recently used last.
struct Contents {
    capacity: u64,
    /// Key, tokens of the prompt, and time from which the segment can be fetched.
    entries: Vec<(u64, u64, f64)>,
    /// End of the last transfer.
    link_free_ms: f64,
}

impl Contents {
    fn new(capacity: u64) -> Self {
        Contents { capacity, entries: Vec::new(), link_free_ms: 0.0 }
    }

    fn position(&self, key: u64) -> Option<usize> {
        self.entries.iter().position(|(known, ..)| *known == key)
    }

    fn use_entry(&mut self, key: u64, tokens: u64, ready_ms: f64) {
        let known = self.position(key).map(|index| self.entries.remove(index));
        self.entries.push(known.unwrap_or((key, tokens, ready_ms)));
        while self.entries.iter().map(|(_, tokens, _)| tokens).sum::<u64>() > self.capacity {
            self.entries.remove(0);
        }
    }

    /// Transfers the segment; returns the end, or `None` if it isn't there.
    fn transfer(&mut self, key: u64, tokens: u32, now: f64) -> Option<f64> {
        let (_, all, ready_ms) = self.entries[self.position(key)?];
        if ready_ms > now {
            return None;
        }
        self.use_entry(key, all, ready_ms);
        self.link_free_ms = self.link_free_ms.max(now) + f64::from(tokens) * TRANSFER_MS_PER_TOKEN;
        Some(self.link_free_ms)
    }
}

struct Server {
    id: InstanceId,
    is_alive: bool,
    free_ms: f64,
    contents: Contents,
}

struct Request {
    kind: usize,
    prompt: Prompt,
    arrived_ms: u64,
    router: usize,
    excluded: Vec<InstanceId>,
    /// Ticket and server of the running attempt.
    running: Option<(Ticket, SocketAddrV4)>,
}

enum Event {
    Arrival(usize),
    FirstOutput(usize, SocketAddrV4),
    Dispatched(usize, ReportedRequest, DispatchRecord),
    Completed(usize, ReportedRequest),
    Crash(usize),
    Removal,
}

pub struct World {
    random: ChaCha8Rng,
    routers: Vec<Placement>,
    servers: BTreeMap<SocketAddrV4, Server>,
    stores: HashMap<SocketAddrV4, Contents>,
    requests: Vec<Request>,
    events: BTreeMap<(u64, usize), Event>,
    next_event: usize,
    counts: Counts,
}

impl World {
    pub fn new(is_tight: bool, seed: u64) -> Self {
        let store = |number| SocketAddrV4::new(Ipv4Addr::new(172, 20, 0, number), 8_000);
        let addresses: Vec<SocketAddrV4> = (1..=3).map(store).collect();
        let stores = addresses.iter().map(|address| KvStore {
            address: *address,
            zone: "north".to_owned(),
            capacity_tokens: STORE_TOKENS,
            transfer_ms_per_token: TRANSFER_MS_PER_TOKEN,
        });
        let profile = ServiceProfile {
            transfer_ms_per_token: TRANSFER_MS_PER_TOKEN,
            cache_tokens: CACHE_TOKENS,
            stores: stores.collect(),
            is_tight,
        };
        let instances: Vec<_> = (1..=SERVERS).map(|number| instance(number, 1)).collect();
        let mut router = Placement::new("north");
        router.set_profiles(HashMap::from([(SERVICE.to_owned(), profile)]));
        router.set_instances(&instances.iter().cloned().map(Arc::new).collect::<InstanceMap>());
        let server = |instance: &juniper_registry::Instance| {
            let contents = Contents::new(CACHE_TOKENS);
            let id = instance.id.clone();
            (instance.report.address, Server { id, is_alive: true, free_ms: 0.0, contents })
        };
        World {
            random: ChaCha8Rng::seed_from_u64(seed),
            routers: vec![router; ROUTERS],
            servers: instances.iter().map(server).collect(),
            stores: addresses.iter().map(|store| (*store, Contents::new(STORE_TOKENS))).collect(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            counts: Counts::default(),
        }
    }

    /// Adds arrivals at `factor` times the mean load.
    pub fn add_load(&mut self, period: Range<u64>, factor: f64) {
        for (kind, properties) in KINDS.iter().enumerate() {
            let seconds = (period.end - period.start) as f64 / 1_000.0;
            for _ in 0..(properties.per_second * factor * seconds) as usize {
                let arrived_ms = self.random.random_range(period.clone());
                // Squares prefer the first segments.
                let share = self.random.random::<f64>().powi(2);
                let count = (properties.segments.end - properties.segments.start) as f64;
                let shared = properties.segments.start + (share * count) as u64;
                let own = 10_000 + self.requests.len() as u64;
                let (shared_tokens, own_tokens) = properties.tokens;
                let segment = |id, tokens| PromptSegment { id, tokens };
                let prompt = Prompt {
                    model: "m".to_owned(),
                    segments: vec![segment(shared, shared_tokens), segment(own, own_tokens)],
                    tokens: shared_tokens + own_tokens,
                    output_tokens: 50,
                };
                let router = self.random.random_range(0..ROUTERS);
                let (excluded, running) = (Vec::new(), None);
                let request = Request { kind, prompt, arrived_ms, router, excluded, running };
                self.schedule(arrived_ms, Event::Arrival(self.requests.len()));
                self.requests.push(request);
            }
        }
    }

    /// Crashes `count` servers at a time.
    pub fn crash(&mut self, millis: u64, count: usize) {
        self.schedule(millis, Event::Crash(count));
        self.schedule(millis + REMOVAL_DELAY_MS, Event::Removal);
    }

    fn schedule(&mut self, millis: u64, event: Event) {
        self.events.insert((millis, self.next_event), event);
        self.next_event += 1;
    }

    /// Runs all events; prompts that arrive from `counted_from` on are counted.
    pub fn run(mut self, counted_from: u64) -> Counts {
        let counted = |request: &&Request| request.arrived_ms >= counted_from;
        self.counts.prompts = self.requests.iter().filter(counted).count() as u32;
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Arrival(index) => self.dispatch(index, now, counted_from),
                Event::FirstOutput(index, server) => {
                    self.finish(index, server, now, counted_from);
                }
                Event::Dispatched(router, request, record) => {
                    self.routers[router].apply_peer_dispatch(request, &record, at(now));
                }
                Event::Completed(router, request) => {
                    self.routers[router].apply_peer_completion(request, at(now));
                }
                Event::Crash(count) => self.crash_servers(count, now, counted_from),
                Event::Removal => self.remove_crashed(),
            }
        }
        self.counts
    }

    fn dispatch(&mut self, index: usize, now: u64, counted_from: u64) {
        let request = &mut self.requests[index];
        let kind = &KINDS[request.kind];
        let passed = now - request.arrived_ms;
        let is_counted = request.arrived_ms >= counted_from;
        let server_request = ServerRequest {
            service: SERVICE,
            prompt: Some(&request.prompt),
            sharing_key: 7,
            excluded: &request.excluded,
            excludes_limited: false,
            min_version: 0,
            objective: Duration::from_millis(kind.objective_ms),
            time_left: Duration::from_millis(kind.deadline_ms.saturating_sub(passed)),
            rank: 1,
            may_be_refused: true,
            max_gap: None,
        };
        let router = &mut self.routers[request.router];
        let choice = router.choose(&server_request, at(now), self.random.random());
        let Ok(choice) = choice else {
            self.counts.refused += u32::from(is_counted);
            return;
        };
        let ticket = router.begin_request(&choice, true, at(now));
        if !self.servers[&choice.address].is_alive {
            router.end_request(ticket, Outcome::Unreachable, at(now));
            request.excluded.push(choice.instance);
            return self.schedule(now + 1, Event::Arrival(index));
        }
        request.running = Some((ticket, choice.address));
        let request = ReportedRequest { router: NodeId(1), number: index as u16 };
        self.report(index, now, |router| {
            Event::Dispatched(router, request, choice.dispatch_record())
        });
        let output_ms = self.serve(index, &choice, now as f64, is_counted) + FIXED_MS;
        self.schedule(output_ms as u64, Event::FirstOutput(index, choice.address));
    }

    /// Sends a report to the other routers.
    fn report(&mut self, index: usize, now: u64, event: impl Fn(usize) -> Event) {
        let sender = self.requests[index].router;
        for router in (0..ROUTERS).filter(|router| *router != sender) {
            self.schedule(now + REPORT_DELAY_MS, event(router));
        }
    }

    /// Runs the prompt on its server. Returns the end of the prefill.
    fn serve(&mut self, index: usize, choice: &Choice, now: f64, is_counted: bool) -> f64 {
        let (shared, own) = KINDS[self.requests[index].kind].tokens;
        let key = choice.keys.last().copied().unwrap_or_default();
        let is_cached = self.servers[&choice.address].contents.position(key).is_some();
        let source = choice.source.filter(|_| !is_cached).and_then(|source| {
            let stored = self.stores.get_mut(&source);
            let live = self.servers.get_mut(&source).filter(|server| server.is_alive);
            stored.or(live.map(|server| &mut server.contents))
        });
        let fetched_ms = source.and_then(|source| source.transfer(key, shared, now));
        let is_known = is_cached || fetched_ms.is_some();
        let prefill = if is_known { own } else { shared + own };
        if is_counted {
            self.counts.transfers += u32::from(fetched_ms.is_some());
            self.counts.recomputed_tokens += u64::from(prefill - own);
        }
        let server = self.servers.get_mut(&choice.address).expect("a server");
        let start = server.free_ms.max(fetched_ms.unwrap_or(now));
        let end = start + f64::from(prefill) / TOKENS_PER_MS;
        server.free_ms = end;
        let tokens = u64::from(shared + own);
        server.contents.use_entry(key, tokens, end);
        if let Some(store) = choice.store.and_then(|store| self.stores.get_mut(&store)) {
            store.use_entry(key, tokens, end + tokens as f64 * TRANSFER_MS_PER_TOKEN);
        }
        end
    }

    fn finish(&mut self, index: usize, server: SocketAddrV4, now: u64, counted_from: u64) {
        let request = &mut self.requests[index];
        let Some((mut ticket, _)) = request.running.take_if(|(_, running)| *running == server)
        else {
            return;
        };
        let router = &mut self.routers[request.router];
        router.record_first_output(&mut ticket, at(now));
        router.end_request(ticket, Outcome::Answered, at(now));
        let is_in_time = now - request.arrived_ms <= KINDS[request.kind].objective_ms;
        let is_counted = request.arrived_ms >= counted_from;
        self.counts.in_time += u32::from(is_in_time && is_counted);
        let request = ReportedRequest { router: NodeId(1), number: index as u16 };
        self.report(index, now, |router| Event::Completed(router, request));
    }

    fn crash_servers(&mut self, count: usize, now: u64, counted_from: u64) {
        for _ in 0..count {
            let alive: Vec<SocketAddrV4> = self.alive().map(|(address, _)| *address).collect();
            let lost = alive[self.random.random_range(0..alive.len())];
            self.servers.get_mut(&lost).expect("a server").is_alive = false;
            for index in 0..self.requests.len() {
                let request = &mut self.requests[index];
                let Some((ticket, _)) = request.running.take_if(|(_, server)| *server == lost)
                else {
                    continue;
                };
                request.excluded.push(self.servers[&lost].id.clone());
                let router = &mut self.routers[request.router];
                router.end_request(ticket, Outcome::Interrupted, at(now));
                self.dispatch(index, now, counted_from);
            }
        }
    }

    fn alive(&self) -> impl Iterator<Item = (&SocketAddrV4, &Server)> {
        self.servers.iter().filter(|(_, server)| server.is_alive)
    }

    fn remove_crashed(&mut self) {
        let listed = (1..=SERVERS).map(|number| instance(number, 1));
        let listed = listed.filter(|instance| self.servers[&instance.report.address].is_alive);
        let instances: InstanceMap = listed.map(Arc::new).collect();
        self.routers.iter_mut().for_each(|router| router.set_instances(&instances));
    }
}
