//! Server with scripted answers.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_registry::{
    InstanceName, InstanceReport, InstanceState, LoadedModel, SoftwareVersion, StartTime,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Step of a server's answer to a request.
#[derive(Clone, Debug)]
pub enum Step {
    Send(String),
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Stops the server: connections are closed and new ones refused.
    Crash,
    /// Sends the text again and again until the client closes the connection.
    Pour(String),
}

type Script = Arc<dyn Fn(usize, &str) -> Vec<Step> + Send + Sync>;

#[derive(Clone)]
pub struct FakeServer {
    name: String,
    port: u16,
    started: StartTime,
    /// Start time that the server states itself, in milliseconds; 0 for none.
    stated_start: Arc<AtomicU64>,
    /// Delay of that statement, in milliseconds.
    statement_delay: Arc<AtomicU64>,
    software: Option<SoftwareVersion>,
    models: Vec<LoadedModel>,
    requests: Arc<Mutex<Vec<String>>>,
    /// Connections that the client closed before the answer was complete.
    abandoned: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
    /// Bytes sent by `Pour`.
    poured: Arc<AtomicUsize>,
    /// Connections on which `Pour` goes on.
    pouring: Arc<AtomicUsize>,
    crashed: watch::Sender<bool>,
}

impl FakeServer {
    /// Starts a server. `script` gets the number of the request, from 0, and its head.
    pub async fn start(
        name: &str,
        script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let server = FakeServer {
            name: name.to_owned(),
            port,
            started: StartTime::UNKNOWN,
            stated_start: Arc::default(),
            statement_delay: Arc::default(),
            software: SoftwareVersion::new("v1"),
            models: Vec::new(),
            requests: Arc::default(),
            abandoned: Arc::default(),
            connections: Arc::default(),
            poured: Arc::default(),
            pouring: Arc::default(),
            crashed: watch::Sender::new(false),
        };
        let (serving, script): (_, Script) = (server.clone(), Arc::new(script));
        let mut crashed = server.crashed.subscribe();
        tokio::spawn(async move {
            // Connections are closed when this task ends.
            let mut connections = JoinSet::new();
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.expect("a connection").0,
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                };
                serving.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serving.clone().serve(stream, Arc::clone(&script)));
            }
        });
        server
    }

    /// States this software version from now on; an empty one stands for none.
    pub fn with_software(mut self, version: &str) -> Self {
        self.software = SoftwareVersion::new(version);
        self
    }

    /// Reports these models with their versions from now on.
    pub fn with_models(mut self, models: &[(&str, u64)]) -> Self {
        let loaded = |(model, version): &(&str, u64)| LoadedModel {
            model: (*model).to_owned(),
            version: *version,
        };
        self.models = models.iter().map(loaded).collect();
        self
    }

    /// Reports this start time from now on, in milliseconds.
    pub fn with_start(mut self, started_ms: u64) -> Self {
        self.started = StartTime::from_unix_ms(started_ms);
        self
    }

    /// Answers from now on that it started at this time, in milliseconds, whatever was reported.
    pub fn state_start(&self, started_ms: u64) {
        self.stated_start.store(started_ms, Ordering::Relaxed);
    }

    /// Delays the statement of the start time from now on.
    pub fn delay_statement(&self, delay_ms: u64) {
        self.statement_delay.store(delay_ms, Ordering::Relaxed);
    }

    pub fn report(&self) -> InstanceReport {
        InstanceReport {
            name: InstanceName::new(&self.name),
            started: self.started,
            software: self.software.clone(),
            service: "app".to_owned(),
            address: super::loopback(self.port),
            zone: "north".to_owned(),
            slots: 8,
            state: InstanceState::Ready,
            cold_remaining_ms: 0,
            models: self.models.clone(),
            sequence: 1,
        }
    }

    /// Heads and bodies of the requests received.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("not poisoned").clone()
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    pub fn abandoned(&self) -> usize {
        self.abandoned.load(Ordering::Relaxed)
    }

    /// Bytes sent without end so far, and the connections on which that goes on.
    pub fn poured(&self) -> (usize, usize) {
        (self.poured.load(Ordering::Relaxed), self.pouring.load(Ordering::Relaxed))
    }

    async fn pour(&self, stream: &mut TcpStream, text: &str) {
        let bytes = text.repeat(8_192 / text.len() + 1);
        self.pouring.fetch_add(1, Ordering::Relaxed);
        while stream.write_all(bytes.as_bytes()).await.is_ok() {
            self.poured.fetch_add(bytes.len(), Ordering::Relaxed);
        }
        self.pouring.fetch_sub(1, Ordering::Relaxed);
    }

    async fn serve(self, mut stream: TcpStream, script: Script) {
        while let Some(head) = read_request(&mut stream).await {
            if head.starts_with("GET /start ") {
                let delay_ms = self.statement_delay.load(Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                let start = self.stated_start.load(Ordering::Relaxed);
                let answer = complete_answer(&head, "200 OK", &start.to_string());
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let number = {
                let mut requests = self.requests.lock().expect("not poisoned");
                requests.push(head.clone());
                requests.len() - 1
            };
            for step in script(number, &head) {
                match step {
                    Step::Send(bytes) if stream.write_all(bytes.as_bytes()).await.is_err() => {
                        return;
                    }
                    Step::Send(_) => {}
                    Step::Close => return,
                    Step::Pour(text) => return self.pour(&mut stream, &text).await,
                    Step::Reset => {
                        let socket = socket2::SockRef::from(&stream);
                        return socket.set_linger(Some(Duration::ZERO)).expect("set");
                    }
                    Step::Crash => {
                        self.crashed.send_replace(true);
                        return std::future::pending().await;
                    }
                    Step::Wait(time) => {
                        let mut byte = [0];
                        let read = tokio::time::timeout(time, stream.read(&mut byte)).await;
                        if read.is_ok() {
                            self.abandoned.fetch_add(1, Ordering::Relaxed);
                            return;
                        }
                    }
                }
            }
        }
    }
}

/// Starts a server that answers all requests with success.
pub async fn healthy(name: &str) -> FakeServer {
    FakeServer::start(name, |_, head| vec![Step::Send(complete_answer(head, "200 OK", "fine"))])
        .await
}

/// Reads the head and body of a request; `None` when the connection is closed.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).ok()?;
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Value of a header in a request or response head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

fn id(head: &str) -> &str {
    header(head, "x-id").unwrap_or("none")
}

/// A complete answer with a seal.
pub fn complete_answer(head: &str, status: &str, body: &str) -> String {
    let (id, length) = (id(head), body.len());
    format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Head of a stream with this seal.
pub fn stream_head(head: &str, seal: &str) -> String {
    let id = id(head);
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: {seal}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    )
}

/// Head of a stream that has neither a length nor chunks, and so ends with its connection.
pub fn open_ended_head(head: &str) -> String {
    stream_head(head, "s").replace("transfer-encoding: chunked\r\n", "")
}

/// A chunk of a stream.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A chunk with one event.
pub fn event(number: u64) -> String {
    chunk(&format!("id: {number}\ndata: d{number}\n\n"))
}

/// Last chunk of a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
