//! Simulated fleet of routers before servers that reject what they have no room for, and crash if they
//! reject too many requests per second.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, DispatchRecord, Outcome, Placement, ReportedRequest, ServerRequest, Ticket,
};
use juniper_registry::{
    Instance, InstanceId, InstanceMap, InstanceName, InstanceReport, InstanceState, StartTime,
};
use juniper_simulation::{EventQueue, MILLI};
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "app";
const SLOTS: usize = 8;

/// Requests that a server lets wait, until the servers let none wait any more.
const QUEUE: usize = 8;

/// Time at which the servers let no request wait any more, in milliseconds.
const NO_QUEUE_AT_MS: u64 = 4_000;

/// Time that a server works on a request, in milliseconds.
const SERVICE_MS: u64 = 200;

/// Time for which a crashed server is down, in milliseconds.
const DOWN_MS: u64 = 3_000;

/// One-way delay between a router and a server, and delay of reports between routers, in
/// milliseconds.
const NETWORK_MS: u64 = 2;
const REPORT_DELAY_MS: std::ops::Range<u64> = 30..60;

/// Attempts of one request.
const MAX_ATTEMPTS: usize = 3;

/// What routers tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Dispatches, ends of requests and rejections.
    All,
    /// Rejections only.
    Rejections,
    /// Dispatches and ends; that servers are brittle isn't known.
    Unaware,
}

/// Size of a fleet, and offered load relative to the servers' capacity.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub routers: usize,
    pub servers: usize,
    pub load: f64,
}

#[derive(Clone)]
enum Update {
    Dispatch(ReportedRequest, DispatchRecord),
    Completion(ReportedRequest),
    Rejection(InstanceId),
}

struct Request {
    router: usize,
    number: u16,
    ticket: Ticket,
    excluded: Vec<InstanceId>,
}

enum Event {
    Arrival,
    AtServer(Request, Choice),
    ServerEnd(usize, u64),
    Answer(Request, Outcome),
    Update(usize, Update),
}

#[derive(Default)]
struct Server {
    /// Requests in service or waiting; `None` for those of which the router has been told.
    present: VecDeque<Request>,
    rejections: VecDeque<u64>,
    down_until_ms: u64,
    life: u64,
}

pub struct World {
    sizes: Sizes,
    reports: Reports,
    tolerance: u32,
    routers: Vec<Placement>,
    servers: Vec<Server>,
    events: EventQueue<Event>,
    last_request: u16,
    random: ChaCha8Rng,
    crashes: usize,
    answered: usize,
}

fn instance(number: usize) -> Instance {
    let report = InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
        software: None,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 8, 0, number as u8), 80),
        zone: "north".to_owned(),
        slots: SLOTS as u32,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    };
    Instance::of(report)
}

fn number_of(instance: &InstanceId) -> usize {
    instance.as_str().trim_start_matches("i-").parse().expect("a number")
}

impl World {
    pub fn new(sizes: Sizes, reports: Reports, tolerance: u32, seed: u64) -> Self {
        let instances: InstanceMap =
            (0..sizes.servers).map(|number| Arc::new(instance(number))).collect();
        let router = |number: usize| {
            let mut placement = Placement::new("north");
            placement.set_instances(&instances);
            placement.set_routers(sizes.routers as u32, NodeId(number as u64 + 1).0);
            placement
        };
        let mut world = World {
            sizes,
            reports,
            tolerance,
            routers: (0..sizes.routers).map(router).collect(),
            servers: (0..sizes.servers).map(|_| Server::default()).collect(),
            events: EventQueue::default(),
            last_request: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            crashes: 0,
            answered: 0,
        };
        world.schedule(1, Event::Arrival);
        world
    }

    pub fn crashes(&self) -> usize {
        self.crashes
    }

    /// Requests answered, relative to the servers' capacity.
    pub fn utilization(&self) -> f64 {
        let capacity = (self.sizes.servers * SLOTS) as f64 / SERVICE_MS as f64;
        self.answered as f64 / (capacity * self.now_ms() as f64)
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(self.now_ms())
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.events.schedule_after(after_ms * MILLI, event);
    }

    fn now_ms(&self) -> u64 {
        self.events.now() / MILLI
    }

    /// Plays for this time, in milliseconds.
    pub fn play(&mut self, time_ms: u64) {
        while let Some(event) = self.events.pop() {
            if self.now_ms() > time_ms {
                return;
            }
            match event {
                Event::Arrival => self.arrive(),
                Event::AtServer(request, choice) => self.reach_server(request, &choice),
                Event::ServerEnd(server, life) => self.end_at_server(server, life),
                Event::Answer(request, outcome) => self.end_request(request, outcome),
                Event::Update(router, update) => self.apply_update(router, update),
            }
        }
    }

    fn arrive(&mut self) {
        let capacity = (self.sizes.servers * SLOTS) as f64 / SERVICE_MS as f64;
        let mean_ms = 1.0 / (capacity * self.sizes.load);
        let mut at = -self.random.random::<f64>().max(1e-9).ln() * mean_ms;
        // Several arrivals may fall into one millisecond.
        while at < 1.0 {
            let router = self.random.random_range(0..self.sizes.routers);
            self.send(router, Vec::new());
            at += -self.random.random::<f64>().max(1e-9).ln() * mean_ms;
        }
        self.schedule(at as u64, Event::Arrival);
    }

    fn send(&mut self, router: usize, excluded: Vec<InstanceId>) {
        let (now, random) = (self.now(), self.random.random());
        let request = ServerRequest {
            service: SERVICE,
            prompt: None,
            sharing_key: 0,
            excluded: &excluded,
            software: None,
            excludes_limited: false,
            rank: 1,
            may_be_refused: false,
            min_version: 0,
            objective: Duration::from_millis(400),
            time_left: Duration::from_millis(400),
            max_gap: None,
        };
        let placement = &mut self.routers[router];
        let Ok(choice) = placement.choose(&request, now, random) else { return };
        let ticket = placement.begin_request(&choice, false, now);
        self.last_request = self.last_request.wrapping_add(1).max(1);
        let number = self.last_request;
        let reported = ReportedRequest { router: NodeId(router as u64 + 1), number };
        self.publish(router, Update::Dispatch(reported, choice.dispatch_record()));
        let request = Request { router, number, ticket, excluded };
        self.schedule(NETWORK_MS, Event::AtServer(request, choice));
    }

    fn reach_server(&mut self, mut request: Request, choice: &Choice) {
        let number = number_of(&choice.instance);
        request.excluded.push(choice.instance.clone());
        if self.now_ms() < self.servers[number].down_until_ms {
            return self.schedule(NETWORK_MS, Event::Answer(request, Outcome::Unreachable));
        }
        let queue = if self.now_ms() < NO_QUEUE_AT_MS { QUEUE } else { 0 };
        let server = &mut self.servers[number];
        if server.present.len() >= SLOTS + queue {
            self.schedule(NETWORK_MS, Event::Answer(request, Outcome::Full));
            return self.count_rejection(number);
        }
        server.present.push_back(request);
        if server.present.len() <= SLOTS {
            let life = server.life;
            self.schedule(SERVICE_MS, Event::ServerEnd(number, life));
        }
    }

    /// The oldest request ends, and the first one that waits is started.
    fn end_at_server(&mut self, number: usize, life: u64) {
        let server = &mut self.servers[number];
        if server.life != life {
            return;
        }
        let Some(request) = server.present.pop_front() else { return };
        let starts_next = server.present.len() >= SLOTS;
        self.schedule(NETWORK_MS, Event::Answer(request, Outcome::Answered));
        if starts_next {
            self.schedule(SERVICE_MS, Event::ServerEnd(number, life));
        }
    }

    fn count_rejection(&mut self, number: usize) {
        let (now_ms, tolerance) = (self.now_ms(), self.tolerance as usize);
        let server = &mut self.servers[number];
        server.rejections.retain(|at| now_ms - at < 1_000);
        server.rejections.push_back(now_ms);
        if server.rejections.len() <= tolerance {
            return;
        }
        self.crashes += 1;
        server.life += 1;
        server.down_until_ms = now_ms + DOWN_MS;
        server.rejections.clear();
        for request in std::mem::take(&mut server.present) {
            self.schedule(NETWORK_MS, Event::Answer(request, Outcome::Interrupted));
        }
    }

    fn end_request(&mut self, request: Request, outcome: Outcome) {
        let (now, random) = (self.now(), self.random.random());
        let Request { router, number, ticket, excluded } = request;
        let instance = excluded.last().expect("tried").clone();
        let placement = &mut self.routers[router];
        placement.end_request(ticket, outcome, now);
        self.answered += usize::from(outcome == Outcome::Answered);
        if self.reports != Reports::Unaware && outcome != Outcome::Unreachable {
            let _ = placement.observe_brittle(&instance, self.tolerance, now);
            if outcome == Outcome::Full
                && placement.record_rejection(&instance, now, random).is_some()
            {
                self.publish(router, Update::Rejection(instance));
            }
        }
        let reported = ReportedRequest { router: NodeId(router as u64 + 1), number };
        self.publish(router, Update::Completion(reported));
        if outcome != Outcome::Answered && excluded.len() < MAX_ATTEMPTS {
            self.send(router, excluded);
        }
    }

    fn publish(&mut self, router: usize, update: Update) {
        let is_rejection = matches!(update, Update::Rejection(_));
        if self.reports == Reports::Rejections && !is_rejection {
            return;
        }
        let delay_ms = self.random.random_range(REPORT_DELAY_MS);
        self.schedule(delay_ms, Event::Update(router, update));
    }

    fn apply_update(&mut self, from: usize, update: Update) {
        let (now, tolerance) = (self.now(), self.tolerance);
        for router in (0..self.sizes.routers).filter(|router| *router != from) {
            let random = self.random.random();
            let placement = &mut self.routers[router];
            match &update {
                Update::Dispatch(request, dispatch) => {
                    placement.apply_peer_dispatch(*request, dispatch, now);
                }
                Update::Completion(request) => placement.apply_peer_completion(*request, now),
                Update::Rejection(instance) => {
                    placement.apply_peer_brittle(SERVICE, tolerance, now);
                    let _ = placement.record_rejection(instance, now, random);
                }
            }
        }
    }
}
