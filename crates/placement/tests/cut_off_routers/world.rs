//! Simulated fleet: routers with a placement each, servers, and delayed reports between routers.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_placement::{Choice, Outcome, Placement, Reporter, ServerRequest, Ticket};
use juniper_registry::{
    Instance, InstanceId, InstanceMap, InstanceName, InstanceReport, InstanceState, StartTime,
};
use juniper_simulation::{EventQueue, MILLI};
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "app";
const ZONES: [&str; 3] = ["north", "middle", "south"];

/// Time of the cut or crash, in milliseconds after the start.
const CUT_AT_MS: u64 = 1_000;

/// Requests of each router per second.
const REQUESTS_PER_SECOND: f64 = 4.0;

/// Routers of each kind, cut off or not, that receive reports and are observed. The others only
/// send reports, which bounds the work of a large fleet.
const MAX_OBSERVED: usize = 16;

/// Time that a server takes to answer, in milliseconds.
const SERVICE_MS: u64 = 40;

/// Time until a silent connection attempt is given up, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Delay of a report between routers, in milliseconds.
const REPORT_DELAY_MS: std::ops::Range<u64> = 20..120;

/// Interval between checks for due probes, in milliseconds.
const PROBE_CHECK_MS: u64 = 100;

/// Servers that a request may be refused by or fail to reach.
const MAX_ATTEMPTS: usize = 4;

/// How connection attempts of a cut-off router end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing answers.
    Silent,
    /// New connections are refused at once.
    Refused,
}

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub routers: usize,
    pub servers: usize,
}

enum Event {
    Arrival { router: usize },
    AttemptEnd { router: usize, ticket: Ticket, ok: bool, excluded: Vec<InstanceId> },
    Report { from: usize, instance: InstanceId, reached: bool },
    ProbeCheck { router: usize },
    ProbeEnd { router: usize, probe: Probe, ok: bool },
}

/// A probe, and when it was sent, in milliseconds.
struct Probe {
    instance: InstanceId,
    sent_ms: u64,
    /// Whether it verifies other routers' reports.
    is_verification: bool,
}

struct Router {
    placement: Placement,
    zone: &'static str,
    is_cut_off: bool,
    is_observed: bool,
}

/// An attempt by a router that is not cut off.
struct ObservedAttempt {
    at_ms: u64,
    candidates: usize,
    ok: bool,
}

/// The fleet.
pub struct World {
    sizes: Sizes,
    cut: Cut,
    routers: Vec<Router>,
    crashed: Vec<bool>,
    events: EventQueue<Event>,
    random: ChaCha8Rng,
    attempts: Vec<ObservedAttempt>,
}

fn instance(number: usize) -> Instance {
    let report = InstanceReport {
        name: InstanceName::new(format!("i-{number}")),
        started: StartTime::UNKNOWN,
        software: None,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 9, (number >> 8) as u8, number as u8), 80),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 64,
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
    pub fn new(sizes: Sizes, is_cut_off: impl Fn(usize) -> bool, cut: Cut, seed: u64) -> Self {
        let instances: InstanceMap =
            (0..sizes.servers).map(|number| Arc::new(instance(number))).collect();
        let mut counts = [0; 2];
        let routers = (0..sizes.routers).map(|number| {
            let zone = ZONES[number % ZONES.len()];
            let mut placement = Placement::new(zone);
            placement.set_instances(&instances);
            let of_kind = &mut counts[usize::from(is_cut_off(number))];
            *of_kind += 1;
            let is_observed = *of_kind <= MAX_OBSERVED;
            Router { placement, zone, is_cut_off: is_cut_off(number), is_observed }
        });
        let mut world = World {
            sizes,
            cut,
            routers: routers.collect(),
            crashed: vec![false; sizes.servers],
            events: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            attempts: Vec::new(),
        };
        for router in 0..sizes.routers {
            world.schedule_arrival(router);
            let first_check = world.random.random_range(0..PROBE_CHECK_MS);
            world.schedule(first_check, Event::ProbeCheck { router });
        }
        world
    }

    /// Lets the first `count` servers crash instead of cutting routers off.
    pub fn crash_servers(&mut self, count: usize) {
        self.crashed[..count].fill(true);
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

    fn schedule_arrival(&mut self, router: usize) {
        let interval_ms =
            -self.random.random::<f64>().max(1e-9).ln() * 1_000.0 / REQUESTS_PER_SECOND;
        self.schedule(interval_ms as u64 + 1, Event::Arrival { router });
    }

    /// Plays until `after_cut_ms` after the cut.
    pub fn play(&mut self, after_cut_ms: u64) {
        while let Some(event) = self.events.pop() {
            if self.now_ms() > CUT_AT_MS + after_cut_ms {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { router } => {
                self.schedule_arrival(router);
                self.attempt(router, Vec::new());
            }
            Event::AttemptEnd { router, ticket, ok, excluded } => {
                self.end_attempt(router, ticket, ok, excluded);
            }
            Event::Report { from, instance, reached } => self.deliver(from, &instance, reached),
            Event::ProbeCheck { router } => {
                self.send_probes(router);
                self.schedule(PROBE_CHECK_MS, Event::ProbeCheck { router });
            }
            Event::ProbeEnd { router, probe, ok } => self.end_probe(router, probe, ok),
        }
    }

    fn send_probes(&mut self, router: usize) {
        let (now, random) = (self.now(), self.random.random());
        let placement = &mut self.routers[router].placement;
        let verifications = placement.take_due_verifications(now);
        let mut probes = placement.take_due_probes(now);
        probes.extend(placement.take_reference_probes(now, random));
        let probes = probes.into_iter().map(|(instance, _)| (instance, false));
        let verifications = verifications.into_iter().map(|(instance, _)| (instance, true));
        for (instance, is_verification) in probes.chain(verifications).collect::<Vec<_>>() {
            let (ok, after_ms) = self.connect(router, &instance);
            let probe = Probe { instance, sent_ms: self.now_ms(), is_verification };
            self.schedule(after_ms, Event::ProbeEnd { router, probe, ok });
        }
    }

    /// Whether a connection is established, and the time that this takes, in milliseconds.
    fn connect(&self, router: usize, instance: &InstanceId) -> (bool, u64) {
        if self.now_ms() < CUT_AT_MS {
            return (true, 1);
        }
        if self.crashed[number_of(instance)] {
            return (false, CONNECT_TIMEOUT_MS);
        }
        match (self.routers[router].is_cut_off, self.cut) {
            (false, _) => (true, 1),
            (true, Cut::Silent) => (false, CONNECT_TIMEOUT_MS),
            (true, Cut::Refused) => (false, 1),
        }
    }

    fn attempt(&mut self, router: usize, excluded: Vec<InstanceId>) {
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
            objective: Duration::from_millis(300),
            time_left: Duration::from_millis(300),
            max_gap: None,
        };
        let placement = &mut self.routers[router].placement;
        let Ok(choice) = placement.choose(&request, now, random) else { return };
        let ticket = placement.begin_request(&choice, false, now);
        self.send(router, &choice, ticket, excluded);
    }

    fn send(
        &mut self,
        router: usize,
        choice: &Choice,
        ticket: Ticket,
        mut excluded: Vec<InstanceId>,
    ) {
        let (ok, connect_ms) = self.connect(router, &choice.instance);
        let Router { is_cut_off, is_observed, .. } = self.routers[router];
        if is_observed && !is_cut_off && excluded.is_empty() {
            let candidates = choice.candidates;
            self.attempts.push(ObservedAttempt { at_ms: self.now_ms(), candidates, ok });
        }
        let after_ms = connect_ms + if ok { SERVICE_MS } else { 0 };
        excluded.push(choice.instance.clone());
        self.schedule(after_ms, Event::AttemptEnd { router, ticket, ok, excluded });
    }

    fn end_attempt(
        &mut self,
        router: usize,
        mut ticket: Ticket,
        ok: bool,
        excluded: Vec<InstanceId>,
    ) {
        let now = self.now();
        let placement = &mut self.routers[router].placement;
        if ok {
            placement.record_first_output(&mut ticket, now);
            return placement.end_request(ticket, Outcome::Answered, now);
        }
        let is_refused = self.cut == Cut::Refused;
        let instance = excluded.last().expect("the failed server");
        placement.record_connect_failure(instance, is_refused, now);
        placement.end_request(ticket, Outcome::Unreachable, now);
        if excluded.len() < MAX_ATTEMPTS {
            self.attempt(router, excluded);
        }
    }

    fn end_probe(&mut self, router: usize, probe: Probe, ok: bool) {
        let Probe { instance, sent_ms, is_verification } = probe;
        let now = self.now();
        let placement = &mut self.routers[router].placement;
        match ok {
            true => placement.record_connected(&instance, Timestamp::from_millis(sent_ms), now),
            false if !is_verification => {
                placement.record_connect_failure(&instance, self.cut == Cut::Refused, now);
            }
            false => {}
        }
        let failures = placement.take_reportable_failures();
        failures.into_iter().for_each(|failed| self.publish(router, failed.instance, false));
        if ok {
            self.publish(router, instance, true);
        }
    }

    fn publish(&mut self, from: usize, instance: InstanceId, reached: bool) {
        let delay_ms = self.random.random_range(REPORT_DELAY_MS);
        self.schedule(delay_ms, Event::Report { from, instance, reached });
    }

    fn deliver(&mut self, from: usize, instance: &InstanceId, reached: bool) {
        let now = self.now();
        let verify_after_ms = (self.sizes.routers as u64 * 20).clamp(100, 2_000);
        let reporter = Reporter { node: from as u64 + 1, zone: self.routers[from].zone };
        for (number, router) in self.routers.iter_mut().enumerate() {
            if number != from && router.is_observed {
                let verify_after = self.random.random_range(0..verify_after_ms);
                let verify_after = Duration::from_millis(verify_after);
                let placement = &mut router.placement;
                placement.apply_peer_reachability(reporter, instance, reached, verify_after, now);
            }
        }
    }

    fn first_attempts(&self, after_cut_ms: u64) -> impl Iterator<Item = &ObservedAttempt> {
        self.attempts.iter().filter(move |attempt| attempt.at_ms >= CUT_AT_MS + after_cut_ms)
    }

    /// Smallest share of the servers that was considered for a request at a sound router.
    pub fn lowest_candidate_share(&self, after_cut_ms: u64) -> f64 {
        let fewest = self.first_attempts(after_cut_ms).map(|attempt| attempt.candidates).min();
        fewest.expect("requests") as f64 / self.sizes.servers as f64
    }

    /// Share of the first attempts of sound routers that failed.
    pub fn failed_share(&self, after_cut_ms: u64) -> f64 {
        let failed = self.first_attempts(after_cut_ms).filter(|attempt| !attempt.ok).count();
        failed as f64 / self.first_attempts(after_cut_ms).count() as f64
    }
}
