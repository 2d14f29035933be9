//! Simulated service with routers and callers while a wave of load passes.

use std::time::Duration;

use juniper_types::Timestamp;
use juniper_waiting::{Return, ReturnSchedule};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Routers of the service.
pub const ROUTERS: usize = 40;

/// Requests per second that the service can do, relative to the mean load.
const CAPACITY: f64 = 1.1;

/// Mean requests per second, over all routers.
const MEAN_LOAD: f64 = 400.0;

/// Age of the queue that routers know, in milliseconds.
const REPORT_DELAY_MS: usize = 30;

/// Longest queue for which a request is admitted, by rank, in milliseconds: 0.5 and 0.4 of an
/// objective of 300 ms.
const LIMITS_MS: [f64; 2] = [150.0, 120.0];

/// Share of urgent callers.
const URGENT_SHARE: f64 = 0.3;

/// Callers of a service.
#[derive(Clone, Copy, Debug)]
pub struct Callers {
    /// Share of those that return at once.
    pub hasty_share: f64,
    /// Time from the first request to the deadline.
    pub deadline_ms: u64,
}

/// Load over time.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Between 0.45 and 1.55 of the mean, with this period in milliseconds.
    Wave(f64),
    /// Steady at a multiple of the mean.
    Steady(f64),
    /// Three times the mean for 400 ms every 4 s, 0.7 of it otherwise.
    Bursts,
}

impl Load {
    fn at(self, now: u64) -> f64 {
        match self {
            Load::Wave(period) => 1.0 + 0.55 * (now as f64 / period * std::f64::consts::TAU).sin(),
            Load::Steady(load) => load,
            Load::Bursts if now % 4_000 < 400 => 3.0,
            Load::Bursts => 0.7,
        }
    }
}

/// Rule that decides when callers return.
pub trait Rule {
    fn admitted(&mut self, _router: usize, _rank: u8, _now: Timestamp) {}

    /// Called each millisecond.
    fn passed(&mut self, _now: u64) {}

    fn refused(&mut self, router: usize, refused: &Refused, now: Timestamp) -> Return;
}

/// A refused caller.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    pub rank: u8,
    pub time_left: Duration,
    pub excess: Duration,
    pub random: f64,
}

/// Schedule of each router.
pub struct Scheduled(pub Vec<ReturnSchedule>);

impl Scheduled {
    pub fn new() -> Self {
        Scheduled(vec![ReturnSchedule::default(); ROUTERS])
    }
}

impl Rule for Scheduled {
    fn admitted(&mut self, router: usize, rank: u8, now: Timestamp) {
        self.0[router].record_admission(rank, now);
    }

    fn refused(&mut self, router: usize, refused: &Refused, now: Timestamp) -> Return {
        let Refused { rank, time_left, excess, random } = *refused;
        self.0[router].record_overload(excess, now);
        self.0[router].next(rank, time_left, now, random)
    }
}

/// Schedules of routers of which one restarts every 1,200 ms.
pub struct Restarting(pub Scheduled);

impl Rule for Restarting {
    fn admitted(&mut self, router: usize, rank: u8, now: Timestamp) {
        self.0.admitted(router, rank, now);
    }

    fn passed(&mut self, now: u64) {
        if now.is_multiple_of(1_200) {
            self.0.0[(now / 1_200) as usize % ROUTERS] = ReturnSchedule::default();
        }
    }

    fn refused(&mut self, router: usize, refused: &Refused, now: Timestamp) -> Return {
        self.0.refused(router, refused, now)
    }
}

/// Earlier rule: the excess, at least a tenth of the objective, with jitter.
pub struct ExcessWithJitter;

impl Rule for ExcessWithJitter {
    fn refused(&mut self, _router: usize, refused: &Refused, _now: Timestamp) -> Return {
        let wait = refused.excess.max(Duration::from_millis(30)).mul_f64(1.0 + refused.random);
        Return::At(wait)
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    rank: u8,
    deadline: u64,
    returns: u32,
    /// Whether the caller ignores the stated time.
    is_hasty: bool,
}

/// Callers of one rank and one behaviour.
#[derive(Clone, Copy, Debug, Default)]
pub struct Group {
    pub callers: u64,
    pub served: u64,
    pub refusals: u64,
    /// Callers that returned after a refusal.
    pub returned: u64,
    pub served_returns: u64,
}

impl Group {
    pub fn served_returns_share(&self) -> f64 {
        self.served_returns as f64 / self.returned.max(1) as f64
    }

    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.callers.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// By rank: callers that return at the stated time.
    pub patient: [Group; 2],
    /// By rank: callers that return at once.
    pub hasty: [Group; 2],
}

impl Group {
    fn plus(self, other: Group) -> Group {
        Group {
            callers: self.callers + other.callers,
            served: self.served + other.served,
            refusals: self.refusals + other.refusals,
            returned: self.returned + other.returned,
            served_returns: self.served_returns + other.served_returns,
        }
    }
}

impl Outcome {
    pub fn all_patient(&self) -> Group {
        self.patient[0].plus(self.patient[1])
    }

    pub fn all_hasty(&self) -> Group {
        self.hasty[0].plus(self.hasty[1])
    }

    pub fn plus(self, other: Outcome) -> Outcome {
        let add = |one: [Group; 2], two: [Group; 2]| [one[0].plus(two[0]), one[1].plus(two[1])];
        Outcome { patient: add(self.patient, other.patient), hasty: add(self.hasty, other.hasty) }
    }
}

/// Runs a service for `duration_ms` in steps of 1 ms.
pub fn simulate(
    rule: &mut impl Rule,
    load: Load,
    callers: Callers,
    seed: u64,
    duration_ms: u64,
) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let per_ms = MEAN_LOAD * CAPACITY / 1_000.0;
    // Length of the queue in each millisecond, in milliseconds.
    let mut queue_ms: Vec<f64> = vec![0.0];
    let mut due: Vec<Vec<Caller>> = vec![Vec::new(); duration_ms as usize + 12_000];
    let mut credit = 0.0;
    for now in 0..duration_ms {
        rule.passed(now);
        credit += rng.random_range(0.0..2.0) * MEAN_LOAD * load.at(now) / 1_000.0;
        while credit >= 1.0 {
            credit -= 1.0;
            let rank = u8::from(!rng.random_bool(URGENT_SHARE));
            let is_hasty = rng.random_bool(callers.hasty_share);
            due[now as usize].push(Caller {
                rank,
                deadline: now + callers.deadline_ms,
                returns: 0,
                is_hasty,
            });
        }
        let known_ms = queue_ms[queue_ms.len().saturating_sub(REPORT_DELAY_MS + 1)];
        let mut added_ms = 0.0;
        for caller in std::mem::take(&mut due[now as usize]) {
            let groups = if caller.is_hasty { &mut outcome.hasty } else { &mut outcome.patient };
            let group = &mut groups[usize::from(caller.rank)];
            let router = rng.random_range(0..ROUTERS);
            let when = Timestamp::from_millis(now);
            group.callers += u64::from(caller.returns == 0);
            group.returned += u64::from(caller.returns == 1);
            let limit_ms = LIMITS_MS[usize::from(caller.rank)];
            if known_ms <= limit_ms {
                rule.admitted(router, caller.rank, when);
                added_ms += 1.0 / per_ms;
                group.served += 1;
                group.served_returns += u64::from(caller.returns == 1);
                continue;
            }
            group.refusals += 1;
            let time_left = Duration::from_millis(caller.deadline - now);
            let excess = Duration::from_secs_f64((known_ms - limit_ms) / 1_000.0);
            let refused = Refused { rank: caller.rank, time_left, excess, random: rng.random() };
            let answer = rule.refused(router, &refused, when);
            match answer {
                Return::At(wait) if caller.returns == 0 && wait <= time_left / 3 => {
                    let wait = if caller.is_hasty { Duration::from_millis(5) } else { wait };
                    let at = now + wait.as_millis() as u64 + 1;
                    due[at as usize].push(Caller { returns: 1, ..caller });
                }
                _ => {}
            }
        }
        let length = queue_ms[queue_ms.len() - 1] + added_ms - 1.0;
        queue_ms.push(length.max(0.0));
    }
    outcome
}
