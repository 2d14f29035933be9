//! What one router knows of the limit that a server states for all routers together.
//!
//! A limit is heard in the server's answers, or from another router that heard it. It is kept by
//! one account for all routers, as those of tenants are. It ends with an answer that states none, and
//! never by time alone: after a pause the account has room for a request, whose answer tells. What
//! one router hasn't heard for long others may hear. A limit that is over doubles step by step, so that
//! routers that had turned away from the server don't all come back at once.

use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

use crate::account::{RateLimit, Verdict};
use crate::stated::RequestRate;

/// Time after which a limit that is over has doubled once more.
const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Doublings after which a limit that is over is forgotten.
const DOUBLINGS: u64 = 6;

/// Part of a second's requests that may come at once; at least one may.
const BURST_SECONDS: f64 = 0.25;

/// Difference to the known rate, relative to it, below which a stated one is the same.
const SAME_RATE: f64 = 0.05;

/// Time between two tellings of a limit that stays, by all routers together. A router that knows
/// nothing learns it by then, or from its own first answer.
const RETELL_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between two tellings by one router of a limit that changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a limit heard here outweighs word from elsewhere that it is over: that may have
/// crossed the answer.
const CROSSING_TIME: Duration = Duration::from_millis(300);

/// Longest time for which a server is left alone because this router's own part of the limit is
/// used up. The replica that keeps the account may answer again by then.
const MAX_OWN_PAUSE: Duration = Duration::from_secs(1);

/// Half-life of how much of the limit is used.
const USE_HALF_LIFE: Duration = Duration::from_secs(2);

/// A limit as routers tell it each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ToldLimit {
    /// Orders what is told of one server; the highest holds.
    pub sequence: u64,
    /// The rate stated last.
    pub rate: RequestRate,
    /// Whether the server states it no longer.
    pub is_over: bool,
}

/// What all routers together may send at the moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The rate, and what may come at once.
    pub limit: RateLimit,
    /// Version of the account's limit; the highest holds.
    pub version: u64,
}

/// Who decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decider {
    /// The replica that keeps the account.
    Owner,
    /// This router, within its own part.
    Router,
}

/// What one router knows of one server's limit.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimit {
    known: ToldLimit,
    /// When the known rate was taken over.
    since: Timestamp,
    /// When a router last heard the server state it.
    stated_at: Timestamp,
    /// When this router last heard the server state it.
    heard_at: Option<Timestamp>,
    /// When any router last told it to the others.
    told_at: Option<Timestamp>,
    /// Whether the others know less than this router.
    has_news: bool,
    /// Until when no request has a chance.
    used_up_until: Timestamp,
    /// Part of the limit that all routers used of late.
    used: Decaying,
}

impl ServerLimit {
    /// A first answer states it. `unix_ms` is the time of day: it orders what routers tell that
    /// know nothing of each other yet.
    pub fn heard_first(rate: RequestRate, now: Timestamp, unix_ms: u64) -> Self {
        let known = ToldLimit { sequence: unix_ms, rate, is_over: false };
        ServerLimit { heard_at: Some(now), ..Self::new(known, now) }
    }

    /// Another router tells it first.
    pub fn told_first(told: ToldLimit, now: Timestamp) -> Self {
        ServerLimit { told_at: Some(now), has_news: false, ..Self::new(told, now) }
    }

    fn new(known: ToldLimit, now: Timestamp) -> Self {
        let mut used = Decaying::new(USE_HALF_LIFE);
        // A server states a limit when it gets more than it takes.
        used.add(1.0, now);
        ServerLimit {
            known,
            since: now,
            stated_at: now,
            heard_at: None,
            told_at: None,
            has_news: true,
            used_up_until: Timestamp::ZERO,
            used,
        }
    }

    /// The rate stated last.
    pub fn rate(&self) -> RequestRate {
        self.known.rate
    }

    /// An answer to this router states it. Returns whether it is another rate than was known.
    pub fn heard(&mut self, rate: RequestRate, now: Timestamp, unix_ms: u64) -> bool {
        let is_same = !self.known.is_over && is_same_rate(rate, self.known.rate);
        (self.stated_at, self.heard_at) = (now, Some(now));
        if !is_same {
            self.change(rate, false, now, unix_ms);
        }
        !is_same
    }

    /// An answer to a request that this router sent at `sent_at` states none. Returns whether the
    /// limit is over by that: an answer to what was sent before the limit was last stated may
    /// be older than the limit.
    pub fn heard_none(&mut self, sent_at: Timestamp, now: Timestamp, unix_ms: u64) -> bool {
        let is_over = sent_at > self.stated_at && !self.known.is_over;
        if is_over {
            self.change(self.known.rate, true, now, unix_ms);
        }
        is_over
    }

    /// Another router tells it. Returns whether it is news.
    pub fn told(&mut self, told: ToldLimit, now: Timestamp, unix_ms: u64) -> bool {
        if told.sequence < self.known.sequence {
            return false;
        }
        let crosses = self.heard_at.is_some_and(|at| now.since(at) < CROSSING_TIME);
        if told.is_over && crosses && !self.known.is_over {
            // The server stated it to this router: the others have to hear of that.
            self.known.sequence = told.sequence;
            self.change(self.known.rate, false, now, unix_ms);
            return false;
        }
        let is_news = told.sequence > self.known.sequence;
        if is_news {
            self.used_up_until = self.used_up_until.min(self.end_of_pause(told, now));
            (self.known, self.since, self.has_news) = (told, now, false);
        }
        if !told.is_over {
            self.stated_at = now;
        }
        self.told_at = Some(now);
        is_news
    }

    /// What the other routers should be told now, if anything.
    pub fn news(&mut self, now: Timestamp) -> Option<ToldLimit> {
        let age = self.told_at.map(|at| now.since(at));
        let is_fresh = self.stated_at == now;
        let is_due = match self.has_news {
            true => age.is_none_or(|age| age >= CHANGE_INTERVAL),
            false => is_fresh && age.is_none_or(|age| age >= RETELL_INTERVAL),
        };
        if !is_due {
            return None;
        }
        (self.told_at, self.has_news) = (Some(now), false);
        Some(self.known)
    }

    /// What all routers together may send now; `None` once the limit is over for good.
    pub fn allowance(&self, now: Timestamp) -> Option<Allowance> {
        let doublings = self.doublings(now);
        if doublings >= DOUBLINGS {
            return None;
        }
        let per_second = self.known.rate.per_second() * (doublings as f64).exp2();
        let limit = RateLimit { per_second, burst: (per_second * BURST_SECONDS).max(1.0) };
        Some(Allowance { limit, version: self.known.sequence + doublings })
    }

    /// It was decided whether a request may be sent.
    pub fn decided(&mut self, verdict: &Verdict, by: Decider, now: Timestamp) {
        let fleet_per_second = match *verdict {
            Verdict::Admitted { fleet_per_second } => fleet_per_second,
            Verdict::Refused { pause, fleet_per_second } => {
                let pause = match by {
                    Decider::Owner => pause,
                    Decider::Router => pause.min(MAX_OWN_PAUSE),
                };
                self.used_up_until = now.after(pause);
                fleet_per_second
            }
        };
        if by == Decider::Owner {
            let used = (fleet_per_second / self.known.rate.per_second()).clamp(0.0, 1.0);
            self.used = Decaying::new(USE_HALF_LIFE);
            self.used.add(used, now);
        }
    }

    /// Time until a request has a chance; `None` if it has one now.
    pub fn pause(&self, now: Timestamp) -> Option<Duration> {
        let pause = self.used_up_until.since(now);
        let is_used_up = !pause.is_zero() && self.doublings(now) < DOUBLINGS;
        is_used_up.then_some(pause)
    }

    /// Part of the limit that all routers used of late, from 0 to 1.
    pub fn used_part(&self, now: Timestamp) -> f64 {
        match self.doublings(now) {
            0 => self.used.at(now).clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    /// How often a limit that is over has doubled.
    fn doublings(&self, now: Timestamp) -> u64 {
        if !self.known.is_over {
            return 0;
        }
        let elapsed = now.since(self.since).as_millis();
        u64::try_from(elapsed / DOUBLING_TIME.as_millis()).unwrap_or(u64::MAX)
    }

    fn change(&mut self, rate: RequestRate, is_over: bool, now: Timestamp, unix_ms: u64) {
        // Above every version that the account may have from the doublings.
        let sequence = unix_ms.max(self.known.sequence + DOUBLINGS + 1);
        let known = ToldLimit { sequence, rate, is_over };
        self.used_up_until = self.used_up_until.min(self.end_of_pause(known, now));
        (self.known, self.since, self.has_news) = (known, now, true);
    }

    /// When a pause ends that was told under the former rate: a higher rate shortens it.
    fn end_of_pause(&self, next: ToldLimit, now: Timestamp) -> Timestamp {
        let pause = self.used_up_until.since(now);
        let factor = self.known.rate.per_second() / next.rate.per_second();
        let factor = if next.is_over { factor / 2.0 } else { factor };
        now.after(pause.mul_f64(factor.min(1.0)))
    }
}

fn is_same_rate(one: RequestRate, other: RequestRate) -> bool {
    let difference = (one.per_second() - other.per_second()).abs();
    difference <= other.per_second() * SAME_RATE
}
