//! Engines whose memory runs out preempt their newest streams, which go on once there is memory
//! again, while the router of those streams is stopped as planned.

#[path = "common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

// The figures of the sheet of Pryderi's previews, but for the number of events and their pace, which
// the pages leave open, and the size of the prompts, which are among the largest.
const ENGINES: usize = 18;
const ROUTERS: usize = 7;
/// Three streams for each engine fill its memory but for some hundred tokens.
const STREAMS: usize = 54;
/// Of ten streams, those whose clients are at the router that is stopped.
const AT_STOPPED: usize = 6;
/// Memory of an engine, in tokens.
const MEMORY: u64 = 162_776;
const PROMPT_TOKENS: u64 = 54_220;
/// Prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: f64 = 50.7;
/// Events of a stream, one token each, and the time of one.
const EVENTS: u64 = 70;
const STEP_MS: u64 = 57;
/// A client gives up after a gap of four times the objective of 800 ms.
const PATIENCE_MS: u64 = 3_200;
const DEADLINE_MS: u64 = 10_000;
const GRACE_MS: u64 = 8_000;

/// A stream at an engine.
struct Run {
    id: String,
    /// Tokens in memory; 0 while preempted or queued.
    tokens: u64,
    needed: u64,
}

struct Engine {
    id: String,
    address: SocketAddrV4,
    zone: &'static str,
    record: Record,
    preempts: bool,
    /// Streams in the order of their start.
    runs: Mutex<Vec<Run>>,
    closed_by_router: Arc<AtomicU64>,
    preempted: Arc<AtomicU64>,
}

impl Engine {
    fn beat(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"awenllm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":32,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}",
            self.address, self.zone
        )
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("request-id").to_owned();
        match request.path.as_str() {
            "/healthz" => {
                write_answer(stream, 200, &[("Instance-Id", &self.id)], b"")?;
                return Ok(true);
            }
            "/api/report" => {
                let body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                            \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":1,\"kvUsed\":1,\"kvTotal\":162776,\"handles\":0}";
                write_answer(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())?;
                return Ok(true);
            }
            _ => {}
        }
        if request.header("expect-instance") != self.id {
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Instance-Id", &self.id)];
            write_answer(stream, 421, &headers, b"")?;
            return Ok(true);
        }
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(format!("engine {}: takes {id} from event {}", self.id, after + 1));
        lock(&self.runs).push(Run { id: id.clone(), tokens: 0, needed: PROMPT_TOKENS + after });
        let result = self.run(stream, &id, after);
        lock(&self.runs).retain(|run| run.id != id);
        if result.is_err() {
            self.closed_by_router.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!("engine {}: the connection of {id} was closed under the run", self.id));
        }
        result.map(|()| true)
    }

    fn run(&self, stream: &mut TcpStream, id: &str, after: u64) -> io::Result<()> {
        for number in after + 1..=EVENTS {
            if self.wait_for_memory(stream, id)? {
                sleep_ms((PROMPT_TOKENS as f64 / READ_PER_MS) as u64);
            }
            if number == after + 1 {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                     Request-Id: {id}\r\nServer-Seal: {}.{id}\r\nWeight-Versions: 1\r\n\r\n",
                    self.id
                );
                io::Write::write_all(stream, head.as_bytes())?;
            }
            sleep_ms(STEP_MS);
            write_chunk(stream, format!("id: {number}\ndata: token {number}\n\n").as_bytes())?;
            self.grow(id);
        }
        io::Write::write_all(stream, b"0\r\n\r\n")
    }

    /// Waits until the stream's tokens fit in memory. Returns whether they have to be read.
    fn wait_for_memory(&self, stream: &TcpStream, id: &str) -> io::Result<bool> {
        let mut waited = false;
        loop {
            let mut runs = lock(&self.runs);
            let used: u64 = runs.iter().map(|run| run.tokens).sum();
            // Those that wait are admitted in the order of their start.
            let first = runs.iter().position(|run| run.tokens == 0);
            let Some(at) = runs.iter().position(|run| run.id == id) else { return Err(closed()) };
            if runs[at].tokens > 0 {
                return Ok(waited);
            }
            waited = true;
            let limit = if self.preempts { MEMORY } else { u64::MAX };
            if first == Some(at) && used + runs[at].needed <= limit {
                runs[at].tokens = runs[at].needed;
                self.record.line(format!("engine {}: reads the prompt of {id}", self.id));
                continue;
            }
            drop(runs);
            sleep_ms(5);
            if is_closed(stream) {
                return Err(closed());
            }
        }
    }

    /// Adds a token to the stream's memory. If it runs out, the newest stream is preempted.
    fn grow(&self, id: &str) {
        let mut runs = lock(&self.runs);
        if let Some(run) = runs.iter_mut().find(|run| run.id == id) {
            run.needed += 1;
            if run.tokens > 0 {
                run.tokens += 1;
            }
        }
        let used: u64 = runs.iter().map(|run| run.tokens).sum();
        if used > MEMORY
            && self.preempts
            && let Some(newest) = runs.iter_mut().rev().find(|run| run.tokens > 0)
        {
            newest.tokens = 0;
            self.preempted.fetch_add(1, Ordering::SeqCst);
            self.record.line(format!("engine {}: memory runs out, preempts {}", self.id, newest.id));
        }
    }
}

fn closed() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"r-brief","host":"cue.example","pathPrefix":"/brief/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":800,"priority":1,"service":"awenllm","maxAttempts":2,"allowAnonymous":false,"sticky":true,"resumable":true,"gapAimMs":200}],"services":[{"name":"awenllm","healthPath":"/healthz","maxConnections":230,"protocol":"h1","tls":false,"engine":{"slots":32,"kvCapacityTokens":162776,"kvTokenBytes":327680,"linkMbps":550000.0,"backups":true,"stride":4,"maxInFlight":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"editors","apiKeys":["key-of-editors"],"priority":1,"isolated":false}]}"#
}

/// How a client's stream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Complete,
    Refused(u16),
    /// The client gave up after a gap.
    GivenUp,
    /// The connection ended without the end of the answer, at this time.
    Cut(u64),
}

fn read_stream(record: &Record, front: SocketAddrV4, id: &str) -> io::Result<(End, u64)> {
    let mut stream = connect(front, PATIENCE_MS)?;
    let (deadline, tokens) = (DEADLINE_MS.to_string(), format!("{PROMPT_TOKENS},{EVENTS}"));
    // A catalogue, which no other of these prompts shares, and the brief.
    let parts = format!("{id}:13300,{}:40920", id.replace("4a41", "8a41"));
    let headers = [
        ("Host", "cue.example"),
        ("Request-Id", id),
        ("Deadline-Ms", deadline.as_str()),
        ("Authorization", "Token key-of-editors"),
        ("Model", "m0"),
        ("Token-Count", tokens.as_str()),
        ("Prompt-Prefix", parts.as_str()),
    ];
    write_request(&mut stream, "POST", "/brief/match", &headers, b"match this brief")?;
    let mut reader = BufReader::new(stream);
    let head = match read_head(&mut reader) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok((End::GivenUp, 0)),
        head => head?,
    };
    if head.status != 200 {
        return Ok((End::Refused(head.status), 0));
    }
    let mut events = 0;
    loop {
        match read_chunk(&mut reader) {
            Ok(Some(data)) => events += data.windows(4).filter(|text| text == b"id: ").count() as u64,
            Ok(None) => return Ok((End::Complete, events)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok((End::GivenUp, events)),
            Err(_) => return Ok((End::Cut(record.now_ms()), events)),
        }
    }
}

fn main() {
    run_case("silence", |record| {
        let mut deployment = Deployment::start(record.clone(), ROUTERS, 260, (3_000, 2_000))?;
        if !deployment.configure(configuration()) || !deployment.wait_ready() {
            return Ok(NOT_RUN);
        }
        let controls = deployment.control_addresses();
        let (closed, preempted): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let mut listening = Vec::new();
        for number in 0..ENGINES {
            let engine = Arc::new(Engine {
                id: format!("i-10d7742{number:03x}"),
                address: SocketAddrV4::new(deployment.network.host(), 8080),
                zone: ["hartford", "worcester", "portland"][number % 3],
                record: record.clone(),
                preempts: has_trouble(),
                runs: Mutex::default(),
                closed_by_router: Arc::clone(&closed),
                preempted: Arc::clone(&preempted),
            });
            let handling = Arc::clone(&engine);
            let handler: Arc<Handler> = Arc::new(move |request, stream| handling.handle(request, stream));
            listening.push(Listening::start(engine.address, handler)?);
            let (beating, controls) = (Arc::clone(&engine), controls.clone());
            thread::spawn(move || {
                let mut beats = Heartbeats::new(&beating.record, &controls, number, &beating.id);
                loop {
                    beats.sequence += 1;
                    let body = beating.beat(beats.sequence);
                    beats.send("PUT", &body, 3);
                    sleep_ms(1_200);
                }
            });
        }
        // Retries are earned by then as far as a router saves them.
        sleep_ms(12_000);
        let stopped = deployment.routers[0].front();
        let ends: Arc<Mutex<BTreeMap<String, Stream>>> = Arc::default();
        let mut clients = Vec::new();
        for number in 0..STREAMS {
            let router = if number % 10 < AT_STOPPED { 0 } else { 1 + number % (ROUTERS - 1) };
            let front = deployment.routers[router].front();
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            clients.push(thread::spawn(move || {
                let id = format!("{:016x}", 0x4a41_0000_0000_0000_u64 + number as u64);
                record.line(format!("client: sends {id} to {front}"));
                let sent_at = record.now_ms();
                let (end, events) = read_stream(&record, front, &id).unwrap_or((End::Cut(record.now_ms()), 0));
                record.line(format!("client: {id} ended {end:?} after {events} events"));
                lock(&ends).insert(id, Stream { end, sent_at, front });
            }));
            sleep_ms(6);
        }
        sleep_ms(500);
        deployment.routers[0].signal(SIGTERM);
        let stopped_at = record.now_ms();
        record.line(format!("router {stopped} gets SIGTERM"));
        clients.into_iter().for_each(|client| drop(client.join()));
        let left = (stopped_at + GRACE_MS).saturating_sub(record.now_ms());
        sleep_ms(left.min(GRACE_MS));
        let ends = lock(&ends);
        // Not counted: cuts in the last sixth of the grace period, or at the deadline.
        let is_lost = |stream: &&Stream| match stream.end {
            End::Cut(at) => {
                stream.front == stopped
                    && at < stopped_at + GRACE_MS * 5 / 6
                    && at + 200 < stream.sent_at + DEADLINE_MS
            }
            _ => false,
        };
        let lost = ends.values().filter(is_lost).count();
        let count = |is: fn(&End) -> bool| ends.values().filter(|stream| is(&stream.end)).count();
        let complete = count(|end| *end == End::Complete);
        record.line(format!(
            "LOST: {} streams: {complete} complete, {} refused, {} given up by clients, {} cut; {lost} cut off by the \
             router that was stopped, before their deadline; {} preempted, {} runs closed by routers",
            ends.len(),
            count(|end| matches!(end, End::Refused(_))),
            count(|end| *end == End::GivenUp),
            count(|end| matches!(end, End::Cut(_))),
            preempted.load(Ordering::SeqCst),
            closed.load(Ordering::SeqCst)
        ));
        if complete < STREAMS / 2 {
            return Ok(NOT_RUN);
        }
        Ok(if lost > 0 { BROKEN } else { HELD })
    })
}

struct Stream {
    end: End,
    sent_at: u64,
    front: SocketAddrV4,
}
