//! Brittle servers: they crash if they have to reject more than a few requests per second.
//!
//! The servers of a service state in their answers that they are brittle. While they are, no router
//! sends a request to a server that seems to have no room: whose requests of all routers together
//! fill its slots, or that has just rejected a request of any router.

use std::time::Duration;

use juniper_prefix_index::rendezvous;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::placement::Placement;
use crate::server::Server;

/// Time for which a service counts as brittle after an answer or another router's report said so.
const BRITTLE_TIME: Duration = Duration::from_secs(3);

/// Interval at which routers together report that a service is brittle.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time for which a brittle server gets no requests after it rejected one. At most as long
/// again is added at random, so that routers don't return together.
const REJECTION_BACKOFF: Duration = Duration::from_secs(1);

/// Interval at which the assumed room of a server grows by one request after a rejection.
const ROOM_INTERVAL: Duration = Duration::from_secs(2);

/// Number of routers up to which dispatch reports are complete enough to add up their load.
const MAX_REPORTING_ROUTERS: u32 = 64;

/// Time that a dispatch report takes to reach the other routers.
const REPORT_DELAY: Duration = Duration::from_millis(60);

/// Time for which a server that was half full counts as busy: callers that it had no room for may
/// come back together.
const BUSY_TIME: Duration = Duration::from_secs(2);

/// Room that is left free, for requests that routers don't know of.
const RESERVED_ROOM: usize = 1;

/// Time after which a full server is expected to have room again.
const FULL_WAIT: Duration = Duration::from_millis(200);

/// State of a service whose servers are brittle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrittleService {
    /// Rejections per second above which a server crashes.
    tolerance: u32,
    until: Timestamp,
    reported_at: Timestamp,
}

/// What a rejection has shown about a server's room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    at: Timestamp,
    backoff_until: Timestamp,
    /// Requests of all routers that the server had room for.
    room: usize,
}

impl Rejection {
    /// Requests of all routers that the server is assumed to have room for.
    fn room(&self, now: Timestamp) -> usize {
        let grown = now.since(self.at).as_millis() / ROOM_INTERVAL.as_millis();
        self.room + usize::try_from(grown).unwrap_or(usize::MAX)
    }
}

/// Number of the interval in which the routers share the free room of servers.
pub(crate) fn dispatch_interval(now: Timestamp) -> u64 {
    (now.since(Timestamp::ZERO).as_millis() / REPORT_DELAY.as_millis()) as u64
}

impl Placement {
    /// Sets the number of routers, and a hash that differs between them.
    pub fn set_routers(&mut self, count: u32, own_hash: u64) {
        self.router_count = count;
        self.router_hash = own_hash;
    }

    /// Records that an answer of the server stated a tolerance, in rejections per second. Returns the
    /// service if the other routers have to be told.
    pub fn observe_brittle(
        &mut self,
        server: &InstanceId,
        tolerance: u32,
        now: Timestamp,
    ) -> Option<String> {
        let service = self.server(server)?.instance.report.service.clone();
        let known = self.brittle.get(&service).copied();
        let is_news = known.is_none_or(|known| {
            known.tolerance != tolerance || now.since(known.reported_at) >= REPORT_INTERVAL
        });
        match is_news {
            true => self.set_brittle(&service, tolerance, now),
            false => {
                let extended = |known: &mut BrittleService| known.until = now.after(BRITTLE_TIME);
                self.brittle.get_mut(&service).map(extended);
            }
        }
        is_news.then_some(service)
    }

    /// Records another router's report that the servers of the service are brittle.
    pub fn apply_peer_brittle(&mut self, service: &str, tolerance: u32, now: Timestamp) {
        if self.services.contains_key(service) {
            self.set_brittle(service, tolerance, now);
        }
    }

    fn set_brittle(&mut self, service: &str, tolerance: u32, now: Timestamp) {
        let state = BrittleService { tolerance, until: now.after(BRITTLE_TIME), reported_at: now };
        self.brittle.insert(service.to_owned(), state);
    }

    /// Tolerance of the service's servers, in rejections per second, while they are brittle.
    pub fn brittle_tolerance(&self, service: &str, now: Timestamp) -> Option<u32> {
        let state = self.brittle.get(service).filter(|state| now < state.until)?;
        Some(state.tolerance)
    }

    /// Records that a server rejected a request for want of room, of this router or another one.
    /// `random` spreads the routers' returns. Returns the service and its tolerance if the servers
    /// are brittle.
    pub fn record_rejection(
        &mut self,
        server: &InstanceId,
        now: Timestamp,
        random: u64,
    ) -> Option<(String, u32)> {
        let known = self.server(server)?;
        let service = known.instance.report.service.clone();
        let tolerance = self.brittle_tolerance(&service, now)?;
        let room = known.fleet_load.requests(now).saturating_sub(1).max(1);
        let spread = REJECTION_BACKOFF.mul_f64(random as f64 / u64::MAX as f64);
        let backoff_until = now.after(REJECTION_BACKOFF + spread);
        let known = self.server_mut(server)?;
        known.rejection = Some(Rejection { at: now, backoff_until, room });
        Some((service, tolerance))
    }

    /// Remaining time for which a brittle server gets no requests after a rejection.
    pub(crate) fn rejection_backoff(&self, server: &Server, now: Timestamp) -> Option<Duration> {
        let rejection = server.rejection.filter(|rejection| now < rejection.backoff_until)?;
        self.brittle_tolerance(&server.instance.report.service, now)?;
        Some(rejection.backoff_until.since(now))
    }

    /// Time until a brittle server may get another request; `None` if it may get one now.
    pub(crate) fn brittle_wait(&self, server: &Server, now: Timestamp) -> Option<Duration> {
        let report = &server.instance.report;
        self.brittle_tolerance(&report.service, now)?;
        if let Some(backoff) = self.rejection_backoff(server, now) {
            return Some(backoff);
        }
        let rejection = server.rejection;
        let slots = report.slots as usize;
        let room = rejection.map_or(slots, |rejection| rejection.room(now).min(slots));
        let has_room = match self.router_count > MAX_REPORTING_ROUTERS {
            true => self.has_own_share(server, room),
            false => self.has_free_share(server, room, now),
        };
        (!has_room).then_some(FULL_WAIT)
    }

    /// Whether this router may use the server's free room now. Reports take `REPORT_DELAY`, in which
    /// the routers don't know of each other's requests: if the server was at least half full
    /// recently, its free room is divided among them in each such interval, and drawn by lot if there
    /// is less than one request for each.
    fn has_free_share(&self, server: &Server, room: usize, now: Timestamp) -> bool {
        let known = server.fleet_load.requests(now);
        let free = (room - room.min(known)).saturating_sub(RESERVED_ROOM) as u64;
        let was_half_full = server.half_full_at.is_some_and(|at| now.since(at) < BUSY_TIME);
        if !was_half_full && server.rejection.is_none() {
            return free > 0;
        }
        let interval = dispatch_interval(now);
        let (counted, own) = server.own_dispatches;
        let own = if counted == interval { u64::from(own) } else { 0 };
        let routers = u64::from(self.router_count.max(1));
        let lot = rendezvous::score(self.router_hash ^ interval, server.hash) % routers;
        own < free / routers + u64::from(lot < free % routers)
    }

    /// Whether this router's requests fit into its share of the server's room. If there are more
    /// routers than room, each server is left to some of them.
    fn has_own_share(&self, server: &Server, room: usize) -> bool {
        let routers = self.router_count as usize;
        let own_requests = server.load.requests as usize;
        if routers <= room {
            return own_requests < room / routers;
        }
        let is_assigned = rendezvous::score(self.router_hash, server.hash) % routers as u64;
        own_requests == 0 && (is_assigned as usize) < room
    }
}
