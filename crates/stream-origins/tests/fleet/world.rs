//! Simulated fleet: routers that pass on streams of servers of several versions, replicas that keep
//! records, and callers that resume at other routers. Machines are killed, frozen and cut off; servers
//! crash and are replaced by either version.

use juniper_simulation::{EventQueue, Random};
use juniper_stream_origins::{OriginTable, StreamRecord};

use crate::outcome::Outcome;

pub const MILLI: u64 = 1_000;
const END: u64 = 20_000 * MILLI;
const SERVERS: usize = 12;
pub const VERSIONS: u64 = 3;

/// Time after a fault for which a machine doesn't count as in touch.
const CONTACT_TIME: u64 = 3_000 * MILLI;

/// Servers that a router tries until one proves to be the expected incarnation.
const MAX_PICKS: usize = 4;

/// Requests with which a caller resumes a stream at most.
const MAX_RESUMES: u32 = 2;

/// Part of the mend that a run leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mend {
    /// A router resumes only at the version that began.
    OwnResume,
    /// A caller's resume goes to the recorded version only.
    CallersResume,
    /// Records are sent to the replicas.
    Publication,
    /// A server proves which incarnation it is before it gets a stream.
    Proof,
}

#[derive(Clone, Copy, Debug)]
pub struct WorldSettings {
    pub routers: usize,
    pub replicas: usize,
    /// Share of routers that neither record nor heed versions.
    pub earlier_builds: f64,
    /// Whether servers also restart under their names, which routers learn late.
    pub restarts: bool,
    pub missing: Option<Mend>,
}

impl Default for WorldSettings {
    fn default() -> Self {
        WorldSettings {
            routers: 7,
            replicas: 3,
            earlier_builds: 0.0,
            restarts: false,
            missing: None,
        }
    }
}

pub struct Router {
    pub is_earlier: bool,
    pub down_until: u64,
    pub frozen_until: u64,
    pub cut_until: u64,
    pub last_fault: u64,
    pub relay: usize,
    pub own: OriginTable,
}

pub struct Replica {
    pub down_until: u64,
    pub cut_until: u64,
    pub records: OriginTable,
}

/// Incarnation of a server.
pub struct Server {
    pub version: u64,
    /// When routers learn of it.
    pub known_at: u64,
    pub died_at: u64,
    /// Server whose name and address this one has taken over.
    pub former: Option<usize>,
}

#[derive(Clone, Default)]
pub struct Stream {
    versions: Vec<u64>,
    pub events: u64,
    pub total: u64,
    pub router: usize,
    server: usize,
    /// Version of the server as far as its router knows.
    believed: u64,
    /// Number of the run that serves it; events of earlier ones don't reach the caller.
    pub run: u32,
    resumes: u32,
    own_resumes: u32,
    is_by_earlier: bool,
}

pub enum Event {
    Begin,
    Emit { stream: usize, run: u32 },
    Resume { stream: usize },
    Answer { stream: usize, router: usize },
    Record { replica: usize, record: StreamRecord, is_forwarded: bool },
    Fault,
    Return { router: usize },
}

pub struct World {
    pub settings: WorldSettings,
    pub random: Random,
    pub queue: EventQueue<Event>,
    pub routers: Vec<Router>,
    pub replicas: Vec<Replica>,
    pub servers: Vec<Server>,
    pub streams: Vec<Stream>,
    pub last_core_fault: u64,
    outcome: Outcome,
}

impl World {
    pub fn new(seed: u64, settings: WorldSettings) -> Self {
        let mut random = Random::new(seed);
        let routers = (0..settings.routers).map(|number| Router {
            is_earlier: (random.between(0, 999) as f64) < settings.earlier_builds * 1_000.0,
            down_until: 0,
            frozen_until: 0,
            cut_until: 0,
            last_fault: 0,
            relay: number % settings.replicas,
            own: OriginTable::default(),
        });
        let routers = routers.collect();
        let replicas = (0..settings.replicas).map(|_| Replica {
            down_until: 0,
            cut_until: 0,
            records: OriginTable::default(),
        });
        let replicas = replicas.collect();
        let server = |number: usize| Server {
            version: number as u64 % VERSIONS,
            known_at: 0,
            died_at: u64::MAX,
            former: None,
        };
        let mut queue = EventQueue::default();
        queue.schedule_after(0, Event::Begin);
        queue.schedule_after(CONTACT_TIME, Event::Fault);
        World {
            settings,
            random,
            queue,
            routers,
            replicas,
            servers: (0..SERVERS).map(server).collect(),
            streams: Vec::new(),
            last_core_fault: 0,
            outcome: Outcome::default(),
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.queue.now() < END
            && let Some(event) = self.queue.pop()
        {
            match event {
                Event::Begin => self.begin(),
                Event::Emit { stream, run } => self.emit(stream, run),
                Event::Resume { stream } => self.resume(stream),
                Event::Answer { stream, router } => self.answer(stream, router),
                Event::Record { replica, record, is_forwarded } => {
                    self.record(replica, &record, is_forwarded);
                }
                Event::Fault => self.fault(),
                Event::Return { router } => self.republish(router),
            }
        }
        let is_mixed = |stream: &&Stream| stream.versions.len() > 1 && !stream.is_by_earlier;
        self.outcome.mixed = self.streams.iter().filter(is_mixed).count();
        self.outcome.begun = self.streams.iter().filter(|stream| stream.events > 0).count();
        self.outcome
    }

    pub fn now(&self) -> u64 {
        self.queue.now()
    }

    fn is_up(&self, router: usize) -> bool {
        self.now() >= self.routers[router].down_until
    }

    /// Server that a router picks: of the version, if one is required, among those that it knows.
    fn pick_server(&mut self, version: Option<u64>) -> Option<usize> {
        let now = self.now();
        let known: Vec<usize> = (0..self.servers.len())
            .filter(|index| {
                let is_alive = self.servers[*index].died_at > now;
                let believed = self.believed_version(*index).filter(|_| is_alive);
                believed.is_some_and(|believed| version.is_none_or(|it| it == believed))
            })
            .collect();
        self.random.pick(&known)
    }

    /// Version that routers expect at the server's address; `None` if they don't know the server.
    fn believed_version(&self, server: usize) -> Option<u64> {
        let Server { version, known_at, former, .. } = self.servers[server];
        if known_at <= self.now() {
            return Some(version);
        }
        former.and_then(|former| self.believed_version(former))
    }

    /// Picks a server, and another one if the first is another incarnation than expected.
    fn pick_proven(&mut self, version: Option<u64>) -> Option<(usize, u64)> {
        for _ in 0..MAX_PICKS {
            let server = self.pick_server(version)?;
            let is_expected = self.servers[server].known_at <= self.now();
            if is_expected || self.settings.missing == Some(Mend::Proof) {
                return Some((server, self.believed_version(server)?));
            }
        }
        None
    }

    fn begin(&mut self) {
        let every = 200 * MILLI / self.settings.routers.min(40) as u64;
        self.queue.schedule_after(every, Event::Begin);
        let stream = self.streams.len();
        let router = self.random.between(0, self.routers.len() as u64 - 1) as usize;
        let total = self.random.between(4, 80);
        self.streams.push(Stream { total, ..Stream::default() });
        self.outcome.sent += 1;
        if self.is_up(router) {
            self.serve(stream, router, None);
        }
    }

    /// Sends the rest of the stream to a server. Returns whether there is one.
    fn serve(&mut self, stream: usize, router: usize, version: Option<u64>) -> bool {
        let Some((server, believed)) = self.pick_proven(version) else { return false };
        let is_earlier = self.routers[router].is_earlier;
        let served = &mut self.streams[stream];
        served.run += 1;
        (served.router, served.server, served.believed) = (router, server, believed);
        served.is_by_earlier |= is_earlier;
        let run = served.run;
        let delay = self.random.between(10, 60) * MILLI;
        self.queue.schedule_after(delay, Event::Emit { stream, run });
        true
    }

    /// The next event of a stream arrives at its router, unless the server or the router has died.
    fn emit(&mut self, stream: usize, run: u32) {
        let now = self.now();
        let Stream { router, server, believed, events, total, .. } = self.streams[stream];
        if self.streams[stream].run != run {
            return;
        }
        if !self.is_up(router) || self.routers[router].last_fault == now {
            return self.lose(stream);
        }
        if self.routers[router].frozen_until > now {
            let wait = self.routers[router].frozen_until - now;
            return self.queue.schedule_after(wait, Event::Emit { stream, run });
        }
        if self.servers[server].died_at <= now {
            return self.resume_within_answer(stream);
        }
        let version = self.servers[server].version;
        if events == 0 {
            self.record_origin(stream, router, believed);
        }
        let served = &mut self.streams[stream];
        served.events += 1;
        if !served.versions.contains(&version) {
            served.versions.push(version);
        }
        if served.events < total {
            let delay = self.random.between(5, 30) * MILLI;
            self.queue.schedule_after(delay, Event::Emit { stream, run });
        }
    }

    fn resume_within_answer(&mut self, stream: usize) {
        let Stream { router, believed, events, .. } = self.streams[stream];
        self.streams[stream].own_resumes += 1;
        let begun_at = Some(believed).filter(|_| events > 0);
        let heeds =
            !self.routers[router].is_earlier && self.settings.missing != Some(Mend::OwnResume);
        let version = begun_at.filter(|_| heeds);
        let may_retry = self.streams[stream].own_resumes <= 1;
        if !may_retry || !self.serve(stream, router, version) {
            self.lose(stream);
        }
    }

    /// The caller loses its connection, and resumes if it has events.
    pub fn lose(&mut self, stream: usize) {
        let lost = &mut self.streams[stream];
        lost.run += 1;
        lost.resumes += 1;
        if lost.events > 0 && lost.resumes <= MAX_RESUMES {
            let delay = self.random.between(2, 60) * MILLI;
            self.queue.schedule_after(delay, Event::Resume { stream });
        }
    }

    fn resume(&mut self, stream: usize) {
        let up: Vec<usize> = (0..self.routers.len()).filter(|router| self.is_up(*router)).collect();
        let Some(router) = self.random.pick(&up) else { return };
        self.outcome.resumed += 1;
        let delay = self.random.between(2, 6) * MILLI;
        self.queue.schedule_after(delay, Event::Answer { stream, router });
    }

    /// A router serves or refuses a resumed stream, after it has asked the replicas.
    fn answer(&mut self, stream: usize, router: usize) {
        if !self.is_up(router) {
            return self.lose(stream);
        }
        let version = match self.routers[router].is_earlier
            || self.settings.missing == Some(Mend::CallersResume)
        {
            true => None,
            false => Some(self.find_version(stream, router)),
        };
        let is_counted = self.is_in_touch(router) && self.has_two_servers(stream);
        let goes_on = match version {
            Some(None) => false,
            Some(Some(version)) => self.serve(stream, router, Some(version)),
            None => self.serve(stream, router, None),
        };
        self.outcome.resumed_in_touch += usize::from(is_counted);
        self.outcome.continued_in_touch += usize::from(is_counted && goes_on);
    }

    fn is_in_touch(&self, router: usize) -> bool {
        let since = |fault: u64| self.now().saturating_sub(fault) >= CONTACT_TIME;
        let router = &self.routers[router];
        since(router.last_fault) && since(router.cut_until) && since(self.last_core_fault)
    }

    fn has_two_servers(&self, stream: usize) -> bool {
        let now = self.now();
        let version = self.streams[stream].versions[0];
        let serves = |server: &&Server| {
            server.version == version && server.died_at > now && server.known_at <= now
        };
        self.servers.iter().filter(serves).count() >= 2
    }
}
