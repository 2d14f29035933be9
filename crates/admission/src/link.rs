//! Load of a router's own network link.
//!
//! A router that gets most connections of a zone fills its link with requests that it can't answer in
//! time: their answers and its connections to servers wait behind them, and their callers repeat them.
//! It has to refuse connections before their requests are sent.

use std::collections::VecDeque;
use std::time::Duration;

use juniper_types::{Decaying, Timestamp};

/// Share of the link that requests and answers may use on average. Above it packets wait.
const TARGET_SHARE: f64 = 0.75;

/// Time for which a link that was idle may be used in full.
const BURST_TIME: Duration = Duration::from_millis(60);

/// Bytes that an idle link takes at once, however slow it is: a few requests.
const MIN_BURST_BYTES: f64 = 65_536.0;

/// Time that a link may be behind at most, after which it is used as before.
const MAX_DEBT_TIME: Duration = Duration::from_millis(300);

/// Longest time from the acceptance of a connection for which its request is expected. Callers may
/// open connections in advance.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Half-life of the averages.
const HALF_LIFE: Duration = Duration::from_millis(250);

/// Shortest time between two measurements.
const MIN_INTERVAL: Duration = Duration::from_millis(2);

/// Bytes of a request while none has arrived recently.
const DEFAULT_REQUEST_BYTES: f64 = 4_096.0;

/// Share of the link in use above which packets wait so long that time-outs show nothing of servers.
const CONGESTED_SHARE: f64 = 0.85;

/// Time for which a time-out may be the effect of a congestion that is over.
const CONGESTION_MEMORY: Duration = Duration::from_millis(500);

/// Longest time without an accepted connection. Callers take a router that refuses for longer for
/// one that has failed.
const MAX_CLOSED: Duration = Duration::from_millis(800);

/// What the router has sent and received since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTotals {
    /// Bytes received from callers and servers.
    pub received: u64,
    /// Bytes sent to callers and servers.
    pub sent: u64,
    /// Bytes received from callers.
    pub received_from_callers: u64,
    /// Requests received from callers.
    pub requests: u64,
}

/// One direction of the link.
#[derive(Clone, Copy, Debug)]
struct Direction {
    /// Bytes that may pass at once; negative while the link is behind.
    level: f64,
    /// Bytes that passed recently, with exponential decay.
    recent: Decaying,
}

impl Direction {
    fn new(capacity: f64) -> Self {
        Direction { level: burst_bytes(capacity), recent: Decaying::new(HALF_LIFE) }
    }

    fn pass(&mut self, bytes: f64, elapsed: Duration, capacity: f64, now: Timestamp) {
        let refilled = self.level + capacity * TARGET_SHARE * elapsed.as_secs_f64();
        let max_debt = capacity * MAX_DEBT_TIME.as_secs_f64();
        self.level = (refilled.min(burst_bytes(capacity)) - bytes).max(-max_debt);
        // Bytes of a long interval count as if most of them had passed long ago.
        let kept = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64() / 2.0).exp2();
        self.recent.add(bytes * kept, now);
    }

    fn per_second(&self, now: Timestamp) -> f64 {
        self.recent.at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

/// Bytes that an idle link of this capacity takes at once.
fn burst_bytes(capacity: f64) -> f64 {
    (capacity * BURST_TIME.as_secs_f64()).max(MIN_BURST_BYTES)
}

/// State of a link whose capacity is known.
#[derive(Clone, Debug)]
struct MeasuredLink {
    /// Capacity of each direction, in bytes per second.
    capacity: f64,
    received: Direction,
    sent: Direction,
    totals: LinkTotals,
    measured_at: Timestamp,
    bytes_from_callers: Decaying,
    requests: Decaying,
    /// Connections accepted recently, whose requests haven't arrived, with their expected bytes.
    expected: VecDeque<(Timestamp, f64)>,
    accepted_at: Timestamp,
    congested_at: Option<Timestamp>,
}

/// Load of a router's link. Without a known capacity all connections are accepted.
#[derive(Clone, Debug)]
pub struct LinkLoad(Option<MeasuredLink>);

impl LinkLoad {
    /// Creates the load of an idle link with this capacity of each direction, in bytes per second.
    pub fn new(capacity: Option<f64>) -> Self {
        let capacity = capacity.filter(|capacity| *capacity > 0.0);
        LinkLoad(capacity.map(|capacity| MeasuredLink {
            capacity,
            received: Direction::new(capacity),
            sent: Direction::new(capacity),
            totals: LinkTotals::default(),
            measured_at: Timestamp::ZERO,
            bytes_from_callers: Decaying::new(HALF_LIFE),
            requests: Decaying::new(HALF_LIFE),
            expected: VecDeque::new(),
            accepted_at: Timestamp::ZERO,
            congested_at: None,
        }))
    }

    /// Measures the load from what was sent and received so far.
    pub fn measure(&mut self, totals: LinkTotals, now: Timestamp) {
        if let Some(link) = &mut self.0 {
            link.measure(totals, now);
        }
    }

    /// Records that a connection was accepted, whose request is about to arrive.
    pub fn record_accepted(&mut self, now: Timestamp) {
        if let Some(link) = &mut self.0 {
            let bytes = link.request_bytes(now);
            link.expected.push_back((now, bytes));
            link.accepted_at = now;
        }
    }

    /// Whether the link has room for the request of another connection.
    pub fn accepts_connections(&self, now: Timestamp) -> bool {
        self.0.as_ref().is_none_or(|link| link.has_room(now))
    }

    /// Whether packets of this router wait, or have waited just now, so that time-outs show nothing of
    /// servers.
    pub fn is_congested(&self, now: Timestamp) -> bool {
        let congested_at = self.0.as_ref().and_then(|link| link.congested_at);
        congested_at.is_some_and(|at| now.since(at) < CONGESTION_MEMORY)
    }

    /// Share of the link in use in the direction that is used more; 0 if the capacity isn't known.
    pub fn share(&self, now: Timestamp) -> f64 {
        self.0.as_ref().map_or(0.0, |link| link.share(now))
    }
}

impl MeasuredLink {
    fn measure(&mut self, totals: LinkTotals, now: Timestamp) {
        let elapsed = now.since(self.measured_at);
        if elapsed < MIN_INTERVAL {
            return;
        }
        let passed = |total: u64, before: u64| total.saturating_sub(before) as f64;
        let (received, sent) =
            (passed(totals.received, self.totals.received), passed(totals.sent, self.totals.sent));
        self.received.pass(received, elapsed, self.capacity, now);
        self.sent.pass(sent, elapsed, self.capacity, now);
        let from_callers = passed(totals.received_from_callers, self.totals.received_from_callers);
        self.bytes_from_callers.add(from_callers, now);
        let requests = passed(totals.requests, self.totals.requests);
        self.requests.add(requests, now);
        let arrived = (requests as usize).min(self.expected.len());
        self.expected.drain(..arrived);
        self.expected.retain(|(at, _)| now.since(*at) < ARRIVAL_TIME);
        (self.totals, self.measured_at) = (totals, now);
        if self.share(now) > CONGESTED_SHARE {
            self.congested_at = Some(now);
        }
    }

    fn share(&self, now: Timestamp) -> f64 {
        self.received.per_second(now).max(self.sent.per_second(now)) / self.capacity
    }

    /// Expected bytes of the next request.
    fn request_bytes(&self, now: Timestamp) -> f64 {
        let requests = self.requests.at(now);
        if requests < 1.0 {
            return DEFAULT_REQUEST_BYTES;
        }
        self.bytes_from_callers.at(now) / requests
    }

    fn has_room(&self, now: Timestamp) -> bool {
        if now.since(self.accepted_at) > MAX_CLOSED {
            return true;
        }
        let expected: f64 = self.expected.iter().map(|(_, bytes)| bytes).sum();
        // A request goes on to a server, so it takes room in both directions.
        self.received.level.min(self.sent.level) - expected > self.request_bytes(now)
    }
}
