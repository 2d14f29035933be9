//! What servers saw, what they had asked for, and how callers were served.

use std::time::Duration;

use juniper_types::Timestamp;

/// Time after a refusal for which requests may still be on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);

/// Requests beyond those that a router may send to a server that it should leave alone.
const MAX_IN_PAUSE: usize = 2;

/// Time after a word of its departure from which on a caller's request doesn't reach a server.
const DRAIN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub router: usize,
    pub server: usize,
    /// When the caller sent it.
    pub sent: Timestamp,
}

/// A restart or a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub router: usize,
    pub from: Timestamp,
    pub until: Timestamp,
}

/// How the requests of one second were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

#[derive(Debug, Default)]
pub struct Witness {
    arrivals: Vec<Arrival>,
    /// Router, server, when it was asked, for how long.
    asked: Vec<(usize, usize, Timestamp, Duration)>,
    told_leaving: Vec<(usize, usize, Timestamp)>,
    disturbances: Vec<Disturbance>,
    pub seconds: Vec<Second>,
}

impl Witness {
    fn second(&mut self, at: Timestamp) -> &mut Second {
        let number = (at.as_millis() / 1_000) as usize;
        if self.seconds.len() <= number {
            self.seconds.resize(number + 1, Second::default());
        }
        &mut self.seconds[number]
    }

    pub fn sent(&mut self, at: Timestamp) {
        self.second(at).sent += 1;
    }

    pub fn served(&mut self, sent: Timestamp, in_time: bool) {
        let second = self.second(sent);
        match in_time {
            true => second.in_time += 1,
            false => second.late += 1,
        }
    }

    pub fn refused(&mut self, sent: Timestamp) {
        self.second(sent).refused += 1;
    }

    pub fn arrived(&mut self, arrival: Arrival) {
        self.arrivals.push(arrival);
    }

    pub fn asked(&mut self, router: usize, server: usize, at: Timestamp, pause: Duration) {
        self.asked.push((router, server, at, pause));
    }

    /// The answer with the word has come to the router.
    pub fn told_leaving(&mut self, router: usize, server: usize, at: Timestamp) {
        if !self.told_leaving.iter().any(|told| (told.0, told.1) == (router, server)) {
            self.told_leaving.push((router, server, at));
        }
    }

    pub fn disturbed(&mut self, disturbance: Disturbance) {
        self.disturbances.push(disturbance);
    }

    fn is_excused(&self, router: usize, from: Timestamp, until: Timestamp) -> bool {
        let by = |it: &&Disturbance| it.router == router && it.until >= from && it.from <= until;
        self.disturbances.iter().any(|it| by(&it))
    }

    /// Requests that were turned away with the wish for a pause.
    pub fn turned_away(&self) -> usize {
        self.asked.len()
    }

    /// What was broken, if anything.
    pub fn breach(&self) -> Option<String> {
        for (router, server, at, pause) in self.asked.iter().copied() {
            let (from, until) = (at.after(ON_THEIR_WAY), at.after(pause));
            if self.is_excused(router, at, until) {
                continue;
            }
            let during = self.arrivals.iter().filter(|it| {
                (it.router, it.server) == (router, server) && it.at > from && it.at < until
            });
            let count = during.count();
            if count > MAX_IN_PAUSE {
                return Some(format!(
                    "{count} requests of router {router} at server {server}, which had asked for \
                     {pause:?} at {} ms",
                    at.as_millis()
                ));
            }
        }
        self.told_leaving.iter().find_map(|(router, server, told)| {
            let late = self.arrivals.iter().find(|it| {
                (it.router, it.server) == (*router, *server)
                    && it.sent > told.after(DRAIN)
                    && !self.is_excused(*router, *told, it.at)
            })?;
            let told = told.as_millis();
            Some(format!("{late:?}, though the server had said at {told} ms that it leaves"))
        })
    }
}
