//! One service whose servers are replaced by those of other versions, with replicas and routers that
//! learn of them late and forget everything when they are killed.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use juniper_registry::{
    Instance, InstanceMap, InstanceName, InstanceReport, InstanceState, SoftwareVersion, StartTime,
};
use juniper_simulation::{EventQueue, MILLI, Random, SECOND};
use juniper_stream_origins::{HistorySnapshot, SoftwareHistory, sole_version};
use juniper_types::Timestamp;

const REPLICAS: usize = 3;
const ROUTERS: usize = 5;
const SERVERS: u64 = 4;
const END: u64 = 90 * SECOND;
const HEARTBEAT_INTERVAL: u64 = 1_200 * MILLI;

/// Longest time for which a stream can last.
const STREAM_TIME: u64 = 6 * SECOND;

/// Time for which a router goes on using a server that has left, and more than any delay.
const LIST_LAG: u64 = SECOND;

/// Window in which any version may have begun a stream that is resumed now.
const WINDOW: u64 = STREAM_TIME + LIST_LAG;

/// Time for which a replica has to have run to know everything within the window.
const REPLICA_TIME: u64 = WINDOW + 3 * SECOND + LIST_LAG;

/// Fault that a run contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A router takes what it has seen since its start for everything.
    RouterTrustsItself,
    /// A replica does so, and tells the routers.
    ReplicaTrustsItself,
    /// A router asks no replica.
    NothingAsked,
    /// Replicas remember nothing after a restart.
    NothingWritten,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub continued: u64,
    pub refused: u64,
    /// Resumes that went on at routers younger than the window.
    pub at_young_routers: u64,
    /// Streams that went on at another version.
    pub joined: u64,
    /// Streams that were refused although one version served and a replica knew so.
    pub refused_needlessly: u64,
}

impl Outcome {
    pub fn add(&mut self, other: &Outcome) {
        self.continued += other.continued;
        self.refused += other.refused;
        self.at_young_routers += other.at_young_routers;
        self.joined += other.joined;
        self.refused_needlessly += other.refused_needlessly;
    }
}

/// Replica or router.
#[derive(Default)]
struct Node {
    /// Start; `None` while it is down.
    up_since: Option<u64>,
    known: BTreeMap<u64, u64>,
    history: SoftwareHistory,
    /// State on a replica's disk, and when it was written. Some disks are lost.
    file: Option<(HistorySnapshot, u64)>,
}

struct Server {
    version: u64,
    began: u64,
    left: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Release,
    Replace { server: u64 },
    Heartbeat { server: u64 },
    Learn { node: usize, server: u64 },
    Forget { node: usize, server: u64 },
    Begin,
    Resume { version: u64, until: u64 },
    Kill,
    Start { node: usize },
}

pub struct World {
    random: Random,
    queue: EventQueue<Event>,
    planted: Option<Planted>,
    /// Replicas, then routers.
    nodes: Vec<Node>,
    servers: Vec<Server>,
    version: u64,
    outcome: Outcome,
}

fn software(version: u64) -> Option<SoftwareVersion> {
    SoftwareVersion::new(&format!("v{version}"))
}

fn instance(server: u64, version: u64) -> Arc<Instance> {
    Arc::new(Instance::of(InstanceReport {
        name: InstanceName::new(format!("i-{server}")),
        started: StartTime::UNKNOWN,
        software: software(version),
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from(server as u32), 80),
        zone: "north".to_owned(),
        slots: 8,
        state: InstanceState::Ready,
        cold_remaining_ms: 0,
        models: Vec::new(),
        sequence: 1,
    }))
}

impl World {
    pub fn new(seed: u64, planted: Option<Planted>) -> Self {
        let mut world = World {
            random: Random::new(seed),
            queue: EventQueue::default(),
            planted,
            nodes: Vec::new(),
            servers: Vec::new(),
            version: 1,
            outcome: Outcome::default(),
        };
        for _ in 0..REPLICAS + ROUTERS {
            let mut node = Node { up_since: Some(0), ..Node::default() };
            node.history.mark_founded();
            world.nodes.push(node);
        }
        (0..SERVERS).for_each(|_| world.add_server());
        world.queue.schedule_after(2 * SECOND, Event::Begin);
        world.queue.schedule_after(5 * SECOND, Event::Release);
        world.queue.schedule_after(6 * SECOND, Event::Kill);
        world
    }

    pub fn run(mut self) -> Outcome {
        while let Some(event) = self.queue.pop() {
            if self.queue.now() > END {
                break;
            }
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Release => self.release(),
            Event::Replace { server } => self.replace(server),
            Event::Heartbeat { server } => self.send_heartbeat(server),
            Event::Learn { node, server } => {
                let Server { version, left, .. } = self.servers[server as usize];
                if left.is_none() && self.nodes[node].known.insert(server, version).is_none() {
                    self.apply_list(node);
                }
            }
            Event::Forget { node, server } => {
                if self.nodes[node].known.remove(&server).is_some() {
                    self.apply_list(node);
                }
            }
            Event::Begin => self.begin(),
            Event::Resume { version, until } => self.resume(version, until),
            Event::Kill => self.kill(),
            Event::Start { node } => self.start(node),
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_micros(self.queue.now())
    }

    fn delay(&mut self) -> u64 {
        self.random.between(10 * MILLI, 200 * MILLI)
    }

    fn apply_list(&mut self, node: usize) {
        let now = self.time();
        let written_at = self.queue.now();
        let Node { known, history, up_since, file } = &mut self.nodes[node];
        if up_since.is_some() {
            let list: InstanceMap =
                known.iter().map(|(server, version)| instance(*server, *version)).collect();
            history.update(&list, now);
            *file = Some((history.snapshot(now), written_at)).filter(|_| node < REPLICAS);
        }
    }

    fn add_server(&mut self) {
        let server = self.servers.len() as u64;
        let (version, began) = (self.version, self.queue.now());
        self.servers.push(Server { version, began, left: None });
        self.queue.schedule_after(0, Event::Heartbeat { server });
    }

    /// Replaces all servers by those of the next version.
    fn release(&mut self) {
        self.version += 1;
        let present = (0..self.servers.len() as u64)
            .filter(|server| self.servers[*server as usize].left.is_none());
        for server in present.collect::<Vec<u64>>() {
            let wait = self.random.between(0, 3 * SECOND);
            self.queue.schedule_after(wait, Event::Replace { server });
        }
        let next = self.random.between(5 * SECOND, 40 * SECOND);
        self.queue.schedule_after(next, Event::Release);
    }

    /// The new server registers before the old one leaves.
    fn replace(&mut self, server: u64) {
        if self.servers[server as usize].left.is_some() {
            return;
        }
        self.add_server();
        self.servers[server as usize].left = Some(self.queue.now());
        for node in 0..self.nodes.len() {
            let delay = self.delay();
            self.queue.schedule_after(delay, Event::Forget { node, server });
        }
    }

    /// Any replica that is up hears of the server, and tells the others and the routers.
    fn send_heartbeat(&mut self, server: u64) {
        if self.servers[server as usize].left.is_some() {
            return;
        }
        self.queue.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat { server });
        if (0..REPLICAS).any(|replica| self.nodes[replica].up_since.is_some()) {
            self.tell_all(server);
        }
    }

    fn tell_all(&mut self, server: u64) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].up_since.is_some() {
                let delay = self.delay();
                self.queue.schedule_after(delay, Event::Learn { node, server });
            }
        }
    }

    fn random_router(&mut self) -> Option<usize> {
        let routers = REPLICAS..REPLICAS + ROUTERS;
        let up: Vec<usize> = routers.filter(|node| self.nodes[*node].up_since.is_some()).collect();
        self.random.pick(&up)
    }

    /// A router begins a stream, which breaks and is resumed.
    fn begin(&mut self) {
        self.queue.schedule_after(200 * MILLI, Event::Begin);
        let Some(router) = self.random_router() else { return };
        let known: Vec<u64> = self.nodes[router].known.values().copied().collect();
        let Some(version) = self.random.pick(&known) else { return };
        let until = self.queue.now() + STREAM_TIME;
        let wait = self.random.between(10 * MILLI, STREAM_TIME);
        self.queue.schedule_after(wait, Event::Resume { version, until });
    }

    fn resume(&mut self, version: u64, until: u64) {
        let now = self.queue.now();
        if now > until {
            return;
        }
        let Some(router) = self.random_router() else {
            return self.queue.schedule_after(300 * MILLI, Event::Resume { version, until });
        };
        let found = self.sole_version_at(router);
        let up_since = self.nodes[router].up_since.unwrap_or(now);
        match found {
            Some(found) => {
                self.outcome.continued += 1;
                self.outcome.at_young_routers += u64::from(now - up_since < WINDOW);
                self.outcome.joined += u64::from(Some(found) != software(version));
            }
            None => {
                self.outcome.refused += 1;
                self.outcome.refused_needlessly += u64::from(self.is_certain(router));
            }
        }
    }

    /// Decision of a router.
    fn sole_version_at(&self, router: usize) -> Option<SoftwareVersion> {
        let window = Duration::from_micros(WINDOW);
        let now = self.time();
        let mut own = self.nodes[router].history.served("app", now);
        if self.planted == Some(Planted::RouterTrustsItself) {
            own.known_ms = u64::MAX;
        }
        if own.covers(window) {
            return sole_version(&[own], window);
        }
        let replicas = self.nodes[..REPLICAS].iter().filter(|node| node.up_since.is_some());
        let asked = replicas.filter(|_| self.planted != Some(Planted::NothingAsked));
        let mut statements: Vec<_> = asked.map(|node| node.history.served("app", now)).collect();
        if self.planted == Some(Planted::ReplicaTrustsItself) {
            statements.iter_mut().for_each(|statement| statement.known_ms = u64::MAX);
        }
        statements.push(own);
        sole_version(&statements, window)
    }

    /// Whether one version only has served, and the replicas that are up know it: they have run for long
    /// enough, or remember no other one from before a restart.
    fn is_certain(&self, router: usize) -> bool {
        let now = self.queue.now();
        let is_recent =
            |server: &&Server| server.left.is_none_or(|left| left + WINDOW + LIST_LAG > now);
        let recent = self.servers.iter().filter(is_recent);
        let mut versions: Vec<u64> = recent.clone().map(|server| server.version).collect();
        versions.dedup();
        // A restored version counts as served until all servers have reported again.
        let is_settled = |node: &Node| {
            node.up_since.is_some_and(|since| since == 0 || now - since >= REPLICA_TIME)
                || versions_on_file(node) == 1
        };
        let is_listed = recent.clone().all(|server| server.began + LIST_LAG < now);
        let has_server = !self.nodes[router].known.is_empty();
        let is_up = |node: &&Node| node.up_since.is_some();
        let mut up = self.nodes[..REPLICAS].iter().filter(is_up).peekable();
        let is_known = up.peek().is_some() && up.all(is_settled);
        versions.len() == 1 && is_listed && has_server && is_known
    }

    /// Kills all routers, a replica or all of them, or everything.
    fn kill(&mut self) {
        let (replicas, routers) = match self.random.between(0, 9) {
            0 => (REPLICAS, ROUTERS),
            1 => (REPLICAS, 0),
            2 => (1, 0),
            3 => (1, ROUTERS),
            4 => (0, 2),
            _ => (0, ROUTERS),
        };
        let first = self.random.between(0, REPLICAS as u64 - 1) as usize;
        let replicas = (0..replicas).map(|number| (first + number) % REPLICAS);
        for node in replicas.chain((0..routers).map(|number| REPLICAS + number)) {
            if self.random.chance(200) {
                self.nodes[node].file = None;
            }
            if self.nodes[node].up_since.take().is_some() {
                let down = self.random.between(200 * MILLI, 2_500 * MILLI);
                self.queue.schedule_after(down, Event::Start { node });
            }
        }
        let next = self.random.between(3 * SECOND, 15 * SECOND);
        self.queue.schedule_after(next, Event::Kill);
    }

    /// A process starts, and learns what the replicas that are up know.
    fn start(&mut self, node: usize) {
        let known: Vec<u64> = self.nodes[..REPLICAS]
            .iter()
            .filter(|replica| replica.up_since.is_some())
            .flat_map(|replica| replica.known.keys().copied())
            .collect();
        let (now, time) = (self.queue.now(), self.time());
        let is_written = self.planted != Some(Planted::NothingWritten);
        let file = self.nodes[node].file.take().filter(|_| is_written);
        let mut started = Node { up_since: Some(now), ..Node::default() };
        if let Some((snapshot, written_at)) = file {
            started.history.restore(&snapshot, Duration::from_micros(now - written_at), time);
        }
        started.history.resume(time);
        self.nodes[node] = started;
        self.apply_list(node);
        for server in known {
            let delay = self.delay();
            self.queue.schedule_after(delay, Event::Learn { node, server });
        }
    }
}

/// Versions that a replica's latest state names; none if it doesn't cover the time before a restart.
fn versions_on_file(node: &Node) -> usize {
    let snapshot = node.file.as_ref().map(|(snapshot, _)| snapshot);
    let snapshot = snapshot.filter(|snapshot| snapshot.known_ms >= Some((WINDOW / MILLI) as i64));
    let services = snapshot.into_iter().flat_map(|snapshot| &snapshot.services);
    services.map(|service| service.versions.len()).sum()
}
