//! A router that was restarted counts the time for older weights from its own start, and sends
//! requests to a server that comes back with them.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Engines, MODEL};
use crate::harness::{
    BROKEN, Ground, HELD, NOT_RUN, Node, Random, Record, Role, SERVER_PORT, SIGKILL, call,
    call_control, seed, with_trouble,
};

const ROUTERS: usize = 5;
const SERVERS: usize = 8;
/// `srv_crash`: a quarter of the servers, for 12 s at most.
const CRASHED: usize = 2;
/// `herd_kill`: 0.55 of the routers at most.
const KILLED: usize = 2;
const CLIENTS_PER_ROUTER: usize = 6;
const PAUSE: Duration = Duration::from_millis(80);
const VERSION_MS: u64 = 8_000;
const CONTACT_MS: u64 = 3_000;

struct World {
    engines: Arc<Engines>,
    is_over: AtomicBool,
    served: AtomicU64,
    /// Router of each request.
    routers: Mutex<std::collections::HashMap<String, usize>>,
}

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"r-screen\",\"host\":\"boards.example\",\
    \"pathPrefix\":\"/screen/\",\"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":800,\
    \"priority\":1,\"service\":\"screen-llm\",\"maxAttempts\":2,\"allowAnonymous\":false,\
    \"sticky\":true,\"resumable\":true,\"gapAimMs\":500}],\"services\":[{\"name\":\"screen-llm\",\
    \"healthPath\":\"/healthz\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":64,\"kvCapacityTokens\":110556,\"kvTokenBytes\":163840,\
    \"linkMbps\":1100000.0,\"backups\":true,\"stride\":4,\"maxInFlight\":12,\"pinMs\":4000.0,\
    \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"model-a\"}]}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"apiKeys\":[\"key-of-tenant-a\"],\
    \"priority\":1,\"isolated\":false}]}";

fn prompt(front: SocketAddrV4, id: &str, part: u32) -> u16 {
    let head = format!(
        "POST /screen/1 HTTP/1.1\r\nHost: boards.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Token key-of-tenant-a\r\nModel: {MODEL}\r\nToken-Count: 600,5\r\n\
         Prompt-Prefix: {part:08x}:600\r\n"
    );
    let answer = call(front, &head, b"prompt", Duration::from_secs(6));
    answer.ok().flatten().map_or(0, |answer| answer.status())
}

fn run_client(world: &World, fronts: &[SocketAddrV4], number: usize) {
    let mut random = Random::new(seed() ^ (number as u64) << 32);
    let router = number % ROUTERS;
    let prefix = random.next() as u32;
    let mut count = 0u32;
    while !world.is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{prefix:08x}{count:08x}");
        world.routers.lock().unwrap().insert(id.clone(), router);
        let status = prompt(fronts[router], &id, random.next() as u32);
        if status == 200 {
            world.served.fetch_add(1, Ordering::Relaxed);
        } else {
            world.engines.record.line(&format!("client {number} got {status} for {id}"));
        }
        sleep(PAUSE);
    }
}

pub fn run(record: &Arc<Record>) -> i32 {
    let Ok(mut ground) = Ground::new() else { return NOT_RUN };
    let seeds: Vec<_> = (0..3).map(|_| ground.host()).collect();
    let mut nodes: Vec<Node> = (0..3)
        .map(|number| Node::new(Role::Control, number, seeds[number], &seeds, &ground))
        .collect();
    for number in 0..ROUTERS {
        nodes.push(Node::new(Role::Router, number, ground.host(), &seeds, &ground));
    }
    for node in &mut nodes {
        if let Err(error) = node.start() {
            record.line(&format!("{} can't be started: {error}", node.name));
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddrV4> = nodes[..3].iter().map(Node::control).collect();
    let fronts: Vec<SocketAddrV4> = nodes[3..].iter().map(Node::front).collect();
    let engines = Arc::new(Engines {
        record: Arc::clone(record),
        runs: Mutex::default(),
        newest: AtomicU64::new(1),
        is_over: AtomicBool::new(false),
    });
    let mut random = Random::new(seed());
    let addresses: Vec<SocketAddrV4> =
        (0..SERVERS).map(|_| SocketAddrV4::new(ground.host(), SERVER_PORT)).collect();
    let mut servers: Vec<Arc<Engine>> = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let id = format!("i-{:08x}", random.next() as u32);
        servers.push(Engine::start(&engines, id, *address, number, 1, &controls));
    }
    let started = Instant::now();
    while call_control(&controls, 0, "PUT /api/config", CONFIG) != Some(200) {
        if started.elapsed() > Duration::from_secs(20) {
            record.line("the configuration is not acknowledged");
            return NOT_RUN;
        }
        sleep(Duration::from_millis(200));
    }
    for (number, front) in fronts.iter().enumerate() {
        let mut tries = 0u32;
        while prompt(*front, &format!("fe{number:02x}{tries:012x}"), tries) != 200 {
            tries += 1;
            if started.elapsed() > Duration::from_secs(30) {
                record.line("the deployment does not serve");
                return NOT_RUN;
            }
            sleep(Duration::from_millis(200));
        }
    }
    sleep(Duration::from_secs(4));
    record.line("traffic starts");
    let world = Arc::new(World {
        engines: Arc::clone(&engines),
        is_over: AtomicBool::new(false),
        served: AtomicU64::new(0),
        routers: Mutex::default(),
    });
    let clients: Vec<_> = (0..ROUTERS * CLIENTS_PER_ROUTER)
        .map(|number| {
            let (world, fronts) = (Arc::clone(&world), fronts.clone());
            thread::spawn(move || run_client(&world, &fronts, number))
        })
        .collect();
    sleep(Duration::from_secs(2));
    let kept: Vec<Arc<Engine>> = servers.clone();
    if with_trouble() {
        for server in &servers[..CRASHED] {
            record.line(&format!("{} crashes", server.id));
            server.crash();
        }
    }
    sleep(Duration::from_millis(500));
    engines.newest.store(2, Ordering::SeqCst);
    let body = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
    while call_control(&controls, 0, "POST /api/version-put", &body) != Some(200) {
        sleep(Duration::from_millis(100));
    }
    let (acknowledged, acknowledged_ms) = (Instant::now(), record.now_ms());
    record.line("weights 2 acknowledged");
    let until = |after_ms: u64| {
        sleep((acknowledged + Duration::from_millis(after_ms)).saturating_duration_since(Instant::now()));
    };
    until(5_000);
    let mut router_started_ms = 0;
    if with_trouble() {
        for router in &mut nodes[3..3 + KILLED] {
            record.line(&format!("{} is killed", router.name));
            router.signal_and_wait(SIGKILL);
        }
        until(5_400);
        for router in &mut nodes[3..3 + KILLED] {
            if router.start().is_err() {
                return NOT_RUN;
            }
            record.line(&format!("{} is started again", router.name));
        }
        router_started_ms = record.now_ms();
    }
    until(9_500);
    if with_trouble() {
        for number in 0..CRASHED {
            let version = servers[number].version.load(Ordering::SeqCst);
            let id = format!("i-{:08x}", random.next() as u32);
            record.line(&format!("{} is back as {id}, with weights {version}", servers[number].id));
            servers[number] =
                Engine::start(&engines, id, addresses[number], number, version, &controls);
        }
    }
    until(13_000);
    world.is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(kept);
    let code = judge(&world, acknowledged_ms, router_started_ms);
    engines.is_over.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(1_500));
    code
}

/// The core was stable and no link was in disruption all the while, so that the time counts in one
/// stretch from the acknowledgement on.
fn judge(world: &World, acknowledged_ms: u64, router_started_ms: u64) -> i32 {
    let record = &world.engines.record;
    let routers = world.routers.lock().unwrap();
    let mut broken = 0;
    for run in world.engines.runs.lock().unwrap().iter() {
        let after = run.at_ms.saturating_sub(acknowledged_ms);
        if run.version >= 2 || after <= VERSION_MS {
            continue;
        }
        let Some(router) = routers.get(&run.id) else { continue };
        let in_touch = *router >= KILLED || run.at_ms > router_started_ms + CONTACT_MS;
        record.line(&format!(
            "VERSION: {} began {} on weights {} {after} ms after the acknowledgement of 2; sent by \
             front-{router}, {}",
            run.server,
            run.id,
            run.version,
            if in_touch { "in touch" } else { "not in touch" }
        ));
        broken += u32::from(in_touch);
    }
    let served = world.served.load(Ordering::Relaxed);
    let summary = format!("{served} served; VERSION {broken}");
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        return NOT_RUN;
    }
    if broken > 0 { BROKEN } else { HELD }
}
