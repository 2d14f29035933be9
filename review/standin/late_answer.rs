//! A server that sends an answer too many: a rejection that belongs to an earlier request arrives
//! where the answer to the next request is due.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::harness::{
    BROKEN, Ground, HELD, Message, NOT_RUN, Node, Random, Record, Role, SERVER_PORT, call,
    call_control, read_message, seed, with_trouble,
};

const SERVICE: &str = "board-app";
/// Share of the servers that send answers too many, and of their answers that are followed by one:
/// `garble`, "extra late", of the site file has 0.6 and 0.03.
const SERVERS: usize = 3;
const FAULTY: usize = 1;
const EXTRA_SHARE: f64 = 0.03;
const WORK: Duration = Duration::from_millis(60);
const CLIENTS: usize = 4;
const DURATION: Duration = Duration::from_secs(25);

#[derive(Default)]
struct Seen {
    /// Servers at which each request has run.
    runs: HashMap<String, Vec<String>>,
    /// Answer that each request's client got.
    answers: HashMap<String, u16>,
}

struct World {
    record: Arc<Record>,
    seen: Mutex<Seen>,
    is_over: AtomicBool,
    extra: AtomicU64,
    random: Mutex<Random>,
}

struct Server {
    id: String,
    is_faulty: bool,
}

/// Serves one connection: one request at a time, each answered by its length.
fn serve(world: &World, server: &Server, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    // Request whose rejection is still to be sent on this connection.
    let mut pending: Option<String> = None;
    while let Some(request) = read_message(&mut reader)? {
        let path = request.start.split(' ').nth(1).unwrap_or("").to_owned();
        if path == "/healthz" || path == "/api/report" {
            let id = &server.id;
            write!(writer, "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 2\r\n\r\n{{}}")?;
            continue;
        }
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != server.id) {
            write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                server.id
            )?;
            continue;
        }
        world.record.line(&format!("{} runs {id}", server.id));
        world.seen.lock().unwrap().runs.entry(id.clone()).or_default().push(server.id.clone());
        if let Some(earlier) = pending.take() {
            world.extra.fetch_add(1, Ordering::Relaxed);
            world.record.line(&format!(
                "{} sends an answer too many: 503 Not-Executed with Request-Id {earlier}, where \
                 the answer to {id} is due",
                server.id
            ));
            write!(
                writer,
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {earlier}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                server.id
            )?;
        }
        sleep(WORK);
        let body = format!("done {id}\n");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\nInstance-Id: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            server.id,
            body.len()
        )?;
        let sends_extra = server.is_faulty
            && with_trouble()
            && world.random.lock().unwrap().chance(EXTRA_SHARE);
        pending = sends_extra.then_some(id);
    }
    Ok(())
}

fn start_server(world: &Arc<World>, number: usize, address: SocketAddrV4, controls: &[SocketAddrV4]) {
    let listener = TcpListener::bind(address).expect("an address for a server");
    let id = format!("i-{:08x}", world.random.lock().unwrap().next() as u32);
    let server = Arc::new(Server { id: id.clone(), is_faulty: number < FAULTY });
    let shared = Arc::clone(world);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, server) = (Arc::clone(&shared), Arc::clone(&server));
            thread::spawn(move || serve(&world, &server, stream));
        }
    });
    let (world, controls) = (Arc::clone(world), controls.to_vec());
    thread::spawn(move || {
        let mut sequence = 0;
        while !world.is_over.load(Ordering::Relaxed) {
            sequence += 1;
            let zone = ["north", "middle", "south"][number % 3];
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"sequence\":{sequence}}}"
            );
            call_control(&controls, number, &format!("PUT /api/instances/{id}"), &body);
            sleep(Duration::from_millis(1_200));
        }
    });
}

const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"r-submit\",\"host\":\"boards.example\",\
    \"pathPrefix\":\"/submit/\",\"kind\":\"unsafe\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\
    \"priority\":2,\"service\":\"board-app\",\"maxAttempts\":1,\"allowAnonymous\":false,\
    \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"board-app\",\
    \"healthPath\":\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
    \"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant-a\",\"apiKeys\":[\"key-of-tenant-a\"],\
    \"priority\":1,\"isolated\":false}]}";

fn submit(front: SocketAddrV4, id: &str) -> Option<Message> {
    let head = format!(
        "POST /submit/1 HTTP/1.1\r\nHost: boards.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\n\
         Authorization: Token key-of-tenant-a\r\n"
    );
    call(front, &head, format!("application {id}").as_bytes(), Duration::from_secs(4)).ok().flatten()
}

/// Sends one request after the other; none is ever sent again, so each id is one client attempt.
fn run_client(world: &World, front: SocketAddrV4, number: usize, until: Instant) {
    let mut count = 0u64;
    let prefix = world.random.lock().unwrap().next() as u32;
    while Instant::now() < until {
        count += 1;
        let id = format!("{prefix:08x}{number:02x}{count:06x}");
        world.record.line(&format!("client {number} sends {id} (unsafe)"));
        let status = submit(front, &id).map_or(0, |answer| answer.status());
        world.record.line(&format!("client {number} got {status} for {id}"));
        world.seen.lock().unwrap().answers.insert(id, status);
        sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Arc<Record>) -> i32 {
    let Ok(mut ground) = Ground::new() else { return NOT_RUN };
    let seeds: Vec<_> = (0..3).map(|_| ground.host()).collect();
    let mut nodes: Vec<Node> = (0..3)
        .map(|number| Node::new(Role::Control, number, seeds[number], &seeds, &ground))
        .collect();
    let front = Node::new(Role::Router, 0, ground.host(), &seeds, &ground);
    let (front_address, ready_address) = (front.front(), front.ready());
    nodes.push(front);
    for node in &mut nodes {
        if let Err(error) = node.start() {
            record.line(&format!("{} can't be started: {error}", node.name));
            return NOT_RUN;
        }
    }
    let controls: Vec<SocketAddrV4> = nodes[..3].iter().map(Node::control).collect();
    let world = Arc::new(World {
        record: Arc::clone(record),
        seen: Mutex::default(),
        is_over: AtomicBool::new(false),
        extra: AtomicU64::new(0),
        random: Mutex::new(Random::new(seed())),
    });
    for number in 0..SERVERS {
        let address = SocketAddrV4::new(ground.host(), SERVER_PORT);
        start_server(&world, number, address, &controls);
    }
    let started = Instant::now();
    while call_control(&controls, 0, "PUT /api/config", CONFIG) != Some(200) {
        if started.elapsed() > Duration::from_secs(20) {
            record.line("the configuration is not acknowledged");
            return NOT_RUN;
        }
        sleep(Duration::from_millis(200));
    }
    record.line("configuration 3 acknowledged");
    let ready_head = format!("GET /api/ready HTTP/1.1\r\nHost: {ready_address}\r\n");
    let mut number = 0;
    loop {
        let ready = call(ready_address, &ready_head, b"", Duration::from_secs(1));
        let is_ready = matches!(ready, Ok(Some(answer)) if answer.status() == 200);
        number += 1;
        if is_ready && submit(front_address, &format!("fe{number:014x}")).is_some_and(|a| a.status() == 200)
        {
            break;
        }
        if started.elapsed() > Duration::from_secs(30) {
            record.line("the deployment does not serve");
            return NOT_RUN;
        }
        sleep(Duration::from_millis(200));
    }
    // Both beyond `contactMs` after the last start, so that every machine is in touch.
    sleep(Duration::from_secs(4));
    record.line("traffic starts");
    let until = Instant::now() + DURATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let world = Arc::clone(&world);
            thread::spawn(move || run_client(&world, front_address, number, until))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(Duration::from_secs(1));
    world.is_over.store(true, Ordering::Relaxed);
    judge(&world)
}

fn judge(world: &World) -> i32 {
    let seen = world.seen.lock().unwrap();
    let record = &world.record;
    let mut twice = 0;
    let mut refused = 0;
    for (id, servers) in &seen.runs {
        let status = seen.answers.get(id).copied().unwrap_or(0);
        if servers.len() > 1 {
            twice += 1;
            record.line(&format!("TWICE: {id} ran at {} (client got {status})", servers.join(", ")));
        }
        if [408, 421, 429, 503].contains(&status) {
            refused += 1;
            record.line(&format!("REFUSED: {id} got {status}, and ran at {}", servers.join(", ")));
        }
    }
    let served = seen.answers.values().filter(|status| **status == 200).count();
    let summary = format!(
        "{} requests, {served} with 200; {} answers too many; TWICE {twice}, REFUSED {refused}",
        seen.answers.len(),
        world.extra.load(Ordering::Relaxed)
    );
    record.line(&summary);
    println!("{summary}");
    if served == 0 {
        return NOT_RUN;
    }
    if twice + refused > 0 { BROKEN } else { HELD }
}
