//! Records requests, backoffs and departures, and checks that routers respected them.

use std::time::Duration;

use juniper_types::Timestamp;

/// Maximum time for which requests may still be in transit after a rejection.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests that a router may send to a server during its backoff.
const MAX_REQUESTS_DURING_BACKOFF: usize = 2;

/// Time after the announcement of a departure until new requests of callers must not reach the
/// server.
const DRAIN_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub router: usize,
    pub server: usize,
    /// Time at which the caller sent the request.
    pub sent: Timestamp,
}

/// A restart or a suspension of a router.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub router: usize,
    pub from: Timestamp,
    pub until: Timestamp,
}

/// Results of the requests sent within one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondStats {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

#[derive(Debug, Default)]
pub struct Checker {
    arrivals: Vec<Arrival>,
    /// Router, server, time and duration of each requested backoff.
    backoffs: Vec<(usize, usize, Timestamp, Duration)>,
    departures: Vec<(usize, usize, Timestamp)>,
    disturbances: Vec<Disturbance>,
    pub seconds: Vec<SecondStats>,
}

impl Checker {
    fn second_mut(&mut self, at: Timestamp) -> &mut SecondStats {
        let number = (at.as_millis() / 1_000) as usize;
        if self.seconds.len() <= number {
            self.seconds.resize(number + 1, SecondStats::default());
        }
        &mut self.seconds[number]
    }

    pub fn record_sent(&mut self, at: Timestamp) {
        self.second_mut(at).sent += 1;
    }

    pub fn record_served(&mut self, sent: Timestamp, in_time: bool) {
        let second = self.second_mut(sent);
        match in_time {
            true => second.in_time += 1,
            false => second.late += 1,
        }
    }

    pub fn record_refused(&mut self, sent: Timestamp) {
        self.second_mut(sent).refused += 1;
    }

    pub fn record_arrival(&mut self, arrival: Arrival) {
        self.arrivals.push(arrival);
    }

    pub fn record_backoff(
        &mut self,
        router: usize,
        server: usize,
        at: Timestamp,
        duration: Duration,
    ) {
        self.backoffs.push((router, server, at, duration));
    }

    /// Records that an answer with the announcement has reached the router.
    pub fn record_departure(&mut self, router: usize, server: usize, at: Timestamp) {
        if !self.departures.iter().any(|known| (known.0, known.1) == (router, server)) {
            self.departures.push((router, server, at));
        }
    }

    pub fn record_disturbance(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    fn is_excused(&self, router: usize, from: Timestamp, until: Timestamp) -> bool {
        let overlaps = |disturbance: &&Disturbance| {
            disturbance.router == router && disturbance.until >= from && disturbance.from <= until
        };
        self.disturbances.iter().any(|disturbance| overlaps(&disturbance))
    }

    /// Number of requests rejected with a backoff.
    pub fn rejected(&self) -> usize {
        self.backoffs.len()
    }

    /// Describes the first violation, if any.
    pub fn violation(&self) -> Option<String> {
        for (router, server, at, duration) in self.backoffs.iter().copied() {
            let (from, until) = (at.after(MAX_TRANSIT_TIME), at.after(duration));
            if self.is_excused(router, at, until) {
                continue;
            }
            let during = self.arrivals.iter().filter(|arrival| {
                (arrival.router, arrival.server) == (router, server)
                    && arrival.at > from
                    && arrival.at < until
            });
            let count = during.count();
            if count > MAX_REQUESTS_DURING_BACKOFF {
                return Some(format!(
                    "{count} requests of router {router} at server {server}, after it requested \
                     a backoff of {duration:?} at {} ms",
                    at.as_millis()
                ));
            }
        }
        self.departures.iter().find_map(|(router, server, announced)| {
            let late = self.arrivals.iter().find(|arrival| {
                (arrival.router, arrival.server) == (*router, *server)
                    && arrival.sent > announced.after(DRAIN_TIME)
                    && !self.is_excused(*router, *announced, arrival.at)
            })?;
            let announced = announced.as_millis();
            Some(format!("{late:?}, after the server announced its departure at {announced} ms"))
        })
    }
}
