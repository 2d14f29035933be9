//! Simulation of routers and servers with message delays, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{
    Choice, DispatchRecord, Outcome, Placement, ReportedRequest, RetryBudget, RetrySettings,
    ServerRequest, Ticket,
};
use juniper_registry::{
    Instance, InstanceId, InstanceMap, InstanceName, InstanceReport, InstanceState, StartTime,
};
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::{Arrival, Checker, Disturbance};

const SERVICE: &str = "app";

/// Maximum number of servers that a caller's request is sent to.
const MAX_ATTEMPTS: u32 = 4;

/// Time within which callers want an answer.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Time for which a server processes a request.
const SERVICE_TIME: Duration = Duration::from_millis(90);

/// Maximum number of running and queued requests on a server, per slot.
const MAX_REQUESTS_PER_SLOT: usize = 2;

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub servers: usize,
    pub slots: usize,
    /// Mean interval between requests, in microseconds.
    pub interval_us: u64,
    pub length: Duration,
    /// Servers that shed load: server, start, end and requested backoff.
    pub shedding: Vec<(usize, Timestamp, Timestamp, Duration)>,
    /// Departures: server and time of the announcement.
    pub departures: Vec<(usize, Timestamp)>,
    /// Faults: time, router and kind.
    pub faults: Vec<(Timestamp, usize, Fault)>,
    /// How routers handle backoffs and departures.
    pub notice_mode: NoticeMode,
}

/// How routers handle backoffs and departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeMode {
    /// Routers ignore them.
    Ignore,
    /// Each router respects those that it receives itself.
    OwnOnly,
    /// Routers also report them to each other.
    Shared,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The router restarts and loses its state.
    Restart,
    /// The router doesn't run for a while, and its clock stands still.
    Suspension(Duration),
    /// The router has an empty instance list for a while.
    LostView(Duration),
}

#[derive(Clone, Debug)]
struct CallerRequest {
    sent: Timestamp,
    attempts: u32,
    excluded: Vec<InstanceId>,
    /// Identity of the current dispatch in reports to other routers.
    reported: Option<ReportedRequest>,
}

#[derive(Debug)]
enum Event {
    NextCaller,
    Fault(usize, Fault),
    ViewRestored(usize),
    /// The router has connected to the server and may send the request.
    Connected(usize, Box<Choice>, Box<Ticket>, u64, CallerRequest),
    Arrived(usize, usize, Box<Ticket>, u64, CallerRequest),
    Answered(usize, usize, Box<Ticket>, u64, CallerRequest, Answer),
    Done(usize),
    PeerDispatch(usize, ReportedRequest, DispatchRecord),
    PeerCompletion(usize, ReportedRequest),
    PeerBackoff(usize, usize, InstanceId, Duration),
    PeerDeparture(usize, InstanceId),
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    is_served: bool,
    backoff: Option<Duration>,
    is_departing: bool,
}

struct Router {
    placement: Placement,
    budget: RetryBudget,
    /// Total time for which the router was suspended.
    suspended_time: Duration,
    resumes_at: Timestamp,
    incarnation: u64,
    last_number: u16,
}

struct Scheduled(Timestamp, u64, Event);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct World {
    scenario: Scenario,
    random: ChaCha8Rng,
    now: Timestamp,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    routers: Vec<Router>,
    in_flight: Vec<usize>,
    instances: InstanceMap,
    pub checker: Checker,
}

fn instance(number: usize, slots: usize) -> Instance {
    Instance::of(InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
        software: None,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number as u8), 80),
        zone: "north".to_owned(),
        slots: slots as u32,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    })
}

fn new_router(instances: &InstanceMap, routers: usize, incarnation: u64) -> Router {
    let mut placement = Placement::new("north");
    placement.set_instances(instances);
    let settings = RetrySettings { ratio: 0.2, free: 20.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(settings);
    budget.set_routers(Some(routers as u32), Timestamp::ZERO);
    let (suspended_time, resumes_at) = (Duration::ZERO, Timestamp::ZERO);
    Router { placement, budget, suspended_time, resumes_at, incarnation, last_number: 0 }
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let instances: InstanceMap = (0..scenario.servers)
            .map(|number| Arc::new(instance(number, scenario.slots)))
            .collect();
        let routers =
            (0..scenario.routers).map(|_| new_router(&instances, scenario.routers, 0)).collect();
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            routers,
            in_flight: vec![0; scenario.servers],
            instances,
            checker: Checker::default(),
            scenario,
        };
        world.schedule(Duration::ZERO, Event::NextCaller);
        for (at, router, fault) in world.scenario.faults.clone() {
            world.schedule(at.since(Timestamp::ZERO), Event::Fault(router, fault));
        }
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled(self.now.after(after), self.scheduled, event)));
    }

    /// Delay of a message: mostly short, sometimes long.
    fn message_delay(&mut self) -> Duration {
        let ms = match self.random.random_range(0..40) {
            0 => self.random.random_range(10..100),
            _ => self.random.random_range(1..6),
        };
        Duration::from_millis(ms)
    }

    pub fn run(mut self) -> Checker {
        let end = Timestamp::ZERO.after(self.scenario.length);
        while let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() {
            self.now = at;
            if at < end || !matches!(event, Event::NextCaller) {
                self.step(event);
            }
        }
        self.checker
    }

    /// The router's own clock, which stands still while the router is suspended.
    fn router_time(&self, router: usize) -> Timestamp {
        self.now.before(self.routers[router].suspended_time)
    }

    /// Remaining suspension of the router; its events are delayed until then.
    fn suspension_left(&mut self, router: usize) -> Option<Duration> {
        let resumes_at = self.routers[router].resumes_at;
        (self.now < resumes_at).then(|| resumes_at.since(self.now))
    }

    fn step(&mut self, event: Event) {
        let router = match &event {
            Event::Connected(router, ..)
            | Event::Answered(router, ..)
            | Event::PeerDispatch(router, ..)
            | Event::PeerCompletion(router, ..)
            | Event::PeerBackoff(router, ..)
            | Event::PeerDeparture(router, ..)
            | Event::ViewRestored(router) => Some(*router),
            _ => None,
        };
        if let Some(wait) = router.and_then(|router| self.suspension_left(router)) {
            return self.schedule(wait, event);
        }
        match event {
            Event::NextCaller => self.handle_caller(),
            Event::Fault(router, fault) => self.inject_fault(router, fault),
            Event::ViewRestored(router) => {
                self.routers[router].placement.set_instances(&self.instances)
            }
            Event::Connected(router, choice, ticket, incarnation, call) => {
                self.handle_connection(router, &choice, ticket, incarnation, call);
            }
            Event::Arrived(router, server, ticket, incarnation, call) => {
                self.handle_arrival(router, server, ticket, incarnation, call);
            }
            Event::Answered(router, server, ticket, incarnation, call, answer) => {
                self.handle_answer(router, server, *ticket, incarnation, call, answer);
            }
            Event::Done(server) => self.in_flight[server] -= 1,
            Event::PeerDispatch(router, request, dispatch) => {
                let now = self.router_time(router);
                self.routers[router].placement.apply_peer_dispatch(request, &dispatch, now);
            }
            Event::PeerBackoff(router, from, id, backoff) => {
                let now = self.router_time(router);
                let from = NodeId(from as u64 + 1);
                self.routers[router].placement.apply_peer_backoff(&id, from, backoff, now);
            }
            Event::PeerDeparture(router, id) => {
                let now = self.router_time(router);
                self.routers[router].placement.record_departure(&id, now);
            }
            Event::PeerCompletion(router, request) => {
                let now = self.router_time(router);
                self.routers[router].placement.apply_peer_completion(request, now)
            }
        }
    }

    fn handle_caller(&mut self) {
        let gap = Duration::from_micros(self.random.random_range(0..2 * self.scenario.interval_us));
        self.schedule(gap, Event::NextCaller);
        let router = self.random.random_range(0..self.routers.len());
        if self.suspension_left(router).is_some() {
            return;
        }
        let now = self.router_time(router);
        self.routers[router].budget.record_request(SERVICE, now);
        self.checker.record_sent(self.now);
        self.dispatch(
            router,
            CallerRequest { sent: self.now, attempts: 0, excluded: Vec::new(), reported: None },
        );
    }

    fn dispatch(&mut self, router: usize, mut call: CallerRequest) {
        let now = self.router_time(router);
        let random = self.random.random();
        let Router { placement, budget, incarnation, .. } = &mut self.routers[router];
        let incarnation = *incarnation;
        if call.attempts >= MAX_ATTEMPTS
            || (call.attempts > 0
                && !budget.take_retry(SERVICE, now, random as f64 / u64::MAX as f64))
        {
            return self.checker.record_refused(call.sent);
        }
        let request = ServerRequest {
            service: SERVICE,
            prompt: None,
            sharing_key: 0,
            excluded: &call.excluded,
            software: None,
            excludes_limited: false,
            rank: 1,
            may_be_refused: false,
            min_version: 0,
            objective: OBJECTIVE,
            time_left: OBJECTIVE,
            max_gap: None,
        };
        let Ok(choice) = placement.choose(&request, now, random) else {
            return self.checker.record_refused(call.sent);
        };
        let ticket = Box::new(placement.begin_request(&choice, false, now));
        call.reported = Some(self.report_dispatch(router, &choice.dispatch_record()));
        let wait = match self.random.random_range(0..30) {
            0 => Duration::from_millis(self.random.random_range(0..300)),
            _ => Duration::ZERO,
        };
        self.schedule(wait, Event::Connected(router, Box::new(choice), ticket, incarnation, call));
    }

    /// Reports a dispatch to the other routers.
    fn report_dispatch(&mut self, router: usize, dispatch: &DispatchRecord) -> ReportedRequest {
        let last_number = &mut self.routers[router].last_number;
        *last_number = last_number.wrapping_add(1);
        let request = ReportedRequest { router: NodeId(router as u64 + 1), number: *last_number };
        self.broadcast(router, |other| Event::PeerDispatch(other, request, dispatch.clone()));
        request
    }

    fn report_completion(&mut self, router: usize, call: &mut CallerRequest) {
        if let Some(request) = call.reported.take() {
            self.broadcast(router, |other| Event::PeerCompletion(other, request));
        }
    }

    fn broadcast(&mut self, router: usize, event: impl Fn(usize) -> Event) {
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            let delay = Duration::from_millis(25) + self.message_delay();
            self.schedule(delay, event(other));
        }
    }

    fn handle_connection(
        &mut self,
        router: usize,
        choice: &Choice,
        ticket: Box<Ticket>,
        incarnation: u64,
        mut call: CallerRequest,
    ) {
        if incarnation != self.routers[router].incarnation {
            return;
        }
        let now = self.router_time(router);
        let placement = &mut self.routers[router].placement;
        let id = &choice.instance;
        if placement.remaining_backoff(id, now).is_some() {
            placement.end_request(*ticket, Outcome::Cancelled, now);
            self.report_completion(router, &mut call);
            return self.dispatch(router, call);
        }
        let server: usize = id.as_str()[2..].parse().expect("a number");
        let delay = self.message_delay();
        self.schedule(delay, Event::Arrived(router, server, ticket, incarnation, call));
    }

    fn handle_arrival(
        &mut self,
        router: usize,
        server: usize,
        ticket: Box<Ticket>,
        incarnation: u64,
        call: CallerRequest,
    ) {
        let now = self.now;
        let shed =
            self.scenario.shedding.iter().find(|(number, from, until, _)| {
                *number == server && (*from..*until).contains(&now)
            });
        let backoff = shed.map(|(_, _, _, backoff)| *backoff);
        let is_departing =
            self.scenario.departures.iter().any(|(number, from)| *number == server && *from <= now);
        let is_full = self.in_flight[server] >= self.scenario.slots * MAX_REQUESTS_PER_SLOT;
        let is_served = backoff.is_none() && !is_full;
        self.checker.record_arrival(Arrival { at: now, router, server, sent: call.sent });
        // A request of an ended incarnation may arrive late; its answer reaches no router.
        let is_received = incarnation == self.routers[router].incarnation;
        if let Some(backoff) = backoff.filter(|backoff| !backoff.is_zero() && is_received) {
            self.checker.record_backoff(router, server, now, backoff);
        }
        let mut delay = self.message_delay();
        if is_served {
            let batches = 1 + self.in_flight[server] / self.scenario.slots;
            let service_time = SERVICE_TIME * batches as u32;
            self.in_flight[server] += 1;
            self.schedule(service_time, Event::Done(server));
            delay += service_time;
        }
        let answer = Answer {
            is_served,
            backoff: backoff.filter(|backoff| !backoff.is_zero()),
            is_departing,
        };
        self.schedule(delay, Event::Answered(router, server, ticket, incarnation, call, answer));
    }

    fn handle_answer(
        &mut self,
        router: usize,
        server: usize,
        mut ticket: Ticket,
        incarnation: u64,
        mut call: CallerRequest,
        answer: Answer,
    ) {
        if incarnation != self.routers[router].incarnation {
            return;
        }
        let now = self.router_time(router);
        let id = InstanceId::new(format!("i-{server}"));
        self.apply_notices(router, &id, answer, now);
        if answer.is_departing {
            self.checker.record_departure(router, server, self.now);
        }
        let placement = &mut self.routers[router].placement;
        if answer.is_served {
            placement.record_first_output(&mut ticket, now);
            placement.end_request(ticket, Outcome::Answered, now);
            self.report_completion(router, &mut call);
            let in_time = self.now.since(call.sent) <= OBJECTIVE;
            return self.checker.record_served(call.sent, in_time);
        }
        placement.end_request(ticket, Outcome::Full, now);
        self.report_completion(router, &mut call);
        call.attempts += 1;
        call.excluded.push(id);
        self.dispatch(router, call);
    }

    fn apply_notices(&mut self, router: usize, id: &InstanceId, answer: Answer, now: Timestamp) {
        if self.scenario.notice_mode == NoticeMode::Ignore {
            return;
        }
        let shares = self.scenario.notice_mode == NoticeMode::Shared;
        let placement = &mut self.routers[router].placement;
        let is_new = answer.is_departing && placement.record_departure(id, now);
        let longer = answer.backoff.filter(|backoff| placement.observe_backoff(id, *backoff, now));
        if is_new && shares {
            self.broadcast(router, |other| Event::PeerDeparture(other, id.clone()));
        }
        if let Some(backoff) = longer.filter(|_| shares) {
            self.broadcast(router, |other| Event::PeerBackoff(other, router, id.clone(), backoff));
        }
    }

    fn inject_fault(&mut self, router: usize, fault: Fault) {
        let duration = match fault {
            Fault::Restart => {
                let incarnation = self.routers[router].incarnation + 1;
                let count = self.routers.len();
                self.routers[router] = new_router(&self.instances, count, incarnation);
                Duration::ZERO
            }
            Fault::Suspension(time) => {
                let until = self.now.after(time);
                let suspended = &mut self.routers[router];
                if self.now < suspended.resumes_at {
                    return;
                }
                suspended.resumes_at = until;
                suspended.suspended_time += time;
                time
            }
            Fault::LostView(time) => {
                self.routers[router].placement.set_instances(&InstanceMap::default());
                return self.schedule(time, Event::ViewRestored(router));
            }
        };
        let until = self.now.after(duration);
        self.checker.record_disturbance(Disturbance { router, from: self.now, until });
    }
}
