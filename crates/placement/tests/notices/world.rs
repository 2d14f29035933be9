//! Routers and servers in simulated time: every message takes its time, and servers see what comes.

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

use crate::witness::{Arrival, Disturbance, Witness};

const SERVICE: &str = "app";

/// Servers that a request is sent to at most, and servers that may be missed before sending.
const MAX_SENT: u32 = 4;

/// Time that a caller wants its answer in.
const OBJECTIVE: Duration = Duration::from_millis(300);

/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(90);

/// Requests that a server takes, running and waiting, for each of its slots.
const TAKEN_PER_SLOT: usize = 2;

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    pub routers: usize,
    pub servers: usize,
    pub slots: usize,
    /// Mean time between two requests, in microseconds.
    pub gap_us: u64,
    pub length: Duration,
    /// Servers that turn requests away, from when until when, and the pause that they ask for.
    pub shedding: Vec<(usize, Timestamp, Timestamp, Duration)>,
    /// Servers that say that they leave, and from when on.
    pub leaving: Vec<(usize, Timestamp)>,
    /// Routers that are disturbed, when, how.
    pub faults: Vec<(Timestamp, usize, Fault)>,
    /// What routers make of what servers ask for.
    pub heeding: Heeding,
}

/// What routers make of what servers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heeding {
    /// They take no notice.
    Nothing,
    /// Each takes notice of what it was asked itself.
    Own,
    /// They tell each other, too.
    Told,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It starts again and knows nothing.
    Restart,
    /// It doesn't run for a while, and its clock stands still.
    Suspension(Duration),
    /// It sees no servers for a while.
    LostView(Duration),
}

#[derive(Clone, Debug)]
struct Call {
    sent: Timestamp,
    tries: u32,
    excluded: Vec<InstanceId>,
    /// Names the sending that is under way to the other routers.
    told: Option<ReportedRequest>,
}

#[derive(Debug)]
enum Event {
    Caller,
    Fault(usize, Fault),
    View(usize),
    /// The router has a connection and may send.
    Connected(usize, Box<Choice>, Box<Ticket>, u64, Call),
    Arrives(usize, usize, Box<Ticket>, u64, Call),
    Answered(usize, usize, Box<Ticket>, u64, Call, Answer),
    Done(usize),
    Told(usize, ReportedRequest, DispatchRecord),
    ToldEnd(usize, ReportedRequest),
    ToldPause(usize, usize, InstanceId, Duration),
    ToldLeaving(usize, InstanceId),
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    is_served: bool,
    pause: Option<Duration>,
    is_leaving: bool,
}

struct Router {
    placement: Placement,
    budget: RetryBudget,
    /// Time for which it was suspended, and until when it is.
    suspended: Duration,
    runs_again: Timestamp,
    life: u64,
    told: u16,
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
    play: Play,
    random: ChaCha8Rng,
    now: Timestamp,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    routers: Vec<Router>,
    working: Vec<usize>,
    instances: InstanceMap,
    pub witness: Witness,
}

fn instance(number: usize, slots: usize) -> Instance {
    Instance::of(InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
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

fn new_router(instances: &InstanceMap, life: u64) -> Router {
    let mut placement = Placement::new("north");
    placement.set_instances(instances);
    let settings = RetrySettings { ratio: 0.2, free: 20.0, window: Duration::from_secs(10) };
    let budget = RetryBudget::new(settings);
    let (suspended, runs_again) = (Duration::ZERO, Timestamp::ZERO);
    Router { placement, budget, suspended, runs_again, life, told: 0 }
}

impl World {
    pub fn new(play: Play, seed: u64) -> Self {
        let instances: InstanceMap =
            (0..play.servers).map(|number| Arc::new(instance(number, play.slots))).collect();
        let routers = (0..play.routers).map(|_| new_router(&instances, 0)).collect();
        let mut world = World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            routers,
            working: vec![0; play.servers],
            instances,
            witness: Witness::default(),
            play,
        };
        world.schedule(Duration::ZERO, Event::Caller);
        for (at, router, fault) in world.play.faults.clone() {
            world.schedule(at.since(Timestamp::ZERO), Event::Fault(router, fault));
        }
        world
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled(self.now.after(after), self.scheduled, event)));
    }

    /// The way of a message: short, and now and then long.
    fn way(&mut self) -> Duration {
        let ms = match self.random.random_range(0..40) {
            0 => self.random.random_range(10..100),
            _ => self.random.random_range(1..6),
        };
        Duration::from_millis(ms)
    }

    pub fn run(mut self) -> Witness {
        let end = Timestamp::ZERO.after(self.play.length);
        while let Some(Reverse(Scheduled(at, _, event))) = self.events.pop() {
            self.now = at;
            if at < end || !matches!(event, Event::Caller) {
                self.step(event);
            }
        }
        self.witness
    }

    /// The router's own time: it stands still while the router is suspended.
    fn time_of(&self, router: usize) -> Timestamp {
        self.now.before(self.routers[router].suspended)
    }

    /// What a suspended router was to do waits until it runs again.
    fn is_held_up(&mut self, router: usize) -> Option<Duration> {
        let runs_again = self.routers[router].runs_again;
        (self.now < runs_again).then(|| runs_again.since(self.now))
    }

    fn step(&mut self, event: Event) {
        let router = match &event {
            Event::Connected(router, ..)
            | Event::Answered(router, ..)
            | Event::Told(router, ..)
            | Event::ToldEnd(router, ..)
            | Event::ToldPause(router, ..)
            | Event::ToldLeaving(router, ..)
            | Event::View(router) => Some(*router),
            _ => None,
        };
        if let Some(wait) = router.and_then(|router| self.is_held_up(router)) {
            return self.schedule(wait, event);
        }
        match event {
            Event::Caller => self.caller(),
            Event::Fault(router, fault) => self.fault(router, fault),
            Event::View(router) => self.routers[router].placement.set_instances(&self.instances),
            Event::Connected(router, choice, ticket, life, call) => {
                self.connected(router, &choice, ticket, life, call);
            }
            Event::Arrives(router, server, ticket, life, call) => {
                self.arrives(router, server, ticket, life, call);
            }
            Event::Answered(router, server, ticket, life, call, answer) => {
                self.answered(router, server, *ticket, life, call, answer);
            }
            Event::Done(server) => self.working[server] -= 1,
            Event::Told(router, request, sighting) => {
                let now = self.time_of(router);
                self.routers[router].placement.apply_peer_dispatch(request, &sighting, now);
            }
            Event::ToldPause(router, from, id, pause) => {
                let now = self.time_of(router);
                let from = NodeId(from as u64 + 1);
                self.routers[router].placement.apply_peer_backoff(&id, from, pause, now);
            }
            Event::ToldLeaving(router, id) => {
                let now = self.time_of(router);
                self.routers[router].placement.record_departure(&id, now);
            }
            Event::ToldEnd(router, request) => {
                self.routers[router].placement.apply_peer_completion(request)
            }
        }
    }

    fn caller(&mut self) {
        let gap = Duration::from_micros(self.random.random_range(0..2 * self.play.gap_us));
        self.schedule(gap, Event::Caller);
        let router = self.random.random_range(0..self.routers.len());
        if self.is_held_up(router).is_some() {
            return;
        }
        let now = self.time_of(router);
        self.routers[router].budget.record_request(SERVICE, now);
        self.witness.sent(self.now);
        self.search(router, Call { sent: self.now, tries: 0, excluded: Vec::new(), told: None });
    }

    fn search(&mut self, router: usize, mut call: Call) {
        let (now, count) = (self.time_of(router), self.routers.len() as u32);
        let random = self.random.random();
        let Router { placement, budget, life, .. } = &mut self.routers[router];
        let life = *life;
        if call.tries >= MAX_SENT || (call.tries > 0 && !budget.take(SERVICE, count, now)) {
            return self.witness.refused(call.sent);
        }
        let request = ServerRequest {
            service: SERVICE,
            prompt: None,
            sharing: 0,
            excluded: &call.excluded,
            spares_limited: false,
            rank: 1,
            may_be_refused: false,
            min_version: 0,
            objective: OBJECTIVE,
            time_left: OBJECTIVE,
            max_pause: None,
        };
        let Ok(choice) = placement.choose(&request, now, random) else {
            return self.witness.refused(call.sent);
        };
        let ticket = Box::new(placement.begin(&choice, false, now));
        call.told = Some(self.tell_sent(router, &choice.sighting()));
        let wait = match self.random.random_range(0..30) {
            0 => Duration::from_millis(self.random.random_range(0..300)),
            _ => Duration::ZERO,
        };
        self.schedule(wait, Event::Connected(router, Box::new(choice), ticket, life, call));
    }

    /// Tells the other routers of a request that is sent.
    fn tell_sent(&mut self, router: usize, sighting: &DispatchRecord) -> ReportedRequest {
        let told = &mut self.routers[router].told;
        *told = told.wrapping_add(1);
        let request = ReportedRequest { router: NodeId(router as u64 + 1), number: *told };
        self.tell(router, |other| Event::Told(other, request, sighting.clone()));
        request
    }

    fn tell_end(&mut self, router: usize, call: &mut Call) {
        if let Some(request) = call.told.take() {
            self.tell(router, |other| Event::ToldEnd(other, request));
        }
    }

    fn tell(&mut self, router: usize, event: impl Fn(usize) -> Event) {
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            let way = Duration::from_millis(25) + self.way();
            self.schedule(way, event(other));
        }
    }

    fn connected(
        &mut self,
        router: usize,
        choice: &Choice,
        ticket: Box<Ticket>,
        life: u64,
        mut call: Call,
    ) {
        if life != self.routers[router].life {
            return;
        }
        let now = self.time_of(router);
        let placement = &mut self.routers[router].placement;
        let id = &choice.instance;
        if placement.remaining_backoff(id, now).is_some() {
            placement.end(*ticket, Outcome::Cancelled, now);
            self.tell_end(router, &mut call);
            return self.search(router, call);
        }
        let server: usize = id.as_str()[2..].parse().expect("a number");
        let way = self.way();
        self.schedule(way, Event::Arrives(router, server, ticket, life, call));
    }

    fn arrives(
        &mut self,
        router: usize,
        server: usize,
        ticket: Box<Ticket>,
        life: u64,
        call: Call,
    ) {
        let now = self.now;
        let shed =
            self.play.shedding.iter().find(|(number, from, until, _)| {
                *number == server && (*from..*until).contains(&now)
            });
        let pause = shed.map(|(_, _, _, pause)| *pause);
        let is_leaving = self.play.leaving.iter().any(|(it, from)| *it == server && *from <= now);
        let is_full = self.working[server] >= self.play.slots * TAKEN_PER_SLOT;
        let is_served = pause.is_none() && !is_full;
        self.witness.arrived(Arrival { at: now, router, server, sent: call.sent });
        // A request of a life that is over may come late; the answer reaches nobody.
        let is_heard = life == self.routers[router].life;
        if let Some(pause) = pause.filter(|pause| !pause.is_zero() && is_heard) {
            self.witness.asked(router, server, now, pause);
        }
        let mut way = self.way();
        if is_served {
            let rounds = 1 + self.working[server] / self.play.slots;
            let work = WORK * rounds as u32;
            self.working[server] += 1;
            self.schedule(work, Event::Done(server));
            way += work;
        }
        let answer = Answer { is_served, pause: pause.filter(|it| !it.is_zero()), is_leaving };
        self.schedule(way, Event::Answered(router, server, ticket, life, call, answer));
    }

    fn answered(
        &mut self,
        router: usize,
        server: usize,
        mut ticket: Ticket,
        life: u64,
        mut call: Call,
        answer: Answer,
    ) {
        if life != self.routers[router].life {
            return;
        }
        let now = self.time_of(router);
        let id = InstanceId::new(format!("i-{server}"));
        self.heed(router, &id, answer, now);
        if answer.is_leaving {
            self.witness.told_leaving(router, server, self.now);
        }
        let placement = &mut self.routers[router].placement;
        if answer.is_served {
            placement.first_output(&mut ticket, now);
            placement.end(ticket, Outcome::Answered, now);
            self.tell_end(router, &mut call);
            let in_time = self.now.since(call.sent) <= OBJECTIVE;
            return self.witness.served(call.sent, in_time);
        }
        placement.end(ticket, Outcome::Full, now);
        self.tell_end(router, &mut call);
        call.tries += 1;
        call.excluded.push(id);
        self.search(router, call);
    }

    fn heed(&mut self, router: usize, id: &InstanceId, answer: Answer, now: Timestamp) {
        if self.play.heeding == Heeding::Nothing {
            return;
        }
        let tells = self.play.heeding == Heeding::Told;
        let placement = &mut self.routers[router].placement;
        let is_new = answer.is_leaving && placement.record_departure(id, now);
        let longer = answer.pause.filter(|pause| placement.observe_backoff(id, *pause, now));
        if is_new && tells {
            self.tell(router, |other| Event::ToldLeaving(other, id.clone()));
        }
        if let Some(pause) = longer.filter(|_| tells) {
            self.tell(router, |other| Event::ToldPause(other, router, id.clone(), pause));
        }
    }

    fn fault(&mut self, router: usize, fault: Fault) {
        let for_time = match fault {
            Fault::Restart => {
                let life = self.routers[router].life + 1;
                self.routers[router] = new_router(&self.instances, life);
                Duration::ZERO
            }
            Fault::Suspension(time) => {
                let until = self.now.after(time);
                let suspended = &mut self.routers[router];
                if self.now < suspended.runs_again {
                    return;
                }
                suspended.runs_again = until;
                suspended.suspended += time;
                time
            }
            Fault::LostView(time) => {
                self.routers[router].placement.set_instances(&InstanceMap::default());
                return self.schedule(time, Event::View(router));
            }
        };
        let until = self.now.after(for_time);
        self.witness.disturbed(Disturbance { router, from: self.now, until });
    }
}
