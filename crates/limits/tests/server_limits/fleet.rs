//! Simulated routers, the replicas that own the account, and one server that advertises a limit.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use juniper_limits::{PeerLimit, RequestRate};
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Simulated time, in milliseconds.
pub const DURATION_MS: u64 = 30_000;

/// When the server starts to advertise a limit, in milliseconds.
pub const ADVERTISED_FROM_MS: u64 = 4_000;

/// Time within which all routers have to apply a new limit, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Window over which arrivals are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;

/// Time after a router's first answer with the limit from which on its requests are counted when
/// reports are lost, in milliseconds.
const AWARENESS_MS: u64 = 500;

/// Time until a router detects that a replica is down, in milliseconds.
const DETECTION_MS: u64 = 2_100;

/// Injected fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A replica crashes and restarts without its state.
    ReplicaDown(usize),
    /// All replicas crash.
    AllReplicasDown,
    /// Routers below an index reach no replica and receive no reports.
    PartitionedRouters(usize),
    /// Routers below an index restart at `from` without their state.
    RestartedRouters(usize),
    /// All reports between routers are lost.
    ReportsLost,
}

/// Course of the advertised limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Advertisement {
    /// Constant rate.
    Steady,
    /// Rate that changes once.
    Changes { at: u64, to: f64 },
    /// Rate that is reduced by a random fraction, up to this one, in each answer.
    Fluctuates(f64),
    /// Rate that is no longer advertised from a time on.
    Ends { at: u64 },
}

pub struct Fleet {
    pub seed: u64,
    pub routers: usize,
    pub replicas: usize,
    pub rate: f64,
    pub advertisement: Advertisement,
    pub fault: Fault,
    pub from: u64,
    pub until: u64,
    /// Demand of all routers together, in requests per second.
    pub demand: f64,
    /// Concentration of the demand: a higher value assigns more of it to fewer routers.
    pub skew: f64,
}

impl Fleet {
    /// Creates a fleet with a random fault and advertisement.
    pub fn random(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let routers = [3, 7, 24, 79][rng.random_range(0..4)];
        let replicas = rng.random_range(3..7);
        let rate = [0.4, 1.6, 2.7, 12.0][rng.random_range(0..4)];
        let from = rng.random_range(2_000..16_000);
        let until = from + rng.random_range(300..9_000);
        let below = rng.random_range(0..=routers);
        let fault = match rng.random_range(0..6) {
            0 => Fault::None,
            1 => Fault::ReplicaDown(rng.random_range(0..replicas)),
            2 => Fault::AllReplicasDown,
            3 => Fault::PartitionedRouters(below),
            4 => Fault::RestartedRouters(below),
            _ => Fault::ReportsLost,
        };
        let at = rng.random_range(9_000..20_000);
        let advertisement = match rng.random_range(0..4) {
            0 => Advertisement::Steady,
            1 => Advertisement::Changes { at, to: rate * rng.random_range(0.4..1.0) },
            2 => Advertisement::Fluctuates(0.3),
            _ => Advertisement::Ends { at },
        };
        let demand = rate * rng.random_range(0.5..6.0);
        let skew = rng.random_range(1.0..6.0);
        Fleet { seed, routers, replicas, rate, advertisement, fault, from, until, demand, skew }
    }

    /// Creates a fleet without faults whose demand is `demand_ratio` times the limit.
    pub fn fault_free(seed: u64, routers: usize, rate: f64, demand_ratio: f64, skew: f64) -> Self {
        let (fault, advertisement) = (Fault::None, Advertisement::Steady);
        let demand = rate * demand_ratio;
        Fleet {
            seed,
            routers,
            replicas: 3,
            rate,
            advertisement,
            fault,
            from: 0,
            until: 0,
            demand,
            skew,
        }
    }

    fn is_faulty(&self, now: u64) -> bool {
        (self.from..self.until).contains(&now)
    }

    /// Whether the replica is running.
    pub fn is_up(&self, replica: usize, now: u64) -> bool {
        let is_down =
            self.fault == Fault::ReplicaDown(replica) || self.fault == Fault::AllReplicasDown;
        !(is_down && self.is_faulty(now))
    }

    /// Whether the router is partitioned from replicas and other routers.
    pub fn is_partitioned(&self, router: usize, now: u64) -> bool {
        matches!(self.fault, Fault::PartitionedRouters(below) if router < below)
            && self.is_faulty(now)
    }

    /// Whether the router restarts after `since`, up to `now`.
    pub fn restarts(&self, router: usize, since: u64, now: u64) -> bool {
        let below = matches!(self.fault, Fault::RestartedRouters(below) if router < below);
        below && since < self.from && self.from <= now
    }

    /// Whether the router considers the replica connected. A failure is detected with a delay.
    pub fn seems_connected(&self, router: usize, replica: usize, now: u64) -> bool {
        let reaches = |at| self.is_up(replica, at) && !self.is_partitioned(router, at);
        reaches(now) || reaches(now.saturating_sub(DETECTION_MS))
    }

    fn loses_report(&self, from: usize, to: usize, now: u64) -> bool {
        let all_lost = matches!(self.fault, Fault::ReportsLost | Fault::AllReplicasDown);
        (all_lost && self.is_faulty(now))
            || self.is_partitioned(from, now)
            || self.is_partitioned(to, now)
    }

    /// Rate advertised by an answer whose head is sent now.
    fn advertised(&self, now: u64, draw: f64) -> Option<RequestRate> {
        let rate = match self.advertisement {
            _ if now < ADVERTISED_FROM_MS => return None,
            Advertisement::Ends { at } if now >= at => return None,
            Advertisement::Changes { at, to } if now >= at => to,
            Advertisement::Fluctuates(part) => self.rate * (1.0 - part * draw),
            _ => self.rate,
        };
        Some(RequestRate::new(rate).expect("in range"))
    }

    /// Rate that the requirement applies to a window that starts at `begin`, or `None` if the limit
    /// ends within the window.
    fn required_rate(&self, begin: u64) -> Option<f64> {
        match self.advertisement {
            Advertisement::Ends { at } if begin + WINDOW_MS > at => None,
            // The initial rate applies until the change has propagated.
            Advertisement::Changes { at, to } if begin >= at + PROPAGATION_MS => Some(to),
            _ => Some(self.rate),
        }
    }
}

/// Strategy to enforce the limit.
pub trait Strategy {
    /// Whether the router sends a request to the server. `draw` is uniform in 0..1.
    fn admits(&mut self, fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool;
    /// Processes an answer. Returns the report to the other routers, if any.
    fn observe_answer(
        &mut self,
        router: usize,
        sent_at: u64,
        advertised: Option<RequestRate>,
        now: u64,
    ) -> Option<PeerLimit>;
    /// Processes a peer's report.
    fn apply_report(&mut self, router: usize, reported: PeerLimit, now: u64);
    /// Discards the router's state.
    fn restart(&mut self, router: usize);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EventKind {
    Request { router: usize },
    Answer { router: usize, sent_at: u64, advertised: Option<f64> },
    Report { router: usize, reported: PeerLimit },
}

/// Event, ordered by time and then by number.
#[derive(Clone, Copy, Debug)]
struct Event {
    at: u64,
    number: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Arrival times of requests at the server, in milliseconds.
    pub arrivals: Vec<u64>,
    /// Arrival times of requests from routers that observed the limit half a second earlier.
    pub of_aware_routers: Vec<u64>,
    /// Number of reports that routers broadcast.
    pub reports: usize,
    /// Number of requests for the server while it advertised a limit.
    pub attempts: usize,
}

struct Simulation<'a, W> {
    fleet: &'a Fleet,
    strategy: &'a mut W,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<Event>>,
    next_number: u64,
    outcome: Outcome,
    /// When each router first received an answer with the limit.
    aware_since: Vec<Option<u64>>,
}

impl<W: Strategy> Simulation<'_, W> {
    fn push(&mut self, at: u64, kind: EventKind) {
        self.next_number += 1;
        self.events.push(Reverse(Event { at, number: self.next_number, kind }));
    }

    fn request(&mut self, router: usize, now: u64) {
        self.outcome.attempts += usize::from(now >= ADVERTISED_FROM_MS);
        let draw = self.rng.random();
        if !self.strategy.admits(self.fleet, router, now, draw) {
            return;
        }
        self.outcome.arrivals.push(now);
        if self.aware_since[router].is_some_and(|at| at + AWARENESS_MS <= now) {
            self.outcome.of_aware_routers.push(now);
        }
        let head_at = now + self.rng.random_range(1..40);
        let advertised = self.fleet.advertised(head_at, self.rng.random());
        let advertised = advertised.map(RequestRate::per_second);
        let received_at = head_at + self.rng.random_range(1..60);
        self.push(received_at, EventKind::Answer { router, sent_at: now, advertised });
    }

    fn broadcast(&mut self, from: usize, reported: PeerLimit, now: u64) {
        self.outcome.reports += 1;
        for to in (0..self.fleet.routers).filter(|to| *to != from) {
            if !self.fleet.loses_report(from, to, now) {
                let at = now + self.rng.random_range(15..60);
                self.push(at, EventKind::Report { router: to, reported });
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut last = 0;
        while let Some(Reverse(Event { at, kind, .. })) = self.events.pop() {
            for router in 0..self.fleet.routers {
                if self.fleet.restarts(router, last, at) {
                    self.strategy.restart(router);
                    self.aware_since[router] = None;
                }
            }
            last = at;
            match kind {
                EventKind::Request { router } => self.request(router, at),
                EventKind::Report { router, reported } => {
                    self.strategy.apply_report(router, reported, at)
                }
                EventKind::Answer { router, sent_at, advertised } => {
                    if advertised.is_some() {
                        self.aware_since[router].get_or_insert(at);
                    }
                    let advertised =
                        advertised.map(|rate| RequestRate::new(rate).expect("in range"));
                    if let Some(report) =
                        self.strategy.observe_answer(router, sent_at, advertised, at)
                    {
                        self.broadcast(router, report, at);
                    }
                }
            }
        }
        self.outcome
    }
}

/// Runs the strategy on the fleet.
pub fn simulate(fleet: &Fleet, strategy: &mut impl Strategy) -> Outcome {
    let rng = ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x5eed);
    let (events, outcome) = (BinaryHeap::new(), Outcome::default());
    let aware_since = vec![None; fleet.routers];
    let mut simulation =
        Simulation { fleet, strategy, rng, events, next_number: 0, outcome, aware_since };
    let requests = (fleet.demand * DURATION_MS as f64 / 1_000.0) as usize;
    for _ in 0..requests {
        let at = simulation.rng.random_range(0..DURATION_MS);
        let position = simulation.rng.random::<f64>().powf(fleet.skew);
        let router = (position * fleet.routers as f64) as usize;
        simulation.push(at, EventKind::Request { router });
    }
    simulation.run()
}

/// Window with the largest excess over the allowed arrivals, 1.5 times the limit plus five
/// requests: its start, the arrivals, and the allowed arrivals.
pub fn worst_window(fleet: &Fleet, arrivals: &[u64]) -> Option<(u64, usize, f64)> {
    let starts = arrivals.iter().filter(|at| **at >= ADVERTISED_FROM_MS + PROPAGATION_MS);
    let windows = starts.filter_map(|begin| {
        let rate = fleet.required_rate(*begin)?;
        let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + 5.0;
        Some((*begin, in_window(arrivals, *begin), allowed))
    });
    let excess = |window: &(u64, usize, f64)| window.1 as f64 - window.2;
    windows.max_by(|one, other| excess(one).total_cmp(&excess(other)))
}

/// Number of arrivals in the window that starts at `begin`.
pub fn in_window(arrivals: &[u64], begin: u64) -> usize {
    arrivals.iter().filter(|at| (begin..begin + WINDOW_MS).contains(at)).count()
}

/// Converts milliseconds since the start of the simulation to a timestamp.
pub fn time(at: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(at))
}
