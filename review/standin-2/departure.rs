//! A server that has started again under its id sends its DELETE after the control node that it
//! calls was lost. Another node, which still knows the earlier start, acknowledges it.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

// The bounds of the sheet on which servers start again under their ids.
const DRAIN_MS: u64 = 4_000;
const CONTACT_MS: u64 = 6_000;
const BEAT_MS: u64 = 1_200;
/// How long the leaving server serves after `drainMs`, "on occasion many seconds".
const FURTHER_MS: u64 = 4_000;
const WORK_MS: u64 = 60;

/// What the servers have seen and the clients were told.
#[derive(Default)]
struct Seen {
    /// Arrivals at the leaving incarnation that it took: time and request id.
    arrivals: Vec<(u64, String)>,
    /// Status that each request ended with; 0 for none.
    answers: BTreeMap<String, u16>,
    /// Requests that the leaving server worked on when it ended.
    under_way: Vec<String>,
}

struct Server {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    born: u64,
    is_watched: bool,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    running: Mutex<Vec<String>>,
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
        if request.header("expect-instance") != self.id {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        if self.is_watched {
            lock(&self.seen).arrivals.push((self.record.now_ms(), id.clone()));
        }
        self.record.line(format!("server {} born {}: runs {id}", self.id, self.born));
        lock(&self.running).push(id.clone());
        sleep_ms(WORK_MS);
        let seal = format!("{}.{id}", self.id);
        let answered = write_answer(stream, 200, &[("Request-Id", &id), ("Server-Seal", &seal)], b"done\n");
        lock(&self.running).retain(|running| *running != id);
        answered.map(|()| true)
    }
}

/// Starts an incarnation and its heartbeats to the control node `first`.
fn start(
    server: &Arc<Server>,
    controls: &[SocketAddrV4],
    first: usize,
) -> io::Result<(Listening, Arc<AtomicBool>, Arc<Mutex<Heartbeats>>)> {
    let handling = Arc::clone(server);
    let handler: Arc<Handler> = Arc::new(move |request, stream| handling.handle(request, stream));
    let listening = Listening::start(server.address, handler)?;
    let beats = Arc::new(Mutex::new(Heartbeats::new(&server.record, controls, first, &server.id)));
    let beating = Arc::new(AtomicBool::new(true));
    let (server, sending, is_beating) = (Arc::clone(server), Arc::clone(&beats), Arc::clone(&beating));
    thread::spawn(move || {
        while is_beating.load(Ordering::SeqCst) {
            let mut beats = lock(&sending);
            beats.sequence += 1;
            let body = server.beat(beats.sequence);
            let tries = 3;
            beats.send("PUT", &body, tries);
            drop(beats);
            sleep_ms(BEAT_MS);
        }
    });
    Ok((listening, beating, beats))
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-apply","host":"board.example","pathPrefix":"/apply/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"boardapp","maxAttempts":1,"allowAnonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"boardapp","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"board","apiKeys":["key-of-board"],"priority":1,"isolated":false}]}"#
}

fn main() {
    run_case("departure", |record| {
        let mut deployment = Deployment::start(record.clone(), 3, 260, (CONTACT_MS, DRAIN_MS))?;
        if !deployment.configure(configuration()) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let controls = deployment.control_addresses();
        let leader = deployment.controls.iter().position(|control| {
            let log = control.log();
            let last = log.lines().rfind(|line| line.contains("event=role_changed"));
            last.is_some_and(|line| line.contains("role=Leader"))
        });
        // The leader stays; of the others the leaving server calls one, and called the other before.
        let Some(leader) = leader else { return Ok(NOT_RUN) };
        let (down, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // The list of nodes, in which the next after the one that is down is the other follower.
        let list = [controls[down], controls[other], controls[leader]];
        let new_server = |number: usize, address, born, is_watched| {
            Arc::new(Server {
                id: format!("i-7f3a91c{number}"),
                address,
                zone: ["hartford", "worcester", "portland"][number],
                born,
                is_watched,
                record: record.clone(),
                seen: Arc::clone(&seen),
                running: Mutex::default(),
            })
        };
        let addresses: Vec<SocketAddrV4> =
            (0..3).map(|_| SocketAddrV4::new(deployment.network.host(), 8080)).collect();
        let mut others = Vec::new();
        for number in 1..3 {
            let server = new_server(number, addresses[number], unix_ms(), false);
            others.push(start(&server, &list, 2)?);
        }
        record.line(format!("server i-7f3a91c0 starts, calls {}", list[1]));
        let first = new_server(0, addresses[0], unix_ms(), false);
        let (listening, beating, _) = start(&first, &list, 1)?;

        // Clients: one request after the other, each on a connection of its own.
        let is_over = Arc::new(AtomicBool::new(false));
        let number = Arc::new(AtomicU64::new(0));
        let mut clients = Vec::new();
        for client in 0..15 {
            let front = deployment.routers[client % 3].front();
            let (is_over, number, seen) = (Arc::clone(&is_over), Arc::clone(&number), Arc::clone(&seen));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + number.fetch_add(1, Ordering::SeqCst));
                    let headers = [
                        ("Host", "board.example"),
                        ("Request-Id", id.as_str()),
                        ("Deadline-Ms", "4000"),
                        ("Authorization", "Token key-of-board"),
                    ];
                    let answer = call(front, "POST", "/apply/form", &headers, b"application", 4_000);
                    let status = answer.map_or(0, |answer| answer.status);
                    record.line(format!("client: {id} at {front} got {status}"));
                    lock(&seen).answers.insert(id, status);
                    sleep_ms(60);
                }
            }));
        }
        sleep_ms(4_000);

        // The server starts again under its id, at the same address.
        beating.store(false, Ordering::SeqCst);
        listening.stop();
        record.line("server i-7f3a91c0 ends");
        sleep_ms(1_000);
        record.line(format!("server i-7f3a91c0 starts again, calls {}", list[0]));
        let second = new_server(0, addresses[0], unix_ms(), true);
        let (listening, beating, beats) = start(&second, &list, 0)?;
        sleep_ms(6_000);

        // It leaves by DELETE alone. Shortly before, its control node is lost.
        let mut killed_at = 0;
        if has_trouble() {
            // Between two heartbeats.
            let before = lock(&beats).sequence;
            while lock(&beats).sequence == before {
                sleep_ms(5);
            }
            sleep_ms(200);
            deployment.controls[down].kill();
            killed_at = record.now_ms();
            record.line(format!("control node {} is lost for good", list[0]));
        }
        beating.store(false, Ordering::SeqCst);
        sleep_ms(200);
        let acknowledged_by = lock(&beats).send("DELETE", "", 3);
        let acknowledged_at = record.now_ms();
        let Some(acknowledged_by) = acknowledged_by else { return Ok(NOT_RUN) };
        record.line(format!("server i-7f3a91c0: its DELETE is acknowledged by {acknowledged_by}"));
        let end = acknowledged_at + DRAIN_MS + FURTHER_MS;
        sleep_ms(end.saturating_sub(record.now_ms()));
        let under_way = lock(&second.running).clone();
        listening.stop();
        record.line(format!("server i-7f3a91c0 ends, {} requests under way", under_way.len()));
        lock(&seen).under_way = under_way;
        sleep_ms(2_000);
        is_over.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));

        // DRAIN: a request arrives later than drainMs after the acknowledgement, sent on by a machine
        // in touch: contactMs after the loss.
        let seen = lock(&seen);
        let in_touch = |at: u64| match killed_at {
            0 => true,
            _ => at >= killed_at + CONTACT_MS,
        };
        let late: Vec<&(u64, String)> =
            seen.arrivals.iter().filter(|(at, _)| *at > acknowledged_at + DRAIN_MS).collect();
        let counted = late.iter().filter(|(at, _)| in_touch(*at)).count();
        let lost = seen.under_way.iter().filter(|id| seen.answers.get(*id).is_none_or(|status| *status != 200));
        record.line(format!(
            "DRAIN: {} requests arrived over {DRAIN_MS} ms after the acknowledgement, {counted} of them from machines in touch; \
             {} answers, {} of them 200; {} under way when the server ended were lost",
            late.len(),
            seen.answers.len(),
            seen.answers.values().filter(|status| **status == 200).count(),
            lost.count()
        ));
        if seen.arrivals.is_empty() {
            record.line("the server got no requests at all");
            return Ok(NOT_RUN);
        }
        Ok(if counted > 0 { BROKEN } else { HELD })
    })
}
