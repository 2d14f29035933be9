//! Another writer sends heartbeats with the addresses of servers. They lack a field that servers state
//! and name a service that does not exist.
//! All processes are killed once and come back.

#[path = "common.rs"]
mod common;

use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

const SERVERS: usize = 3;
const BEAT_MS: u64 = 1_200;
const WORK_MS: u64 = 60;
/// Time after which service must have recovered: `recoveryS` of the sheet.
const RECOVERY_MS: u64 = 18_000;
const MEASURED_MS: u64 = 6_000;

struct Server {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    born: u64,
    record: Record,
    runs: Arc<AtomicU64>,
    turned_away: Arc<AtomicU64>,
}

impl Server {
    fn beat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"boardapp\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.address, self.zone, self.born
        )
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        if request.path == "/healthz" {
            write_answer(stream, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        if request.path == "/api/report" {
            let body = format!("{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"born\":{}}}", self.born);
            write_answer(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())?;
            return Ok(true);
        }
        let expected = request.header("expect-instance");
        if expected != self.id {
            self.turned_away.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!("server {}: 421 for {id}, which expects {expected}", self.id));
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.record.line(format!("server {}: runs {id}", self.id));
        sleep_ms(WORK_MS);
        let seal = format!("{}.{id}", self.id);
        write_answer(stream, 200, &[("Request-Id", &id), ("Server-Seal", &seal)], b"done\n").map(|()| true)
    }
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-apply","host":"board.example","pathPrefix":"/apply/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"boardapp","maxAttempts":1,"allowAnonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"boardapp","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"board","apiKeys":["key-of-board"],"priority":1,"isolated":false}]}"#
}

/// An answer to a client: when the request was sent, and whether it was served.
struct Answer {
    sent_at: u64,
    served: bool,
}

fn share(answers: &[Answer], from: u64, until: u64) -> (usize, usize) {
    let counted = answers.iter().filter(|answer| answer.sent_at >= from && answer.sent_at < until);
    let served = counted.clone().filter(|answer| answer.served).count();
    (served, counted.count())
}

fn main() {
    run_case("foreign", |record| {
        let mut deployment = Deployment::start(record.clone(), 3, 260, (6_000, 4_000))?;
        if !deployment.configure(configuration()) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let controls = deployment.control_addresses();
        let (runs, turned_away): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let mut listening = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..SERVERS {
            let server = Arc::new(Server {
                id: format!("i-7f3a91c{number}"),
                address: SocketAddrV4::new(deployment.network.host(), 8080),
                zone: ["hartford", "worcester", "portland"][number],
                born: unix_ms(),
                record: record.clone(),
                runs: Arc::clone(&runs),
                turned_away: Arc::clone(&turned_away),
            });
            addresses.push((server.address, server.zone));
            let handling = Arc::clone(&server);
            let handler: Arc<Handler> = Arc::new(move |request, stream| handling.handle(request, stream));
            listening.push(Listening::start(server.address, handler)?);
            let controls = controls.clone();
            thread::spawn(move || {
                let mut beats = Heartbeats::new(&server.record, &controls, number, &server.id);
                loop {
                    beats.sequence += 1;
                    let body = server.beat(beats.sequence);
                    beats.send("PUT", &body, 3);
                    sleep_ms(BEAT_MS);
                }
            });
        }
        sleep_ms(3_000);
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(0));
        let mut clients = Vec::new();
        for client in 0..6 {
            let front = deployment.routers[client % 3].front();
            let (is_over, next, answers) = (Arc::clone(&is_over), Arc::clone(&next), Arc::clone(&answers));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + next.fetch_add(1, Ordering::SeqCst));
                    let headers = [
                        ("Host", "board.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "4000"),
                        ("Authorization", "Token key-of-board"),
                    ];
                    let sent_at = record.now_ms();
                    let answer = call(front, "POST", "/apply/form", &headers, b"application", 4_000);
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("client: {id} at {front} got {status}"));
                    lock(&answers).push(Answer { sent_at, served: status == 200 });
                    sleep_ms(80);
                }
            }));
        }
        sleep_ms(4_000);
        let fault_at = record.now_ms();
        record.line("all processes are killed");
        for node in deployment.controls.iter_mut().chain(&mut deployment.routers) {
            node.kill();
        }
        sleep_ms(1_000);
        for node in deployment.controls.iter_mut().chain(&mut deployment.routers) {
            node.start()?;
        }
        let back_at = record.now_ms();
        record.line("all processes are back");
        if has_trouble() {
            // One for each server, with its address; `version` is missing and no configuration names the service.
            for (number, (address, zone)) in addresses.into_iter().enumerate() {
                let (record, controls) = (record.clone(), controls.clone());
                thread::spawn(move || {
                    let id = format!("agent-{number}");
                    let born = unix_ms();
                    let mut beats = Heartbeats::new(&record, &controls, number, &id);
                    loop {
                        beats.sequence += 1;
                        let body = format!(
                            "{{\"service\":\"legacy-agents\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"slots\":6,\
                             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{},\"born\":{born}}}",
                            beats.sequence
                        );
                        let path = format!("/api/instances/{id}");
                        let answer = call(beats.node(), "PUT", &path, &[], body.as_bytes(), 1_000);
                        let said = answer.map_or(0, |answer| answer.status);
                        record.line(format!("another writer: {id}, without version, of an unknown service, got {said}"));
                        sleep_ms(BEAT_MS);
                    }
                });
            }
        }
        sleep_ms(RECOVERY_MS + MEASURED_MS);
        is_over.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        let answers = lock(&answers);
        let before = share(&answers, 0, fault_at);
        let after = share(&answers, back_at + RECOVERY_MS, u64::MAX);
        record.line(format!(
            "RECOVER: {} of {} served before the fault, {} of {} that were sent over {} s after the machines were back; \
             {} runs, {} times 421",
            before.0, before.1, after.0, after.1, RECOVERY_MS / 1_000,
            runs.load(Ordering::SeqCst), turned_away.load(Ordering::SeqCst)
        ));
        if before.0 * 4 < before.1 || before.1 == 0 || after.1 == 0 {
            return Ok(NOT_RUN);
        }
        Ok(if after.0 * 4 < after.1 { BROKEN } else { HELD })
    })
}
