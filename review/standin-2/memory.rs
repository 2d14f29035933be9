//! Clients send long bodies, within the configured limit, at the same time. The stand-in for the platform
//! kills a router whose memory goes over `memoryMb`.

#[path = "common.rs"]
mod common;

use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

const SERVERS: usize = 4;
const WORK_MS: u64 = 60;
/// Memory of a router on the sheet of Ikaze's shops.
const MEMORY_MB: u64 = 110;
/// `maxBodyBytes` of the configuration.
const MAX_BODY: usize = 4_194_304;
const UPLOAD_MS: u64 = 3_000;
const DEADLINE: &str = "4000";
const UPLOADS: u64 = 55;
/// Time between two uploads: 18 a second are 1.7 times a router's share of the sheet's requests.
const BURST_PAUSE_MS: u64 = 55;
const CALM_PAUSE_MS: u64 = 600;

struct Server {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    record: Record,
    taken: Arc<Mutex<BTreeSet<String>>>,
}

impl Server {
    fn beat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"shopfront\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}",
            self.address, self.zone
        )
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        if request.path == "/healthz" {
            write_answer(stream, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        if request.header("expect-instance") != self.id {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        self.record.line(format!("server {}: runs {id}, body of {} bytes", self.id, request.body.len()));
        lock(&self.taken).insert(id.clone());
        sleep_ms(WORK_MS);
        let seal = format!("{}.{id}", self.id);
        write_answer(stream, 200, &[("Request-Id", &id), ("Server-Seal", &seal)], b"done\n").map(|()| true)
    }
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-receipt","host":"shop.example","pathPrefix":"/receipt/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"shopfront","maxAttempts":1,"allowAnonymous":true,"sticky":false,"resumable":false},{"name":"r-listing","host":"shop.example","pathPrefix":"/listing/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":600,"priority":1,"service":"shopfront","maxAttempts":1,"allowAnonymous":true,"sticky":false,"resumable":false}],"services":[{"name":"shopfront","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
}

/// Sends requests on one connection until it closes; then opens another.
fn keep_asking(
    record: &Record,
    front: SocketAddrV4,
    is_over: &AtomicBool,
    next: &AtomicU64,
    closed: &Mutex<Vec<String>>,
) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(stream) = connect(front, 4_000) else {
            sleep_ms(100);
            continue;
        };
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut asked = 0;
        while !is_over.load(Ordering::SeqCst) {
            let id = format!("{:016x}", 0x9c41_0000_0000_0000 + next.fetch_add(1, Ordering::SeqCst));
            let headers = [("Host", "shop.example"), ("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
            let answered = write_request(&mut writer, "POST", "/receipt/r", &headers, b"receipt")
                .and_then(|()| read_head(&mut reader))
                .and_then(|mut head| read_body(&mut reader, &mut head).map(|()| head));
            match answered {
                Ok(head) if head.header("connection").eq_ignore_ascii_case("close") => break,
                Ok(_) => asked += 1,
                Err(_) => {
                    if asked > 0 {
                        record.line(format!("client: {id} on a kept connection to {front} got no answer"));
                        lock(closed).push(id);
                    }
                    break;
                }
            }
            sleep_ms(10);
        }
    }
}

/// Sends a body of the greatest size at a steady pace. Returns the status of the answer.
fn upload(front: SocketAddrV4, id: &str) -> io::Result<u16> {
    let mut stream = connect(front, 5_000)?;
    let head = format!(
        "POST /listing/check HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE}\r\n\
         Content-Length: {MAX_BODY}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; MAX_BODY / 64];
    for _ in 0..64 {
        stream.write_all(&piece)?;
        sleep_ms(UPLOAD_MS / 64);
    }
    Ok(read_head(&mut BufReader::new(stream))?.status)
}

fn main() {
    run_case("memory", |record| {
        let mut deployment = Deployment::start(record.clone(), 1, MEMORY_MB, (3_000, 2_000))?;
        if !deployment.configure(configuration()) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let controls = deployment.control_addresses();
        let taken: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let mut listening = Vec::new();
        for number in 0..SERVERS {
            let server = Arc::new(Server {
                id: format!("i-7f3a91c{number}"),
                address: SocketAddrV4::new(deployment.network.host(), 8080),
                zone: ["hartford", "worcester", "portland"][number % 3],
                record: record.clone(),
                taken: Arc::clone(&taken),
            });
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
                    sleep_ms(1_200);
                }
            });
        }
        sleep_ms(4_000);
        let front = deployment.routers[0].front();
        let is_over = Arc::new(AtomicBool::new(false));
        let (next, closed): (Arc<AtomicU64>, Arc<Mutex<Vec<String>>>) = Default::default();
        for _ in 0..10 {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let (next, closed) = (Arc::clone(&next), Arc::clone(&closed));
            thread::spawn(move || keep_asking(&record, front, &is_over, &next, &closed));
        }
        sleep_ms(1_000);
        let (uploading, sending) = (Arc::new(AtomicU64::new(UPLOADS)), record.clone());
        let left = Arc::clone(&uploading);
        thread::spawn(move || {
            for number in 0..UPLOADS {
                let (record, left) = (sending.clone(), Arc::clone(&left));
                thread::spawn(move || {
                    let id = format!("{:016x}", 0x4a41_0000_0000_0000 + number);
                    record.line(format!("client: sends {id}, body of {MAX_BODY} bytes"));
                    let got = upload(front, &id).map_err(|error| error.kind());
                    record.line(format!("client: {id} got {got:?}"));
                    left.fetch_sub(1, Ordering::SeqCst);
                });
                sleep_ms(if has_trouble() { BURST_PAUSE_MS } else { CALM_PAUSE_MS });
            }
        });
        let mut peak = 0;
        while uploading.load(Ordering::SeqCst) > 0 {
            let used = deployment.routers[0].memory_kb("VmRSS");
            peak = peak.max(used);
            if used > MEMORY_MB * 1024 {
                record.line(format!("platform: {front} holds {used} kB, over {MEMORY_MB} MB: killed"));
                deployment.routers[0].kill();
                sleep_ms(500);
                deployment.routers[0].start()?;
                break;
            }
            sleep_ms(5);
        }
        sleep_ms(1_000);
        is_over.store(true, Ordering::SeqCst);
        let (closed, taken) = (lock(&closed), lock(&taken));
        let lost = closed.iter().filter(|id| taken.contains(*id)).count();
        record.line(format!("LOST: memory at most {peak} kB; {lost} requests of kept connections were passed on to a server and got no answer"));
        Ok(if lost > 3 { BROKEN } else { HELD })
    })
}
