//! Simulation of routers that share one retry budget, and of the replicas that tell them how many
//! they are, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_feed::RouterCounter;
use juniper_placement::{RetryBudget, RetrySettings};
use juniper_types::{NodeId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::{Record, WorstWindow};

const SERVICE: &str = "app";
const REPLICAS: usize = 3;
const STEP: Duration = Duration::from_millis(20);

/// Interval at which a router asks a replica, before and after the first confirmation.
const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(80);
const CONFIRM_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which either end of a silent connection closes it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_100);

/// Time until a router connects again to a replica, at most.
const MAX_RECONNECT_MS: u64 = 400;

/// Longest time between the charge of a retry and its arrival at a server.
const MAX_SEND_MS: u64 = 100;

/// Interval at which a router checks the age of the reports.
const CHECK_INTERVAL_MS: u128 = 400;

/// The same time on the clock of the confirmations.
fn boot_instant(time: Timestamp) -> BootInstant {
    BootInstant::BOOT + time.since(Timestamp::ZERO)
}

/// How routers learn the number of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// All routers that there ever are, known at all times.
    Exact,
    /// What the replicas report.
    Reported,
}

#[derive(Clone, Debug)]
pub enum Fault {
    /// The router's process ends and starts again after the duration.
    KillRouter(usize, Duration),
    /// The replica's process ends and starts again after the duration.
    KillReplica(usize, Duration),
    /// The router stands still.
    FreezeRouter(usize, Duration),
    /// The router stands still, and serves the requests that callers sent to it meanwhile afterwards:
    /// at once, or over as long a time, as they are transmitted again.
    FreezeRouterWithCallers { router: usize, length: Duration, transmitted_again: bool },
    /// Retries that are sent meanwhile arrive at its end.
    HoldRetries(Duration),
    /// These routers and replicas are partitioned from the rest.
    Cut { routers: Vec<usize>, replicas: Vec<usize>, length: Duration },
    /// These routers don't reach these replicas.
    Block { routers: Vec<usize>, replicas: Vec<usize>, length: Duration },
    /// All callers use these routers from now on.
    MoveCallers(Vec<usize>),
}

/// A scenario to simulate.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub settings: RetrySettings,
    pub routers: usize,
    /// Routers that start only when a fault restarts them.
    pub absent: Vec<usize>,
    /// Callers' requests per second, over all routers.
    pub rate: f64,
    /// When the servers begin to fail every request.
    pub failing_from: Duration,
    pub length: Duration,
    pub counting: Counting,
    pub faults: Vec<(Duration, Fault)>,
}

struct Replica {
    /// When the process is back, if it is down.
    down_until: Option<Timestamp>,
    confirmed_at: Option<Timestamp>,
    /// Time of the last message of each connected router.
    heard: Vec<Option<Timestamp>>,
}

#[derive(Clone, Copy)]
struct Link {
    is_up: bool,
    next_at: Timestamp,
    heard_at: Timestamp,
}

struct Router {
    down_until: Option<Timestamp>,
    frozen_until: Timestamp,
    /// Whether callers send to the router while it stands still.
    callers_wait: bool,
    /// Longest time until a request that was sent meanwhile is served once the router runs again.
    max_delay: Duration,
    /// When the requests that were sent meanwhile are served.
    waiting: Vec<Timestamp>,
    started_at: Timestamp,
    budget: RetryBudget,
    counter: RouterCounter,
    /// Number of routers by which the free retries are divided.
    router_count: Option<u32>,
    is_confirmed: bool,
    links: [Link; REPLICAS],
}

impl Router {
    fn new(settings: RetrySettings, now: Timestamp) -> Self {
        Router {
            down_until: None,
            frozen_until: now,
            callers_wait: false,
            max_delay: Duration::ZERO,
            waiting: Vec::new(),
            started_at: now,
            budget: RetryBudget::new(settings),
            counter: RouterCounter::default(),
            router_count: None,
            is_confirmed: false,
            links: [Link { is_up: false, next_at: now, heard_at: now }; REPLICAS],
        }
    }

    fn is_running(&self, now: Timestamp) -> bool {
        self.down_until.is_none() && self.frozen_until <= now
    }

    fn update_count(&mut self, now: Timestamp) {
        let members: BTreeSet<NodeId> = (0..REPLICAS).map(node).collect();
        let count = self.counter.count(&members, boot_instant(now));
        self.router_count = count.and_then(|count| count.sharing);
    }

    /// Time of the router's own clock, which starts with its process.
    fn local(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO.after(now.since(self.started_at))
    }
}

/// The simulated fleet.
pub struct Fleet {
    scenario: Scenario,
    routers: Vec<Router>,
    replicas: Vec<Replica>,
    /// Routers that callers use.
    targets: Vec<usize>,
    /// Which router doesn't reach which replica, and until when.
    blocked: Vec<[Timestamp; REPLICAS]>,
    /// Which replicas don't reach each other, and until when.
    split: [[Timestamp; REPLICAS]; REPLICAS],
    /// Until when retries are held back on their way to the servers.
    held_until: Timestamp,
    record: Record,
    draws: ChaCha8Rng,
}

fn node(replica: usize) -> NodeId {
    NodeId(replica as u64 + 1)
}

impl Fleet {
    /// Plays the scenario and returns the window with the most retries.
    pub fn play(scenario: Scenario, seed: u64) -> WorstWindow {
        let settings = scenario.settings;
        let start = Timestamp::ZERO;
        let mut routers: Vec<Router> =
            (0..scenario.routers).map(|_| Router::new(settings, start)).collect();
        for absent in &scenario.absent {
            routers[*absent].down_until = Some(Timestamp::MAX);
        }
        let replica = || Replica {
            down_until: None,
            confirmed_at: None,
            heard: vec![None; scenario.routers],
        };
        let mut fleet = Fleet {
            targets: (0..scenario.routers).collect(),
            blocked: vec![[start; REPLICAS]; scenario.routers],
            split: [[start; REPLICAS]; REPLICAS],
            held_until: start,
            replicas: (0..REPLICAS).map(|_| replica()).collect(),
            routers,
            record: Record::default(),
            draws: ChaCha8Rng::seed_from_u64(seed),
            scenario,
        };
        fleet.run();
        fleet.record.worst_window(&settings)
    }

    fn run(&mut self) {
        let mut faults = self.scenario.faults.clone();
        faults.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        let steps = self.scenario.length.as_micros() / STEP.as_micros();
        for step in 0..steps as u64 {
            let now = Timestamp::from_micros(step * STEP.as_micros() as u64);
            while faults.last().is_some_and(|(at, _)| Timestamp::ZERO.after(*at) <= now) {
                let (_, fault) = faults.pop().expect("there is a last fault");
                self.apply(fault, now);
            }
            self.step_replicas(now);
            (0..self.routers.len()).for_each(|router| self.step_router(router, now));
            self.send_requests(now);
        }
    }

    fn apply(&mut self, fault: Fault, now: Timestamp) {
        match fault {
            Fault::KillRouter(router, down) => {
                self.routers[router].down_until = Some(now.after(down));
                self.replicas.iter_mut().for_each(|replica| replica.heard[router] = None);
            }
            Fault::KillReplica(replica, down) => {
                let killed = &mut self.replicas[replica];
                killed.down_until = Some(now.after(down));
                killed.confirmed_at = None;
                killed.heard.fill(None);
                for router in &mut self.routers {
                    router.links[replica] = Link { is_up: false, next_at: now, heard_at: now };
                }
            }
            Fault::FreezeRouter(router, length) => {
                self.routers[router].frozen_until = now.after(length);
            }
            Fault::FreezeRouterWithCallers { router, length, transmitted_again } => {
                let frozen = &mut self.routers[router];
                frozen.frozen_until = now.after(length);
                frozen.callers_wait = true;
                frozen.max_delay = if transmitted_again { length } else { Duration::ZERO };
            }
            Fault::HoldRetries(length) => self.held_until = now.after(length),
            Fault::Cut { routers, replicas, length } => {
                let until = now.after(length);
                let is_inside = |replica: usize| replicas.contains(&replica);
                for one in 0..REPLICAS {
                    for other in (0..REPLICAS).filter(|other| is_inside(one) != is_inside(*other)) {
                        self.split[one][other] = until;
                    }
                    for router in 0..self.routers.len() {
                        if routers.contains(&router) != is_inside(one) {
                            self.blocked[router][one] = until;
                        }
                    }
                }
            }
            Fault::Block { routers, replicas, length } => {
                let until = now.after(length);
                for router in routers {
                    replicas.iter().for_each(|replica| self.blocked[router][*replica] = until);
                }
            }
            Fault::MoveCallers(targets) => self.targets = targets,
        }
    }

    fn step_replicas(&mut self, now: Timestamp) {
        for replica in 0..REPLICAS {
            if self.replicas[replica].down_until.is_some_and(|until| until <= now) {
                self.replicas[replica].down_until = None;
            }
            if self.replicas[replica].down_until.is_some() {
                continue;
            }
            let reaches = |other: &usize| {
                self.replicas[*other].down_until.is_none() && self.split[replica][*other] <= now
            };
            let has_quorum = (0..REPLICAS).filter(reaches).count() * 2 > REPLICAS;
            let current = &mut self.replicas[replica];
            if has_quorum {
                current.confirmed_at = Some(now);
            }
            for heard in &mut current.heard {
                *heard = heard.filter(|at| now.since(*at) < SILENCE_TIMEOUT);
            }
        }
    }

    fn step_router(&mut self, index: usize, now: Timestamp) {
        if self.routers[index].down_until.is_some_and(|until| until <= now) {
            self.routers[index] = Router::new(self.scenario.settings, now);
        }
        if self.routers[index].is_running(now) {
            self.routers[index].callers_wait = false;
            let due = self.routers[index].waiting.extract_if(.., |due| *due <= now).count();
            (0..due).for_each(|_| self.serve(index, now));
            let local = self.routers[index].local(now);
            self.routers[index].budget.record_running(local);
            (0..REPLICAS).for_each(|replica| self.step_link(index, replica, now));
            if now.since(Timestamp::ZERO).as_millis().is_multiple_of(CHECK_INTERVAL_MS) {
                self.routers[index].update_count(now);
            }
        }
    }

    fn step_link(&mut self, index: usize, replica: usize, now: Timestamp) {
        let link = self.routers[index].links[replica];
        if link.is_up && now.since(link.heard_at) > SILENCE_TIMEOUT {
            self.routers[index].links[replica].is_up = false;
            return;
        }
        if link.next_at > now {
            return;
        }
        let is_reached =
            self.replicas[replica].down_until.is_none() && self.blocked[index][replica] <= now;
        let reconnect = Duration::from_millis(self.draws.random_range(100..MAX_RECONNECT_MS));
        if !is_reached {
            let pause = if link.is_up { CONFIRM_INTERVAL } else { reconnect };
            self.routers[index].links[replica].next_at = now.after(pause);
            return;
        }
        let asked = &mut self.replicas[replica];
        asked.heard[index] = Some(now);
        let count = asked.heard.iter().flatten().count() as u32;
        let confirmed_at = asked.confirmed_at;
        let router = &mut self.routers[index];
        if let Some(confirmed_at) = confirmed_at {
            router.counter.record(node(replica), count, boot_instant(confirmed_at));
            router.update_count(now);
            router.is_confirmed = true;
        }
        let pause = match router.is_confirmed {
            true => CONFIRM_INTERVAL,
            false => FIRST_CONFIRM_INTERVAL,
        };
        router.links[replica] = Link { is_up: true, next_at: now.after(pause), heard_at: now };
    }

    fn send_requests(&mut self, now: Timestamp) {
        let expected = self.scenario.rate * STEP.as_secs_f64();
        let count =
            expected.floor() as usize + usize::from(self.draws.random::<f64>() < expected.fract());
        for _ in 0..count {
            self.record.requests.push(now);
            let running: Vec<usize> = self.targets.clone();
            let first = self.draws.random_range(0..running.len());
            let order = running.iter().cycle().skip(first).take(running.len());
            let takes = |router: &usize| {
                let router = &self.routers[*router];
                router.is_running(now) || router.callers_wait
            };
            match order.copied().find(takes) {
                Some(router) if self.routers[router].is_running(now) => self.serve(router, now),
                Some(router) => {
                    let delay: f64 = self.draws.random();
                    let waited_for = &mut self.routers[router];
                    let due = waited_for.frozen_until.after(waited_for.max_delay.mul_f64(delay));
                    waited_for.waiting.push(due);
                }
                None => {}
            }
        }
    }

    /// Serves a request; failing servers fail the retries too, of which each request may have two.
    fn serve(&mut self, index: usize, now: Timestamp) {
        let count = match self.scenario.counting {
            Counting::Exact => Some(self.scenario.routers as u32),
            Counting::Reported => self.routers[index].router_count,
        };
        let router = &mut self.routers[index];
        let local = router.local(now);
        router.budget.set_routers(count, local);
        router.budget.record_request(SERVICE, local);
        if now < Timestamp::ZERO.after(self.scenario.failing_from) {
            return;
        }
        for _ in 0..2 {
            if router.budget.take_retry(SERVICE, local, self.draws.random()) {
                let delay = Duration::from_millis(self.draws.random_range(1..MAX_SEND_MS));
                self.record.retries.push(now.after(delay).max(self.held_until));
            }
        }
    }
}
