//! Engines that serve two models. New weights of one of them are named; requests for the other model,
//! on a route that was added later, go on.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

const ENGINES: usize = 6;
const EVENTS: u64 = 6;
const STEP_MS: u64 = 10;
/// Time to load weights, of the sheet.
const LOAD_MS: u64 = 630;
/// `versionMs` of the sheet: by then all engines have the new weights.
const VERSION_MS: u64 = 8_000;
const MEASURED_MS: u64 = 6_000;

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
    turned_away: Arc<AtomicU64>,
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
            self.turned_away.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!(
                "engine {}: 421 for {id}, which expects version {expected} of {model}; its version is {version}",
                self.id
            ));
            return self.turn_away(stream, &id, 421);
        }
        self.record.line(format!("engine {}: runs {id} on version {version} of {model}", self.id));
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

fn configuration(version: u64, with_second: bool) -> String {
    let route = |name: &str, path: &str| {
        format!(
            r#"{{"name":"{name}","host":"board.example","pathPrefix":"/{path}/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"priority":1,"service":"screenllm","maxAttempts":2,"allowAnonymous":false,"sticky":true,"resumable":false,"gapAimMs":500}}"#
        )
    };
    let second = if with_second { format!(",{}", route("r-screen", "screen")) } else { String::new() };
    format!(
        r#"{{"version":{version},"routes":[{}{second}],"services":[{{"name":"screenllm","healthPath":"/healthz","maxConnections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":110556,"kvTokenBytes":163840,"linkMbps":1100000.0,"backups":true,"stride":4,"maxInFlight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m0"}},{{"name":"m1"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"board","apiKeys":["key-of-board"],"priority":1,"isolated":false}}]}}"#,
        route("r-tag", "tag")
    )
}

struct Answer {
    sent_at: u64,
    is_second: bool,
    served: bool,
}

fn main() {
    run_case("models", |record| {
        let mut deployment = Deployment::start(record.clone(), 3, 260, (3_000, 2_000))?;
        if !deployment.configure(&configuration(1, false)) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let controls = deployment.control_addresses();
        let turned_away: Arc<AtomicU64> = Arc::default();
        let mut listening = Vec::new();
        for number in 0..ENGINES {
            let versions = [("m0".to_owned(), 1), ("m1".to_owned(), 1)].into();
            let engine = Arc::new(Engine {
                id: format!("i-10d7742{number}"),
                address: SocketAddrV4::new(deployment.network.host(), 8080),
                zone: ["hartford", "worcester", "portland"][number % 3],
                record: record.clone(),
                state: Mutex::new(State { versions, ..State::default() }),
                turned_away: Arc::clone(&turned_away),
            });
            let handling = Arc::clone(&engine);
            let handler: Arc<Handler> = Arc::new(move |request, stream| handling.handle(request, stream));
            listening.push(Listening::start(engine.address, handler)?);
            let controls = controls.clone();
            thread::spawn(move || {
                let mut beats = Heartbeats::new(&engine.record, &controls, number, &engine.id);
                loop {
                    beats.sequence += 1;
                    let body = engine.beat(beats.sequence);
                    beats.send("PUT", &body, 3);
                    sleep_ms(1_200);
                }
            });
        }
        sleep_ms(3_000);
        if !deployment.configure(&configuration(2, true)) {
            return Ok(NOT_RUN);
        }
        sleep_ms(3_000);
        let is_over = Arc::new(AtomicBool::new(false));
        let (next, answers): (Arc<AtomicU64>, Arc<Mutex<Vec<Answer>>>) = Default::default();
        let mut clients = Vec::new();
        for client in 0..12 {
            let front = deployment.routers[client % 3].front();
            let is_second = client % 2 == 1;
            let (is_over, next, answers) = (Arc::clone(&is_over), Arc::clone(&next), Arc::clone(&answers));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let (path, model) = if is_second { ("/screen/file", "m0") } else { ("/tag/post", "m1") };
                while !is_over.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let id = format!("{:016x}", 0x4a41_0000_0000_0000 + number);
                    let parts = format!("5c1e07a{}:198,{:x}:628", client % 2, 0xb000_0000 + number);
                    let headers = [
                        ("Host", "board.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "6000"),
                        ("Authorization", "Token key-of-board"),
                        ("Model", model),
                        ("Token-Count", "826,6"),
                        ("Prompt-Prefix", parts.as_str()),
                    ];
                    let sent_at = record.now_ms();
                    let answer = call(front, "POST", path, &headers, b"prompt", 6_000);
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("client: {id} for {model} at {path} of {front} got {status}"));
                    lock(&answers).push(Answer { sent_at, is_second, served: status == 200 });
                    sleep_ms(100);
                }
            }));
        }
        sleep_ms(4_000);
        let named_at = record.now_ms();
        if has_trouble() {
            let body = b"{\"model\":\"m1\",\"version\":2}";
            let named = controls.iter().any(|control| {
                let answer = call(*control, "POST", "/api/version-put", &[], body, 1_000);
                answer.is_ok_and(|answer| answer.status == 200)
            });
            if !named {
                return Ok(NOT_RUN);
            }
            record.line("operator: version 2 of m1 is named and acknowledged");
        }
        sleep_ms(VERSION_MS + MEASURED_MS);
        is_over.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        let answers = lock(&answers);
        let share = |is_second: bool, from: u64, until: u64| {
            let counted = answers.iter().filter(|answer| {
                answer.is_second == is_second && answer.sent_at >= from && answer.sent_at < until
            });
            let served = counted.clone().filter(|answer| answer.served).count();
            (served, counted.count())
        };
        let before = (share(false, 0, named_at), share(true, 0, named_at));
        let from = named_at + VERSION_MS;
        let (first, second) = (share(false, from, u64::MAX), share(true, from, u64::MAX));
        record.line(format!(
            "CONFIG: before, {} of {} served on the first route, {} of {} on the one added later; \
             from {} s after the new weights of m1 on, {} of {} and {} of {}; {} times 421",
            before.0.0, before.0.1, before.1.0, before.1.1, VERSION_MS / 1_000,
            first.0, first.1, second.0, second.1, turned_away.load(Ordering::SeqCst)
        ));
        if second.1 < 20 || first.0 * 2 < first.1 {
            return Ok(NOT_RUN);
        }
        // Served less than a quarter as often as on the first route.
        let is_broken = second.0 * first.1 * 4 < first.0 * second.1;
        Ok(if is_broken { BROKEN } else { HELD })
    })
}
