//! Comparison of a queue at the routers with sending at once and with refusing, while a wave of load
//! passes. `WAITING_SEEDS` sets the number of seeds.

use std::time::Duration;

use juniper_types::Timestamp;
use juniper_waiting::{Return, ReturnSchedule};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVERS: usize = 20;
const ROUTERS: usize = 20;

/// Age of the backlogs that routers know of, in milliseconds.
const REPORT_DELAY_MS: usize = 30;

/// Servers of which a router takes the least busy one, so that not all routers take the same.
const CANDIDATES: usize = 4;

/// Time by which a request must be expected before its objective, for what other routers have sent
/// lately. With 0, 30 and 60 ms, fewer requests are in time under each policy.
const MARGIN_MS: f64 = 120.0;

/// Part of a first output that doesn't occupy a server, and prefill of 1,000 tokens, in milliseconds.
const FIXED_MS: f64 = 52.0;
const PREFILL_MS: f64 = 11.0;

/// Largest number of requests in a router's queue.
const MAX_QUEUE: usize = 32;

const DURATION_MS: usize = 36_000;
const PERIOD_MS: f64 = 12_000.0;

/// Kind of requests: rank, prefill in thousands of tokens, objective and deadline in milliseconds.
#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    tokens: f64,
    objective_ms: f64,
    deadline_ms: usize,
    share: f64,
}

const KINDS: [Kind; 2] = [
    Kind { rank: 0, tokens: 0.8, objective_ms: 300.0, deadline_ms: 12_000, share: 0.28 },
    Kind { rank: 1, tokens: 4.0, objective_ms: 400.0, deadline_ms: 4_000, share: 0.72 },
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    SendAtOnce,
    /// Refuse what is expected to be late.
    Refuse,
    /// Hold a request for at most a quarter of its objective, until a server's backlog is at most
    /// this many milliseconds; then send it or refuse it.
    Queue {
        backlog_ms: f64,
    },
}

#[derive(Clone, Copy)]
struct Request {
    kind: Kind,
    arrived: usize,
    deadline: usize,
    is_return: bool,
}

impl Request {
    fn prefill_ms(&self) -> f64 {
        self.kind.tokens * PREFILL_MS
    }

    /// Time until the first output is late, for a request that is sent at `now`.
    fn time_left_ms(&self, now: usize) -> f64 {
        self.kind.objective_ms - (now - self.arrived) as f64
    }
}

/// Requests in time, and all requests without returns.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    in_time: f64,
    all: f64,
}

struct World {
    policy: Policy,
    rng: ChaCha8Rng,
    /// Time at which each server has computed its backlog, in milliseconds.
    busy_until: [f64; SERVERS],
    /// Earlier values of `busy_until`.
    history: Vec<[f64; SERVERS]>,
    /// Prefill that each router has sent to each server, with the time.
    sent: Vec<Vec<(usize, usize, f64)>>,
    queues: Vec<Vec<Request>>,
    schedules: Vec<ReturnSchedule>,
    returns: Vec<Vec<Request>>,
    outcome: Outcome,
}

impl World {
    fn new(policy: Policy, seed: u64) -> Self {
        World {
            policy,
            rng: ChaCha8Rng::seed_from_u64(seed),
            busy_until: [0.0; SERVERS],
            history: Vec::new(),
            sent: vec![Vec::new(); ROUTERS],
            queues: vec![Vec::new(); ROUTERS],
            schedules: vec![ReturnSchedule::default(); ROUTERS],
            returns: vec![Vec::new(); DURATION_MS + 12_000],
            outcome: Outcome::default(),
        }
    }

    /// The least busy of a few servers, as far as the router knows, with its backlog.
    fn least_busy(&mut self, router: usize, now: usize) -> (usize, f64) {
        let reported =
            now.checked_sub(REPORT_DELAY_MS).map_or([0.0; SERVERS], |at| self.history[at]);
        self.sent[router].retain(|(at, _, _)| at + REPORT_DELAY_MS > now);
        let candidates = [0; CANDIDATES].map(|_| self.rng.random_range(0..SERVERS));
        let backlogs = candidates.into_iter().map(|server| {
            let own = self.sent[router].iter().filter(|(_, to, _)| *to == server);
            let own: f64 = own.map(|(_, _, prefill)| prefill).sum();
            (server, (reported[server] - now as f64).max(0.0) + own)
        });
        backlogs.min_by(|one, other| one.1.total_cmp(&other.1)).expect("servers")
    }

    fn send(&mut self, router: usize, server: usize, request: &Request, now: usize) {
        let prefill = request.prefill_ms();
        let started = self.busy_until[server].max(now as f64);
        self.busy_until[server] = started + prefill;
        self.sent[router].push((now, server, prefill));
        self.schedules[router].record_admission(request.kind.rank, at(now));
        let took = started + prefill + FIXED_MS - request.arrived as f64;
        self.outcome.in_time += f64::from(u8::from(took <= request.kind.objective_ms));
    }

    fn refuse(&mut self, router: usize, request: Request, excess_ms: f64, now: usize) {
        let left = Duration::from_millis((request.deadline - now) as u64);
        let excess = Duration::from_secs_f64(excess_ms.max(0.0) / 1_000.0);
        self.schedules[router].record_overload(excess, at(now));
        let random = self.rng.random();
        let answer = self.schedules[router].next(request.kind.rank, left, at(now), random);
        if let Return::At(wait) = answer
            && !request.is_return
        {
            let arrived = now + wait.as_millis() as usize + 1;
            self.returns[arrived].push(Request { arrived, is_return: true, ..request });
        }
    }

    /// Sends the request or refuses it if it would be late.
    fn decide(&mut self, router: usize, request: Request, now: usize) {
        let (server, backlog) = self.least_busy(router, now);
        let late_ms =
            backlog + request.prefill_ms() + FIXED_MS + MARGIN_MS - request.time_left_ms(now);
        match self.policy == Policy::SendAtOnce || late_ms <= 0.0 {
            true => self.send(router, server, &request, now),
            false => self.refuse(router, request, late_ms, now),
        }
    }

    fn arrive(&mut self, router: usize, request: Request, now: usize) {
        match self.policy {
            Policy::Queue { .. } if self.queues[router].len() < MAX_QUEUE => {
                self.queues[router].push(request);
            }
            _ => self.decide(router, request, now),
        }
    }

    /// Sends from the router's queue, most urgent and then least remaining time first.
    fn drain(&mut self, router: usize, backlog_ms: f64, now: usize) {
        self.queues[router].sort_by(|one, other| {
            let left = one.time_left_ms(now).total_cmp(&other.time_left_ms(now));
            one.kind.rank.cmp(&other.kind.rank).then(left)
        });
        let mut index = 0;
        while index < self.queues[router].len() {
            let request = self.queues[router][index];
            let waited = (now - request.arrived) as f64;
            let (_, backlog) = self.least_busy(router, now);
            if backlog <= backlog_ms || waited >= request.kind.objective_ms / 4.0 {
                self.queues[router].remove(index);
                self.decide(router, request, now);
            } else {
                index += 1;
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mean_ms: f64 = KINDS.iter().map(|kind| kind.share * kind.tokens * PREFILL_MS).sum();
        let mean_per_ms = SERVERS as f64 / mean_ms / 1.1;
        let mut credit = 0.0;
        for now in 0..DURATION_MS {
            let wave = 1.0 - 0.55 * (now as f64 / PERIOD_MS * std::f64::consts::TAU).sin();
            credit += self.rng.random_range(0.0..2.0) * mean_per_ms * wave;
            while credit >= 1.0 {
                credit -= 1.0;
                let kind = KINDS[usize::from(self.rng.random::<f64>() > KINDS[0].share)];
                let deadline = now + kind.deadline_ms;
                self.returns[now].push(Request { kind, arrived: now, deadline, is_return: false });
                self.outcome.all += 1.0;
            }
            for request in std::mem::take(&mut self.returns[now]) {
                let router = self.rng.random_range(0..ROUTERS);
                self.arrive(router, request, now);
            }
            if let Policy::Queue { backlog_ms } = self.policy {
                (0..ROUTERS).for_each(|router| self.drain(router, backlog_ms, now));
            }
            self.history.push(self.busy_until);
        }
        self.outcome
    }
}

fn at(now: usize) -> Timestamp {
    Timestamp::from_millis(now as u64)
}

/// Share of all requests that are answered in time.
fn in_time(policy: Policy) -> f64 {
    let seeds = std::env::var("WAITING_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| World::new(policy, seed).run()).collect();
    let sum = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>();
    let share = sum(|outcome| outcome.in_time) / sum(|outcome| outcome.all);
    println!("{policy:?}: {share:.4} in time");
    share
}

/// Guards the decision against a queue at the routers: no queue may answer more requests in time
/// than refusals do.
#[test]
fn a_queue_at_the_routers_answers_no_more_requests_in_time_than_refusals() {
    let refused = in_time(Policy::Refuse);
    let at_once = in_time(Policy::SendAtOnce);
    let backlogs = [10.0, 30.0, 60.0, 120.0];
    let queued = backlogs.map(|backlog_ms| in_time(Policy::Queue { backlog_ms }));
    assert!(at_once < refused, "{at_once} {refused}");
    assert!(queued.iter().all(|queued| *queued <= refused), "{queued:?} {refused}");
}
