//! Engines that were down while new weights were named come back with the old ones, soon after all control
//! processes and some routers were killed and started again.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

const ENGINES: usize = 8;
/// `herd_kill`: 0.6 of the routers.
const KILLED: usize = 3;
/// `srv_crash`: a quarter of the servers, for 12 s.
const CRASHED: usize = 2;
const DOWN_MS: u64 = 12_000;
const EVENTS: u64 = 6;
const STEP_MS: u64 = 10;
/// Time to load weights, of the sheet.
const LOAD_MS: u64 = 630;
/// Bounds of the sheet.
const VERSION_ALL_MS: u64 = 11_000;
const CONTACT_MS: u64 = 3_000;

#[derive(Default)]
struct State {
    /// Version of each model's weights.
    versions: BTreeMap<String, u64>,
    /// Model whose weights are being loaded.
    loading: Option<String>,
    sequence: u64,
    fence: u64,
}

struct Engine {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    record: Record,
    state: Mutex<State>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A request that began at an engine.
struct Run {
    at: u64,
    id: String,
    version: u64,
}

impl Engine {
    fn models(state: &State) -> String {
        let models = state.versions.iter().map(|(name, version)| {
            format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
        });
        models.collect::<Vec<_>>().join(",")
    }

    fn beat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"screenllm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{}],\"sequence\":{sequence}}}",
            self.address,
            self.zone,
            Engine::models(&lock(&self.state))
        )
    }

    fn handle(self: &Arc<Self>, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        if request.path == "/healthz" {
            write_answer(stream, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        if request.path == "/api/report" {
            let state = lock(&self.state);
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{}],\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":1,\
                 \"kvUsed\":1,\"kvTotal\":110556,\"handles\":0}}",
                Engine::models(&state),
                state.loading.is_some(),
                state.sequence
            );
            drop(state);
            write_answer(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())?;
            return Ok(true);
        }
        if request.header("expect-instance") != self.id {
            return self.turn_away(stream, &id, 421);
        }
        if request.path == "/api/order" {
            let status = self.take_order(&String::from_utf8_lossy(&request.body));
            self.record.line(format!("engine {}: order {} answered {status}", self.id, String::from_utf8_lossy(&request.body)));
            write_answer(stream, status, &[], b"")?;
            return Ok(true);
        }
        let model = request.header("model").to_owned();
        let expected = request.header("expect-version").to_owned();
        let (version, is_loading) = {
            let state = lock(&self.state);
            (state.versions.get(&model).copied().unwrap_or(0), state.loading.as_ref() == Some(&model))
        };
        if is_loading {
            return self.turn_away(stream, &id, 503);
        }
        if !expected.is_empty() && expected != version.to_string() {
            self.record.line(format!(
                "engine {}: 421 for {id}, which expects version {expected} of {model}; its version is {version}",
                self.id
            ));
            return self.turn_away(stream, &id, 421);
        }
        self.record.line(format!("engine {}: runs {id} on version {version} of {model}", self.id));
        lock(&self.runs).push(Run { at: self.record.now_ms(), id: id.clone(), version });
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nServer-Seal: {}.{id}\r\nWeight-Versions: {version}\r\n\r\n",
            self.id
        );
        io::Write::write_all(stream, head.as_bytes())?;
        for number in 1..=EVENTS {
            sleep_ms(STEP_MS);
            write_chunk(stream, format!("id: {number}\ndata: token {number}\n\n").as_bytes())?;
        }
        io::Write::write_all(stream, b"0\r\n\r\n")?;
        Ok(true)
    }

    fn turn_away(&self, stream: &mut TcpStream, id: &str, status: u16) -> io::Result<bool> {
        let headers = [("Request-Id", id), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
        write_answer(stream, status, &headers, b"").map(|()| true)
    }

    /// Takes an order to load weights. Other models are left untouched.
    fn take_order(self: &Arc<Self>, body: &str) -> u16 {
        let text = |name: &str| {
            let found = body.split(&format!("\"{name}\":")).nth(1)?;
            Some(found.trim_start_matches('"').split(['"', ',', '}']).next()?.to_owned())
        };
        let number = |name| text(name).and_then(|value| value.parse::<u64>().ok());
        let (Some(model), Some(version), Some(fence)) = (text("model"), number("version"), number("fencingToken")) else {
            return 400;
        };
        let mut state = lock(&self.state);
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.loading.is_some() || number("expectedRevision").is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        match state.versions.get(&model) {
            None => return 400,
            Some(held) if *held == version => return 200,
            Some(_) => {}
        }
        state.sequence += 1;
        state.loading = Some(model.clone());
        let engine = Arc::clone(self);
        thread::spawn(move || {
            sleep_ms(LOAD_MS);
            let mut state = lock(&engine.state);
            state.versions.insert(model.clone(), version);
            state.loading = None;
            engine.record.line(format!("engine {}: has version {version} of {model}", engine.id));
        });
        202
    }
}

fn configuration() -> &'static str {
    r#"{"version":3,"routes":[{"name":"r-screen","host":"board.example","pathPrefix":"/screen/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"priority":1,"service":"screenllm","maxAttempts":2,"allowAnonymous":false,"sticky":true,"resumable":true,"gapAimMs":500}],"services":[{"name":"screenllm","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacityTokens":110556,"kvTokenBytes":163840,"linkMbps":1100000.0,"backups":true,"stride":4,"maxInFlight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"board","apiKeys":["key-of-board"],"priority":1,"isolated":false}]}"#
}

/// An engine that runs, with what ends it.
struct Running {
    engine: Arc<Engine>,
    listening: Listening,
    beating: Arc<AtomicBool>,
}

impl Running {
    fn start(engine: Engine, controls: &[SocketAddrV4], first: usize) -> io::Result<Self> {
        let engine = Arc::new(engine);
        let handling = Arc::clone(&engine);
        let handler: Arc<Handler> = Arc::new(move |request, stream| handling.handle(request, stream));
        let listening = Listening::start(engine.address, handler)?;
        let beating = Arc::new(AtomicBool::new(true));
        let (is_beating, sender, controls) = (Arc::clone(&beating), Arc::clone(&engine), controls.to_vec());
        thread::spawn(move || {
            let mut beats = Heartbeats::new(&sender.record, &controls, first, &sender.id);
            while is_beating.load(Ordering::SeqCst) {
                beats.sequence += 1;
                let body = sender.beat(beats.sequence);
                beats.send("PUT", &body, 3);
                sleep_ms(1_200);
            }
        });
        Ok(Running { engine, listening, beating })
    }

    fn crash(&self) {
        self.beating.store(false, Ordering::SeqCst);
        self.listening.stop();
        self.engine.record.line(format!("engine {} crashes", self.engine.id));
    }
}

fn main() {
    run_case("weights", |record| {
        let mut deployment = Deployment::start(record.clone(), 5, 260, (CONTACT_MS, 2_000))?;
        if !deployment.configure(configuration()) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let controls = deployment.control_addresses();
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let new_engine = |id: String, address, number: usize| Engine {
            id,
            address,
            zone: ["hartford", "worcester", "portland"][number % 3],
            record: record.clone(),
            state: Mutex::new(State { versions: [("m0".to_owned(), 1)].into(), ..State::default() }),
            runs: Arc::clone(&runs),
        };
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let address = SocketAddrV4::new(deployment.network.host(), 8080);
            engines.push(Running::start(new_engine(format!("i-10d7742{number}"), address, number), &controls, number)?);
        }
        sleep_ms(4_000);
        let is_over = Arc::new(AtomicBool::new(false));
        let (next, served): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let mut clients = Vec::new();
        for client in 0..20 {
            let front = deployment.routers[client % 5].front();
            let (is_over, next, served) = (Arc::clone(&is_over), Arc::clone(&next), Arc::clone(&served));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{:016x}", 0x4a41_0000_0000_0000 + number);
                    let parts = format!("{:x}:826", 0xb000_0000 + number);
                    let headers = [
                        ("Host", "board.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "6000"),
                        ("Authorization", "Token key-of-board"),
                        ("Model", "m0"),
                        ("Token-Count", "826,6"),
                        ("Prompt-Prefix", parts.as_str()),
                    ];
                    let answer = call(front, "POST", "/screen/file", &headers, b"prompt", 6_000);
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("client: {id} at {front} got {status}"));
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                    sleep_ms(80);
                }
            }));
        }
        sleep_ms(2_000);
        let crashed_at = record.now_ms();
        if has_trouble() {
            engines[..CRASHED].iter().for_each(Running::crash);
        }
        sleep_ms(100);
        let body = b"{\"model\":\"m0\",\"version\":2}";
        let named = controls.iter().any(|control| {
            let answer = call(*control, "POST", "/api/version-put", &[], body, 1_000);
            answer.is_ok_and(|answer| answer.status == 200)
        });
        if !named {
            return Ok(NOT_RUN);
        }
        let named_at = record.now_ms();
        record.line("operator: version 2 of m0 is named and acknowledged");
        let wait_until = |at: u64| sleep_ms(at.saturating_sub(record.now_ms()));
        // One stretch of `versionAllMs`, undisturbed but for the engines that are down.
        wait_until(named_at + VERSION_ALL_MS + 200);
        if has_trouble() {
            record.line("all control processes and three of five routers are killed");
            for node in deployment.controls.iter_mut().chain(&mut deployment.routers[..KILLED]) {
                node.kill();
            }
        }
        let killed_at = record.now_ms();
        wait_until(crashed_at + DOWN_MS);
        if has_trouble() {
            for number in 0..CRASHED {
                let address = engines[number].engine.address;
                record.line(format!("engine at {address} is back, with version 1 of m0"));
                engines[number] = Running::start(new_engine(format!("i-3f9b11a{number}"), address, number), &controls, number)?;
            }
        }
        // They start within 0.3 s of one another, the leader last.
        wait_until(killed_at + 650);
        let is_leader = |node: &Node| node.log().lines().rfind(|line| line.contains("event=role_changed"))
            .is_some_and(|line| line.contains("role=Leader"));
        for node in deployment.controls.iter_mut().filter(|node| !is_leader(node)).chain(&mut deployment.routers) {
            if node.child.is_none() {
                node.start()?;
            }
        }
        wait_until(killed_at + 940);
        for node in deployment.controls.iter_mut().filter(|node| node.child.is_none()) {
            node.start()?;
        }
        let back_at = record.now_ms();
        record.line("all processes run");
        wait_until(back_at + CONTACT_MS + 5_000);
        is_over.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        let runs = lock(&runs);
        let broken = runs.iter().filter(|run| run.version < 2 && run.at > back_at + CONTACT_MS);
        for run in broken.clone() {
            record.line(format!(
                "VERSION: {} began on version {} {} ms after the acknowledgement of 2, {} ms after the last start",
                run.id, run.version, run.at - named_at, run.at - back_at
            ));
        }
        let broken = broken.count();
        let later = runs.iter().filter(|run| run.at > back_at + CONTACT_MS).count();
        record.line(format!(
            "VERSION: {} served; of {later} requests that began when all machines were in touch again, {broken} began on version 1",
            served.load(Ordering::SeqCst)
        ));
        if later == 0 {
            return Ok(NOT_RUN);
        }
        Ok(if broken > 0 { BROKEN } else { HELD })
    })
}
