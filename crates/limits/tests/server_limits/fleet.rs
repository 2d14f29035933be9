//! Routers, the replicas that keep the account, and one server that states what it takes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use juniper_limits::{RequestRate, ToldLimit};
use juniper_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a play, in milliseconds.
pub const LENGTH_MS: u64 = 30_000;

/// When the server first states a limit, in milliseconds.
pub const NEED_FROM_MS: u64 = 4_000;

/// Time within which all routers have to act, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Span in which arrivals are counted, in milliseconds.
pub const WINDOW_MS: u64 = 4_000;

/// Time since which a router must have passed on an answer with the limit to be counted by the users'
/// rule, in milliseconds.
const PASSED_ON_MS: u64 = 500;

/// Time after which a silent replica is noticed, in milliseconds.
const NOTICED_MS: u64 = 2_100;

/// What goes wrong, with the times between which it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A replica loses power and comes back without what it knew.
    Dark(usize),
    /// All replicas do.
    AllDark,
    /// Routers below a number reach no replica and hear of no other router.
    CutRouters(usize),
    /// Routers below a number start again at `from` and know nothing.
    Restarted(usize),
    /// What routers tell each other is lost.
    NewsLost,
}

/// How the stated limit goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// It stays.
    Steady,
    /// Another rate takes its place at a time.
    Changes { at: u64, to: f64 },
    /// It differs by up to a part with each answer.
    Wavers(f64),
    /// It is over at a time.
    Ends { at: u64 },
}

pub struct Fleet {
    pub seed: u64,
    pub routers: usize,
    pub replicas: usize,
    pub rate: f64,
    pub need: Need,
    pub fault: Fault,
    pub from: u64,
    pub until: u64,
    /// Requests a second that all routers would send to the server.
    pub demand: f64,
    /// A higher one gives more of them to few routers.
    pub skew: f64,
}

impl Fleet {
    /// A fleet with a fault and a need drawn from the seed.
    pub fn drawn(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let routers = [3, 7, 24, 79][random.random_range(0..4)];
        let replicas = random.random_range(3..7);
        let rate = [0.4, 1.6, 2.7, 12.0][random.random_range(0..4)];
        let from = random.random_range(2_000..16_000);
        let until = from + random.random_range(300..9_000);
        let some = random.random_range(0..=routers);
        let fault = match random.random_range(0..6) {
            0 => Fault::None,
            1 => Fault::Dark(random.random_range(0..replicas)),
            2 => Fault::AllDark,
            3 => Fault::CutRouters(some),
            4 => Fault::Restarted(some),
            _ => Fault::NewsLost,
        };
        let at = random.random_range(9_000..20_000);
        let need = match random.random_range(0..4) {
            0 => Need::Steady,
            1 => Need::Changes { at, to: rate * random.random_range(0.4..1.0) },
            2 => Need::Wavers(0.3),
            _ => Need::Ends { at },
        };
        let demand = rate * random.random_range(0.5..6.0);
        let skew = random.random_range(1.0..6.0);
        Fleet { seed, routers, replicas, rate, need, fault, from, until, demand, skew }
    }

    /// A fleet without faults whose routers would together send `times` what the server takes.
    pub fn calm(seed: u64, routers: usize, rate: f64, times: f64, skew: f64) -> Self {
        let (fault, need) = (Fault::None, Need::Steady);
        let demand = rate * times;
        Fleet { seed, routers, replicas: 3, rate, need, fault, from: 0, until: 0, demand, skew }
    }

    fn is_faulty(&self, now: u64) -> bool {
        (self.from..self.until).contains(&now)
    }

    /// Whether the replica has power.
    pub fn has_power(&self, replica: usize, now: u64) -> bool {
        let is_dark = self.fault == Fault::Dark(replica) || self.fault == Fault::AllDark;
        !(is_dark && self.is_faulty(now))
    }

    /// Whether the router is cut off from replicas and other routers.
    pub fn is_cut(&self, router: usize, now: u64) -> bool {
        matches!(self.fault, Fault::CutRouters(below) if router < below) && self.is_faulty(now)
    }

    /// Whether the router has started again within the last millisecond.
    pub fn starts_again(&self, router: usize, since: u64, now: u64) -> bool {
        let below = matches!(self.fault, Fault::Restarted(below) if router < below);
        below && since < self.from && self.from <= now
    }

    /// Whether the router holds the replica for connected: a silent one is noticed late.
    pub fn seems_connected(&self, router: usize, replica: usize, now: u64) -> bool {
        let reaches = |at| self.has_power(replica, at) && !self.is_cut(router, at);
        reaches(now) || reaches(now.saturating_sub(NOTICED_MS))
    }

    fn loses_news(&self, from: usize, to: usize, now: u64) -> bool {
        let all_lost = matches!(self.fault, Fault::NewsLost | Fault::AllDark);
        (all_lost && self.is_faulty(now)) || self.is_cut(from, now) || self.is_cut(to, now)
    }

    /// What an answer states whose head is written now.
    fn stated(&self, now: u64, draw: f64) -> Option<RequestRate> {
        let rate = match self.need {
            _ if now < NEED_FROM_MS => return None,
            Need::Ends { at } if now >= at => return None,
            Need::Changes { at, to } if now >= at => to,
            Need::Wavers(part) => self.rate * (1.0 - part * draw),
            _ => self.rate,
        };
        Some(RequestRate::of(rate).expect("in range"))
    }

    /// The lowest rate that was stated in the window that ends now, where any was in all of it.
    fn bound(&self, begin: u64) -> Option<f64> {
        match self.need {
            Need::Ends { at } if begin + WINDOW_MS > at => None,
            // Both rates hold in a window that has the change in it.
            Need::Changes { at, to } if begin >= at + CONTACT_MS => Some(to),
            _ => Some(self.rate),
        }
    }
}

/// A way to keep to the limit.
pub trait Way {
    /// Whether the router sends a request to the server.
    fn sends(&mut self, fleet: &Fleet, router: usize, now: u64, draw: f64) -> bool;
    /// An answer to what the router sent has come. Returns what the others are told.
    fn answered(
        &mut self,
        router: usize,
        sent_at: u64,
        stated: Option<RequestRate>,
        now: u64,
    ) -> Option<ToldLimit>;
    /// What another router told has come.
    fn told(&mut self, router: usize, told: ToldLimit, now: u64);
    /// The router knows nothing any more.
    fn forgets(&mut self, router: usize);
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Happening {
    Request { router: usize },
    Answer { router: usize, sent_at: u64, stated: Option<f64> },
    News { router: usize, told: ToldLimit },
}

/// A happening in the order of time, and of number among those of one time.
#[derive(Clone, Copy, Debug)]
struct Event {
    at: u64,
    number: u64,
    what: Happening,
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

/// What came of a play.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// When requests came to the server.
    pub arrivals: Vec<u64>,
    /// The same of routers that had passed on an answer with the limit half a second before.
    pub of_told: Vec<u64>,
    /// Times that a router told all others.
    pub tellings: usize,
    /// Requests that wanted to go to the server while it stated a limit.
    pub wanted: usize,
}

struct Play<'a, W> {
    fleet: &'a Fleet,
    way: &'a mut W,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<Event>>,
    numbers: u64,
    outcome: Outcome,
    /// When each router first passed on an answer with the limit.
    passed_on: Vec<Option<u64>>,
}

impl<W: Way> Play<'_, W> {
    fn push(&mut self, at: u64, what: Happening) {
        self.numbers += 1;
        self.events.push(Reverse(Event { at, number: self.numbers, what }));
    }

    fn request(&mut self, router: usize, now: u64) {
        self.outcome.wanted += usize::from(now >= NEED_FROM_MS);
        let draw = self.random.random();
        if !self.way.sends(self.fleet, router, now, draw) {
            return;
        }
        self.outcome.arrivals.push(now);
        if self.passed_on[router].is_some_and(|at| at + PASSED_ON_MS <= now) {
            self.outcome.of_told.push(now);
        }
        let head_at = now + self.random.random_range(1..40);
        let stated = self.fleet.stated(head_at, self.random.random());
        let stated = stated.map(RequestRate::per_second);
        let comes_at = head_at + self.random.random_range(1..60);
        self.push(comes_at, Happening::Answer { router, sent_at: now, stated });
    }

    fn tell(&mut self, from: usize, told: ToldLimit, now: u64) {
        self.outcome.tellings += 1;
        for to in (0..self.fleet.routers).filter(|to| *to != from) {
            if !self.fleet.loses_news(from, to, now) {
                let at = now + self.random.random_range(15..60);
                self.push(at, Happening::News { router: to, told });
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut last = 0;
        while let Some(Reverse(Event { at, what, .. })) = self.events.pop() {
            for router in 0..self.fleet.routers {
                if self.fleet.starts_again(router, last, at) {
                    self.way.forgets(router);
                    self.passed_on[router] = None;
                }
            }
            last = at;
            match what {
                Happening::Request { router } => self.request(router, at),
                Happening::News { router, told } => self.way.told(router, told, at),
                Happening::Answer { router, sent_at, stated } => {
                    if stated.is_some() {
                        self.passed_on[router].get_or_insert(at);
                    }
                    let stated = stated.map(|rate| RequestRate::of(rate).expect("in range"));
                    if let Some(told) = self.way.answered(router, sent_at, stated, at) {
                        self.tell(router, told, at);
                    }
                }
            }
        }
        self.outcome
    }
}

/// Plays the fleet with the way.
pub fn play(fleet: &Fleet, way: &mut impl Way) -> Outcome {
    let random = ChaCha8Rng::seed_from_u64(fleet.seed ^ 0x5eed);
    let (events, outcome) = (BinaryHeap::new(), Outcome::default());
    let passed_on = vec![None; fleet.routers];
    let mut play = Play { fleet, way, random, events, numbers: 0, outcome, passed_on };
    let requests = (fleet.demand * LENGTH_MS as f64 / 1_000.0) as usize;
    for _ in 0..requests {
        let at = play.random.random_range(0..LENGTH_MS);
        let drawn = play.random.random::<f64>().powf(fleet.skew);
        let router = (drawn * fleet.routers as f64) as usize;
        play.push(at, Happening::Request { router });
    }
    play.run()
}

/// The window with most arrivals above one and a half times the limit and five, if there is any: when
/// it begins, the arrivals, and what is allowed.
pub fn worst_window(fleet: &Fleet, arrivals: &[u64]) -> Option<(u64, usize, f64)> {
    let begins = arrivals.iter().filter(|at| **at >= NEED_FROM_MS + CONTACT_MS);
    let windows = begins.filter_map(|begin| {
        let rate = fleet.bound(*begin)?;
        let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + 5.0;
        Some((*begin, in_window(arrivals, *begin), allowed))
    });
    let excess = |window: &(u64, usize, f64)| window.1 as f64 - window.2;
    windows.max_by(|one, other| excess(one).total_cmp(&excess(other)))
}

/// Arrivals in the window that begins at a time.
pub fn in_window(arrivals: &[u64], begin: u64) -> usize {
    arrivals.iter().filter(|at| (begin..begin + WINDOW_MS).contains(at)).count()
}

/// The time, as the pure code has it.
pub fn time(at: u64) -> Timestamp {
    Timestamp::ZERO.after(Duration::from_millis(at))
}
