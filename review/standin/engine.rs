//! Stand-in of a model server: reads prompts one after the other, streams events, takes orders.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::harness::{Message, Record, call_control, read_message};

pub const SERVICE: &str = "screen-llm";
pub const MODEL: &str = "model-a";
/// Prompt tokens read in a millisecond, and time that new weights take, as on the site's sheet.
const TOKENS_PER_MS: f64 = 38.4;
const LOAD_TIME: Duration = Duration::from_millis(630);
const STEP: Duration = Duration::from_millis(8);
const EVENTS: u64 = 5;
const SLOTS: u64 = 64;

/// One request that a server has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub server: String,
    pub version: u64,
}

/// What servers share with the judge.
pub struct Engines {
    pub record: Arc<Record>,
    pub runs: Mutex<Vec<Run>>,
    pub newest: AtomicU64,
    pub is_over: AtomicBool,
}

/// One incarnation of a server.
pub struct Engine {
    pub id: String,
    pub address: SocketAddrV4,
    zone: &'static str,
    shared: Arc<Engines>,
    pub version: AtomicU64,
    is_loading: AtomicBool,
    is_down: AtomicBool,
    running: AtomicU64,
    orders: Mutex<(u64, u64)>,
    /// When the prompts begun so far will have been read.
    read_until: Mutex<Instant>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Engine {
    /// Starts an incarnation with weights of `version`.
    pub fn start(
        shared: &Arc<Engines>,
        id: String,
        address: SocketAddrV4,
        number: usize,
        version: u64,
        controls: &[SocketAddrV4],
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            id,
            address,
            zone: ["north", "middle", "south"][number % 3],
            shared: Arc::clone(shared),
            version: AtomicU64::new(version),
            is_loading: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            running: AtomicU64::new(0),
            orders: Mutex::new((0, 0)),
            read_until: Mutex::new(Instant::now()),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("an address for a server");
        listener.set_nonblocking(true).expect("a listener");
        let accepting = Arc::clone(&engine);
        thread::spawn(move || accepting.accept(&listener));
        let beating = Arc::clone(&engine);
        let controls = controls.to_vec();
        thread::spawn(move || beating.beat(&controls, number));
        engine
    }

    /// The process of the server is gone: its connections end and its address refuses.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst) || self.shared.is_over.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                sleep(Duration::from_millis(1));
                continue;
            };
            let Ok(copy) = stream.try_clone() else { continue };
            let _ = stream.set_nonblocking(false);
            self.connections.lock().unwrap().push(copy);
            let engine = Arc::clone(&self);
            thread::spawn(move || engine.serve(stream));
        }
    }

    fn beat(&self, controls: &[SocketAddrV4], number: usize) {
        let mut sequence = 0;
        while !self.is_down() {
            sequence += 1;
            let body = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{SLOTS},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
                 \"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
                 \"sequence\":{sequence}}}",
                self.address,
                self.zone,
                self.version.load(Ordering::SeqCst)
            );
            call_control(controls, number, &format!("PUT /api/instances/{}", self.id), &body);
            sleep(Duration::from_millis(1_200));
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let path = request.start.split(' ').nth(1).unwrap_or("");
            match path {
                "/healthz" => self.answer(&mut writer, "200 OK", "", b"")?,
                "/api/report" => {
                    let body = self.report();
                    self.answer(&mut writer, "200 OK", "", body.as_bytes())?;
                }
                "/api/order" => {
                    let status = self.order(&request);
                    self.answer(&mut writer, status, "", b"{}")?;
                }
                _ => self.run(&mut writer, &request)?,
            }
            if self.is_down() {
                break;
            }
        }
        Ok(())
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status}\r\nInstance-Id: {}\r\n{headers}Content-Length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body].concat())
    }

    fn report(&self) -> String {
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":110556,\
             \"handles\":0}}",
            self.version.load(Ordering::SeqCst),
            self.is_loading.load(Ordering::SeqCst),
            self.orders.lock().unwrap().0,
            self.running.load(Ordering::SeqCst)
        )
    }

    /// Takes an order as PROTOCOL.md says; the method is always one under which runs go on.
    fn order(self: &Arc<Self>, request: &Message) -> &'static str {
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return "421 Misdirected Request";
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |field: &str| {
            let start = body.find(&format!("\"{field}\":"))? + field.len() + 3;
            let digits: String = body[start..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let (Some(token), Some(version)) = (number("fencingToken"), number("version")) else {
            return "400 Bad Request";
        };
        let mut orders = self.orders.lock().unwrap();
        if token < orders.1 {
            return "412 Precondition Failed";
        }
        orders.1 = token;
        if version > self.shared.newest.load(Ordering::SeqCst) {
            return "400 Bad Request";
        }
        if self.version.load(Ordering::SeqCst) == version {
            return "200 OK";
        }
        let is_expected = number("expectedRevision").is_none_or(|expected| expected == orders.0);
        if self.is_loading.load(Ordering::SeqCst) || !is_expected {
            return "409 Conflict";
        }
        orders.0 += 1;
        self.is_loading.store(true, Ordering::SeqCst);
        self.shared.record.line(&format!("{} loads weights {version}", self.id));
        let engine = Arc::clone(self);
        thread::spawn(move || {
            sleep(LOAD_TIME);
            engine.version.store(version, Ordering::SeqCst);
            engine.is_loading.store(false, Ordering::SeqCst);
            engine.shared.record.line(&format!("{} has weights {version}", engine.id));
        });
        "202 Accepted"
    }

    fn run(&self, writer: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        let version = self.version.load(Ordering::SeqCst);
        let rejection = if request.header("expect-instance").is_some_and(|it| it != self.id) {
            Some("421 Misdirected Request")
        } else if request.header("expect-version").is_some_and(|it| it != version.to_string()) {
            Some("421 Misdirected Request")
        } else if self.is_loading.load(Ordering::SeqCst) {
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(status) = rejection {
            let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
            return self.answer(writer, status, &headers, b"");
        }
        let run = Run { at_ms: self.shared.record.now_ms(), id: id.clone(), server: self.id.clone(), version };
        self.shared.record.line(&format!("{} begins {id} on weights {version}", self.id));
        self.shared.runs.lock().unwrap().push(run);
        self.running.fetch_add(1, Ordering::SeqCst);
        let result = self.stream(writer, request, &id, version);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream(
        &self,
        writer: &mut TcpStream,
        request: &Message,
        id: &str,
        version: u64,
    ) -> io::Result<()> {
        let tokens = request.header("token-count").and_then(|count| count.split(',').next());
        let tokens: f64 = tokens.and_then(|count| count.parse().ok()).unwrap_or(0.0);
        let reading = Duration::from_secs_f64(tokens / TOKENS_PER_MS / 1_000.0);
        let read_at = {
            let mut until = self.read_until.lock().unwrap();
            *until = (*until).max(Instant::now()) + reading;
            *until
        };
        sleep(read_at.saturating_duration_since(Instant::now()));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {}.{id}\r\nInstance-Id: {}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id, self.id
        )?;
        let from: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in from + 1..=EVENTS {
            sleep(STEP);
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
