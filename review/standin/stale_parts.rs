//! Weights are renewed while prompts are being read: what such a run reads after the change is saved
//! in the store under the name of the old weights, and servers that still have these fetch it.

use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::engine::{Engine, Engines, MODEL, STORE_TOKENS};
use crate::harness::{
    BROKEN, Ground, HELD, NOT_RUN, Node, Random, Record, Role, SERVER_PORT, call, call_control,
    seed, with_trouble,
};
use crate::memory::Memory;

const ROUTERS: usize = 3;
const SERVERS: usize = 7;
const CLIENTS: usize = 24;
const THINGS: u64 = 24;
const DURATION: Duration = Duration::from_secs(80);
const BUMP_INTERVAL: Duration = Duration::from_millis(8_000);
/// `srv_slow`: 0.15 of the servers work 4 times as long, for 5 s.
const SLOWNESS: u64 = 4;
const SLOW_TIME: Duration = Duration::from_secs(5);
const SLOW_BEFORE: Duration = Duration::from_secs(1);

fn config(store: SocketAddrV4) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-screen\",\"host\":\"boards.example\",\
         \"pathPrefix\":\"/screen/\",\"kind\":\"streaming\",\"timeoutMs\":6000,\
         \"targetLatencyMs\":800,\"priority\":1,\"service\":\"screen-llm\",\"maxAttempts\":2,\
         \"allowAnonymous\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":500}}],\
         \"services\":[{{\"name\":\"screen-llm\",\"healthPath\":\"/healthz\",\"maxConnections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":110556,\
         \"kvTokenBytes\":163840,\"linkMbps\":1100000.0,\"backups\":true,\"stride\":4,\
         \"maxInFlight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},{{\"name\":\"prompt-keep\",\
         \"kvStoreAddr\":\"{store}\",\"zone\":\"middle\",\"kvCapacityTokens\":{STORE_TOKENS},\
         \"linkMbps\":200000.0,\"maxInFlight\":12}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"apiKeys\":[\"key-of-tenant-a\"],\"priority\":1,\
         \"isolated\":false}}]}}"
    )
}

/// A prompt of the sheet's `resume-screen`: 6,300 shared and 2,890 own tokens, of which some have more.
fn prompt(front: SocketAddrV4, id: &str, random: &mut Random) -> u16 {
    let thing = random.next() % THINGS;
    let own_tokens = [700, 1_300, 1_800, 2_900, 5_600, 12_000][(random.next() % 6) as usize];
    let own = random.next() as u32;
    let head = format!(
        "POST /screen/1 HTTP/1.1\r\nHost: boards.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Token key-of-tenant-a\r\nModel: {MODEL}\r\nToken-Count: {},5\r\n\
         Prompt-Prefix: {:08x}:2520,{:08x}:3780,{own:08x}:{own_tokens}\r\n",
        6_300 + own_tokens,
        0x1000 + thing % 4,
        0x2000 + thing
    );
    let answer = call(front, &head, b"prompt", Duration::from_secs(6));
    answer.ok().flatten().map_or(0, |answer| answer.status())
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
        memories: Mutex::default(),
        stale: AtomicU64::new(0),
        taken: AtomicU64::new(0),
    });
    let mut random = Random::new(seed());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let address = SocketAddrV4::new(ground.host(), SERVER_PORT);
        let id = format!("i-{:08x}", random.next() as u32);
        servers.push(Engine::start(&engines, id, address, number, 1, &controls));
    }
    let store = SocketAddrV4::new(ground.host(), SERVER_PORT);
    let memory = Memory::with_capacity(STORE_TOKENS);
    engines.memories.lock().unwrap().insert(store.to_string(), memory);
    let started = Instant::now();
    let config = config(store);
    while call_control(&controls, 0, "PUT /api/config", &config) != Some(200) {
        if started.elapsed() > Duration::from_secs(20) {
            record.line("the configuration is not acknowledged");
            return NOT_RUN;
        }
        sleep(Duration::from_millis(200));
    }
    for (number, front) in fronts.iter().enumerate() {
        let mut tries = 0;
        while prompt(*front, &format!("fe{number:02x}{tries:012x}"), &mut random) != 200 {
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
    let until = Instant::now() + DURATION;
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fronts, record) = (fronts.clone(), Arc::clone(record));
            let served = Arc::clone(&served);
            let mut random = Random::new(seed() ^ (number as u64) << 40);
            thread::spawn(move || {
                let prefix = random.next() as u32;
                let mut count = 0u32;
                while Instant::now() < until {
                    count += 1;
                    let id = format!("{prefix:08x}{count:08x}");
                    match prompt(fronts[number % ROUTERS], &id, &mut random) {
                        200 => drop(served.fetch_add(1, Ordering::Relaxed)),
                        status => record.line(&format!("client {number} got {status} for {id}")),
                    }
                    sleep(Duration::from_millis(200 + random.next() % 1_200));
                }
            })
        })
        .collect();
    let mut version = 1;
    let mut next = Instant::now() + Duration::from_secs(3);
    while with_trouble() && next + Duration::from_secs(6) < until {
        sleep((next - SLOW_BEFORE).saturating_duration_since(Instant::now()));
        let slow = Arc::clone(&servers[(random.next() % SERVERS as u64) as usize]);
        record.line(&format!("{} works {SLOWNESS} times as long for 5 s", slow.id));
        slow.slowness.store(SLOWNESS, Ordering::Relaxed);
        thread::spawn(move || {
            sleep(SLOW_TIME);
            slow.slowness.store(1, Ordering::Relaxed);
        });
        sleep(next.saturating_duration_since(Instant::now()));
        next += BUMP_INTERVAL;
        version += 1;
        engines.newest.store(version, Ordering::SeqCst);
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        while call_control(&controls, 0, "POST /api/version-put", &body) != Some(200) {
            sleep(Duration::from_millis(100));
        }
        record.line(&format!("weights {version} acknowledged"));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    engines.is_over.store(true, Ordering::SeqCst);
    let stale = engines.stale.load(Ordering::Relaxed);
    let served = served.load(Ordering::Relaxed);
    let summary = format!(
        "{served} served, {} parts taken, weights {version}; STALE {stale}",
        engines.taken.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    sleep(Duration::from_millis(1_500));
    if served == 0 {
        return NOT_RUN;
    }
    if stale > 0 { BROKEN } else { HELD }
}
