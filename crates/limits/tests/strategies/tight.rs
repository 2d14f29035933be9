//! Production strategy of tight services: refusals that hold are repeated, and owners that don't
//! answer within a few round trips are asked less often.

use juniper_limits::{
    ChargeRequest, KnownRefusals, LimitOwner, LocalLimits, OwnerQuery, OwnerTimeout, Verdict,
    rank_owners,
};
use juniper_types::{NodeId, Timestamp};

use crate::world::{Arrival, DETECTION_MS, KEY_CACHE_TTL_MS, Strategy, World};

/// Time after which a router no longer waits for a late answer, in milliseconds.
const LATE_ANSWER_MS: u64 = 500;

#[derive(Clone, Default)]
struct Router {
    known: KnownRefusals,
    timeouts: OwnerTimeout,
    local: LocalLimits,
    /// When the router last reached any replica, in milliseconds.
    reached_at: u64,
}

/// What happens after a request was decided, in the order of time.
#[derive(Clone, Copy)]
enum Event {
    Timeout {
        asked_at: u64,
    },
    /// The owner handles a charge whose caller was already answered.
    LateCharge {
        replica: usize,
        asked_at: u64,
        arrival: Arrival,
        was_admitted: bool,
    },
}

pub struct TightStrategy {
    owners: Vec<LimitOwner>,
    routers: Vec<Router>,
    events: Vec<(u64, usize, Event)>,
    /// Time and delay of each refusal, in milliseconds.
    pub refusals: Vec<(u64, u64)>,
    /// Requests sent to owners.
    pub asked: usize,
}

impl TightStrategy {
    pub fn new(world: &World) -> Self {
        TightStrategy {
            owners: vec![LimitOwner::default(); world.replicas],
            routers: vec![Router::default(); world.routers],
            events: Vec::new(),
            refusals: Vec::new(),
            asked: 0,
        }
    }

    /// Round trip between a router and a replica: the farthest zones are 12 ms apart.
    fn round_trip_ms(router: usize, replica: usize) -> u64 {
        [1, 6, 24][(router + replica) % 3]
    }

    /// The owner asked, with the time at which its answer arrives.
    fn ask(world: &World, router: usize, now: u64) -> Option<(usize, u64)> {
        let connected =
            (0..world.replicas).filter(|replica| world.seems_connected(router, *replica, now));
        let ordered = rank_owners(connected.map(|replica| NodeId(replica as u64)), "tenant");
        for node in ordered.into_iter().take(2) {
            let replica = node.0 as usize;
            if !world.reaches(router, replica, now) {
                return None;
            }
            if world.is_confirmed(replica, now) {
                let answers_at = world.answers_at(replica, now);
                return Some((replica, answers_at + Self::round_trip_ms(router, replica)));
            }
        }
        None
    }

    fn handle_events(&mut self, world: &World, now: u64) {
        self.events.sort_by_key(|(at, _, _)| *at);
        while let Some((at, router, event)) = self.events.first().copied().filter(|e| e.0 <= now) {
            self.events.remove(0);
            let when = Timestamp::from_millis(at);
            match event {
                Event::Timeout { asked_at } => {
                    let asked_at = Timestamp::from_millis(asked_at);
                    self.routers[router].timeouts.record_timeout("tenant", asked_at, when);
                }
                Event::LateCharge { replica, asked_at, arrival, was_admitted } => {
                    let charge = request(world, &arrival);
                    let verdict = self.owners[replica].charge(&charge, when, arrival.draw);
                    if at - asked_at > LATE_ANSWER_MS {
                        continue;
                    }
                    let round_trip = when.since(Timestamp::from_millis(asked_at));
                    let asking = &mut self.routers[router];
                    asking.timeouts.record_answer("tenant", round_trip, when);
                    asking.known.record_verdict(&charge, &verdict, when);
                    if verdict.is_admitted() && !was_admitted {
                        self.owners[replica].refund("tenant", arrival.units, when);
                    }
                }
            }
        }
    }

    /// Decision and its delay in milliseconds.
    fn decide(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> (Verdict, u64) {
        let (index, charge) = (arrival.router, request(world, arrival));
        let router = &mut self.routers[index];
        if let Some(verdict) = router.known.repeat(&charge, now, arrival.draw) {
            return (verdict, 0);
        }
        let wait = match router.timeouts.query("tenant", true, now) {
            OwnerQuery::Ask(wait) => wait.as_millis() as u64,
            OwnerQuery::DecideLocally => 0,
        };
        let asked = Self::ask(world, index, arrival.at).filter(|_| wait > 0);
        self.asked += usize::from(asked.is_some());
        let routers = world.routers as u32;
        match asked {
            Some((replica, answered_at)) if answered_at <= arrival.at + wait => {
                let verdict = self.owners[replica].charge(&charge, now, arrival.draw);
                let round_trip = answered_at - arrival.at;
                let answered_at = Timestamp::from_millis(answered_at);
                router.timeouts.record_answer("tenant", answered_at.since(now), now);
                router.local.record_verdict(&charge, &verdict, now);
                router.known.record_verdict(&charge, &verdict, now);
                (verdict, round_trip)
            }
            Some((replica, answered_at)) => {
                let verdict = router.local.decide(&charge, routers, now, arrival.draw);
                let timeout = Event::Timeout { asked_at: arrival.at };
                self.events.push((arrival.at + wait, index, timeout));
                // The connection to a replica that is found to be frozen is closed.
                if answered_at < arrival.at + DETECTION_MS {
                    let late = Event::LateCharge {
                        replica,
                        asked_at: arrival.at,
                        arrival: *arrival,
                        was_admitted: verdict.is_admitted(),
                    };
                    self.events.push((answered_at, index, late));
                }
                (verdict, wait)
            }
            None => (router.local.decide(&charge, routers, now, arrival.draw), 0),
        }
    }
}

fn request(world: &World, arrival: &Arrival) -> ChargeRequest<'static> {
    ChargeRequest {
        account: "tenant",
        limit: world.limit,
        version: 1,
        units: arrival.units,
        is_unconditional: false,
        reserve: 0.0,
    }
}

impl Strategy for TightStrategy {
    fn admits(&mut self, world: &World, arrival: &Arrival, now: Timestamp) -> bool {
        for (replica, owner) in self.owners.iter_mut().enumerate() {
            if !world.is_up(replica, arrival.at) {
                *owner = LimitOwner::starting_at(now);
            }
        }
        self.handle_events(world, arrival.at);
        let router = arrival.router;
        if (0..world.replicas).any(|replica| world.reaches(router, replica, arrival.at)) {
            self.routers[router].reached_at = arrival.at;
        }
        if arrival.at - self.routers[router].reached_at > KEY_CACHE_TTL_MS {
            return false;
        }
        let (verdict, delay) = self.decide(world, arrival, now);
        if !verdict.is_admitted() {
            self.refusals.push((arrival.at, delay));
        }
        verdict.is_admitted()
    }
}
