//! Simulated fleet. Routers send prompts to the server that their last shared part leads to; a server
//! crashes soon after it begins a prompt with a crashing part, with all that run beside it. Reports and
//! records reach the other routers late, and some are lost and repeated.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_quarantine::{PartCrashReport, PartCrashes, Rebroadcast, Report};
use juniper_registry::InstanceId;
use juniper_simulation::{EventQueue, Random};
use juniper_types::{RequestFingerprint, Timestamp};

use crate::outcome::Outcome;

pub const MILLI: u64 = 1_000;
const END: u64 = 16_000 * MILLI;

/// Time from which sound prompts are judged, after the fifth crash.
const JUDGED_AFTER: u64 = 2 * CONTACT_TIME;

/// Time after a fault for which a router doesn't count as in touch, and after the fifth crash within
/// which all others learn of it.
const CONTACT_TIME: u64 = 3_000 * MILLI;

/// Crashes after which the users allow few more.
const CRASHES: usize = 5;

/// Time for which a crashed server is down.
const DOWN_TIME: u64 = 3_300 * MILLI;

/// Shared parts that frequent prompts begin with; crashing ones begin with the first.
const FIRST_PARTS: u64 = 4;

/// Shared parts that are rare.
const RARE_PARTS: u64 = 485;

#[derive(Clone, Copy, Debug)]
pub struct WorldSettings {
    pub routers: usize,
    pub servers: usize,
    pub prompts_per_second: u64,
    /// Parts that crash servers. One prompt in twelve has one of them.
    pub crashing_parts: u64,
    /// Whether routers are killed and cut off, and servers crash for other reasons.
    pub faults: bool,
    /// Whether servers crash for other reasons.
    pub server_faults: bool,
}

impl Default for WorldSettings {
    fn default() -> Self {
        WorldSettings {
            routers: 7,
            servers: 12,
            prompts_per_second: 60,
            crashing_parts: 1,
            faults: false,
            server_faults: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Crashing,
    /// Sent beside a crashing prompt, to the same server.
    Neighbour,
    Sound,
}

#[derive(Clone, Debug)]
struct Prompt {
    router: usize,
    parts: Vec<RequestFingerprint>,
    trial: Option<RequestFingerprint>,
    is_running: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    Arrival,
    Done { prompt: usize, server: usize, life: u64 },
    Crash { prompt: usize, server: usize, life: u64 },
    Proven { router: usize, report: PartCrashReport },
    Deliver { to: usize, report: Report, sent_at: u64 },
    Recorded { router: usize },
    Maintenance,
    Fault,
}

pub struct SimulatedRouter {
    pub parts: PartCrashes,
    pub repeats: Rebroadcast,
    pub down_until: u64,
    pub cut_until: u64,
    pub last_fault: u64,
}

pub struct SimulatedServer {
    down_until: u64,
    /// Number of the incarnation.
    life: u64,
    running: Vec<usize>,
}

pub struct World {
    pub settings: WorldSettings,
    pub random: Random,
    pub queue: EventQueue<Event>,
    pub routers: Vec<SimulatedRouter>,
    pub servers: Vec<SimulatedServer>,
    prompts: Vec<Prompt>,
    pub recorded: BTreeSet<RequestFingerprint>,
    /// Times of crashes under each crashing part.
    crashes: Vec<Vec<u64>>,
    trial_at: u64,
    pub outcome: Outcome,
}

fn part(group: u8, number: u64) -> RequestFingerprint {
    let mut bytes = [group; 16];
    bytes[8..].copy_from_slice(&number.to_be_bytes());
    RequestFingerprint(bytes)
}

impl World {
    pub fn new(seed: u64, settings: WorldSettings) -> Self {
        let router = |_| SimulatedRouter {
            parts: PartCrashes::default(),
            repeats: Rebroadcast::default(),
            down_until: 0,
            cut_until: 0,
            last_fault: 0,
        };
        let server = |_| SimulatedServer { down_until: 0, life: 0, running: Vec::new() };
        World {
            settings,
            random: Random::new(seed),
            queue: EventQueue::default(),
            routers: (0..settings.routers).map(router).collect(),
            servers: (0..settings.servers).map(server).collect(),
            prompts: Vec::new(),
            recorded: BTreeSet::new(),
            crashes: vec![Vec::new(); settings.crashing_parts as usize],
            trial_at: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        self.queue.schedule_after(0, Event::Arrival);
        self.queue.schedule_after(0, Event::Maintenance);
        self.queue.schedule_after(500 * MILLI, Event::Fault);
        while self.queue.now() < END {
            let Some(event) = self.queue.pop() else { break };
            self.handle(event);
        }
        self.outcome
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(Duration::from_micros(self.queue.now()))
    }

    pub fn is_server_up(&self, server: usize) -> bool {
        self.servers[server].down_until <= self.queue.now()
    }

    pub fn is_router_up(&self, router: usize) -> bool {
        self.routers[router].down_until <= self.queue.now()
    }

    pub fn has_contact(&self, router: usize) -> bool {
        self.is_router_up(router) && self.routers[router].cut_until <= self.queue.now()
    }

    fn is_in_touch(&self, router: usize) -> bool {
        let last_fault = self.routers[router].last_fault;
        last_fault == 0 || last_fault + CONTACT_TIME < self.queue.now()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Done { prompt, server, life } => self.finish(prompt, server, life),
            Event::Crash { prompt, server, life } => {
                if self.servers[server].life == life && self.prompts[prompt].is_running {
                    self.crash_server(server, Some(prompt));
                }
            }
            Event::Proven { router, report } => self.report_crash(router, report),
            Event::Deliver { to, report, sent_at } => self.deliver(to, report, sent_at),
            Event::Recorded { router } => self.adopt(router),
            Event::Maintenance => self.maintain(),
            Event::Fault => self.fault(),
        }
    }

    /// A prompt arrives, and beside a crashing one its neighbour.
    fn arrive(&mut self) {
        let gap = 2 * SECOND_MICROS / self.settings.prompts_per_second;
        let next = self.random.between(0, gap);
        self.queue.schedule_after(next, Event::Arrival);
        let first = part(1, self.random.between(0, FIRST_PARTS - 1));
        let rare = part(2, self.random.between(0, RARE_PARTS - 1));
        if self.settings.crashing_parts == 0 || self.random.between(0, 11) > 0 {
            return self.send(Kind::Sound, vec![first, rare]);
        }
        let crashing = self.random.between(0, self.settings.crashing_parts - 1);
        self.send(Kind::Neighbour, vec![part(1, 0), part(4, crashing)]);
        self.send(Kind::Crashing, vec![part(1, 0), part(3, crashing)]);
    }

    fn send(&mut self, kind: Kind, parts: Vec<RequestFingerprint>) {
        let router = self.random.between(0, self.routers.len() as u64 - 1) as usize;
        if !self.is_router_up(router) {
            return;
        }
        let (now, quarantine) = (self.now(), &self.routers[router].parts);
        let refused: Vec<_> =
            parts.iter().filter(|part| quarantine.is_quarantined(part)).copied().collect();
        let may_try = matches!(refused[..], [part] if quarantine.is_trial_due(&part, now));
        let mut trial = None;
        if may_try && self.has_contact(router) && self.trial_at + SECOND_MICROS <= self.queue.now()
        {
            self.trial_at = self.queue.now();
            self.outcome.trials += 1;
            trial = Some(refused[0]);
        }
        let is_refused = !refused.is_empty() && trial.is_none();
        let server = self.pick_server(&parts).filter(|_| !is_refused);
        self.count_sent(kind, &parts, router, server.is_some(), is_refused);
        let Some(server) = server else { return };
        let prompt = self.prompts.len();
        self.prompts.push(Prompt { router, parts, trial, is_running: true });
        self.servers[server].running.push(prompt);
        let life = self.servers[server].life;
        let (event, time) = match kind {
            Kind::Crashing => (Event::Crash { prompt, server, life }, self.random.between(30, 250)),
            _ => (Event::Done { prompt, server, life }, self.random.between(150, 900)),
        };
        self.queue.schedule_after(time * MILLI, event);
    }

    /// Home server of the prompt's last shared part, or the next one that is up. Neighbours have the
    /// home of the crashing part that they come with.
    fn pick_server(&self, parts: &[RequestFingerprint]) -> Option<usize> {
        let last = parts.last()?.0;
        let number = u64::from_be_bytes(last[8..].try_into().expect("eight bytes"));
        let count = self.servers.len();
        let home = (number.wrapping_mul(7) as usize) % count;
        let servers = (0..count).map(|offset| (home + offset) % count);
        servers.into_iter().find(|server| self.is_server_up(*server))
    }

    fn count_sent(
        &mut self,
        kind: Kind,
        parts: &[RequestFingerprint],
        router: usize,
        is_sent: bool,
        is_refused: bool,
    ) {
        let (now, is_in_touch) = (self.queue.now(), self.is_in_touch(router));
        let fifth = |crashes: &Vec<u64>| crashes.get(CRASHES - 1).copied();
        if kind == Kind::Crashing {
            let number = parts[1].0[15] as usize;
            let is_later = fifth(&self.crashes[number]).is_some_and(|at| at + CONTACT_TIME < now);
            self.outcome.later_sends += usize::from(is_sent && is_later && is_in_touch);
            return;
        }
        let last =
            self.crashes.iter().filter_map(|crashes| crashes.iter().take(CRASHES).next_back());
        let is_judged = last.max().is_some_and(|at| at + JUDGED_AFTER < now);
        let has_first_part = parts[0] == part(1, 0);
        let is_counted = is_judged || self.settings.crashing_parts == 0;
        if !is_counted || !is_in_touch || !has_first_part {
            return;
        }
        let prompts = match kind {
            Kind::Neighbour => &mut self.outcome.neighbour,
            _ => &mut self.outcome.shared,
        };
        prompts.sent += 1;
        prompts.begun += usize::from(is_sent);
        prompts.refused += usize::from(is_refused);
    }

    fn finish(&mut self, prompt: usize, server: usize, life: u64) {
        if self.servers[server].life != life || !self.prompts[prompt].is_running {
            return;
        }
        self.prompts[prompt].is_running = false;
        self.servers[server].running.retain(|running| *running != prompt);
        let (router, now) = (self.prompts[prompt].router, self.now());
        if !self.is_router_up(router) {
            return;
        }
        for part in self.prompts[prompt].parts.clone() {
            let known = self.routers[router].parts.record_completion(part, now);
            if let Some((report, _)) = known {
                self.publish(router, Report::PartCompletion(report));
            }
        }
    }

    /// Crashes a server, under a prompt or for a reason of its own.
    pub fn crash_server(&mut self, server: usize, by: Option<usize>) {
        let now = self.queue.now();
        if let Some(prompt) = by {
            let number = self.prompts[prompt].parts[1].0[15] as usize;
            self.crashes[number].push(now);
            self.outcome.crashes += 1;
        }
        let crashed = &mut self.servers[server];
        let instance = InstanceId::new(format!("s{server}-{}", crashed.life));
        crashed.life += 1;
        crashed.down_until = now + DOWN_TIME;
        let interrupted = std::mem::take(&mut crashed.running);
        let routers: BTreeSet<usize> =
            interrupted.iter().map(|prompt| self.prompts[*prompt].router).collect();
        for router in routers {
            let own = interrupted.iter().filter(|prompt| self.prompts[**prompt].router == router);
            let own: Vec<&Prompt> = own.map(|prompt| &self.prompts[*prompt]).collect();
            let parts: BTreeSet<_> = own.iter().flat_map(|prompt| prompt.parts.clone()).collect();
            let trial = own.iter().find_map(|prompt| prompt.trial);
            let (instance, parts) = (instance.clone(), parts.into_iter().collect());
            let report = PartCrashReport { instance, age: Duration::ZERO, parts, trial };
            let proven_after = self.random.between(3, 74) * MILLI;
            self.queue.schedule_after(proven_after, Event::Proven { router, report });
        }
        for prompt in interrupted {
            self.prompts[prompt].is_running = false;
        }
    }
}

const SECOND_MICROS: u64 = 1_000 * MILLI;
