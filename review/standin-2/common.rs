//! What the cases share: the project's processes on loopback addresses, a small HTTP client and
//! server, heartbeats, and the record. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption is to be made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Log of what was sent, answered and run; `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn now_ms(&self) -> u64 {
        self.0.1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now_ms();
        let line = format!("{:>3}.{:03} {}\n", now / 1000, now % 1000, text.as_ref());
        let _ = lock(&self.0.0).write_all(line.as_bytes());
    }
}

/// Addresses of one run: a loopback network that no other run uses.
pub struct Network {
    second: u8,
    third: u8,
    next: u8,
    /// Holds the network until the run ends, so that one that starts at the same moment takes another.
    _held: TcpListener,
}

impl Network {
    pub fn new() -> Self {
        let mut seed = (std::process::id() as u64) ^ unix_ms();
        loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (second, third) = (64 + (seed >> 40) as u8 % 128, (seed >> 50) as u8);
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, second, third, 1), FRONT_PORT)) {
                return Network { second, third, next: 1, _held: held };
            }
        }
    }

    pub fn host(&mut self) -> Ipv4Addr {
        self.next += 1;
        Ipv4Addr::new(127, self.second, self.third, self.next)
    }
}

pub const CONTROL_PORT: u16 = 8783;
pub const FRONT_PORT: u16 = 8782;
const READY_PORT: u16 = 8789;
const INTERNAL_PORT: u16 = 7340;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Router,
}

/// One process of the project, started by the command of the deploy file.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    role: Role,
    zone: &'static str,
    seeds: Vec<SocketAddrV4>,
    folder: PathBuf,
    memory_mb: u64,
    /// The bounds `contactMs` and `drainMs`.
    contact_and_drain_ms: (u64, u64),
    was_started: bool,
    pub child: Option<Child>,
}

impl Node {
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, FRONT_PORT)
    }

    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }

    fn ready(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, READY_PORT)
    }

    /// Settings as on the sheet of Granite Ledger's boards.
    fn write_settings(&self) -> io::Result<PathBuf> {
        let (serves, listen, class) = match self.role {
            Role::Control => ("control", format!("\"control\":\"{}\"", self.control()), "core"),
            Role::Router => {
                let listen = format!("\"front\":\"{}\",\"ready\":\"{}\"", self.front(), self.ready());
                ("front", listen, "front")
            }
        };
        let data = match self.role {
            Role::Control => format!("\"{}\"", self.folder.join("data").display()),
            Role::Router => "null".to_owned(),
        };
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (cpu, fds, disk) = match self.role {
            Role::Control => ("0.3", 4096, 128),
            Role::Router => ("0.25", 4100, 0),
        };
        let text = format!(
            "{{\"node\":\"{}\",\"role\":\"{class}\",\"machineClass\":\"{class}\",\"serves\":[\"{serves}\"],\
             \"ip\":\"{}\",\"zone\":\"{}\",\"region\":\"new-england\",\
             \"zones\":{{\"hartford\":\"new-england\",\"worcester\":\"new-england\",\"portland\":\"new-england\"}},\
             \"listen\":{{{listen}}},\"ephemeralPorts\":[{INTERNAL_PORT},{}],\"seeds\":[{}],\
             \"bootstrap\":{},\"faultCounted\":{},\
             \"limits\":{{\"cpuShare\":{cpu},\"cores\":1,\"memoryMb\":{},\"maxFds\":{fds},\"linkMbps\":1000.0,\"diskMb\":{disk}}},\
             \"dataDir\":{data},\"discovery\":\"registration\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\"stream\",\"engine\",\"tenants\"],\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":{},\"ackMs\":4000,\"catchUpS\":4,\
             \"drainMs\":{},\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\"rollbackSlackMs\":250,\
             \"maxStretchMs\":5000,\"revokeWhenPartitioned\":true,\"revokeMs\":5000,\"retryBudgetRatio\":0.2,\
             \"budgetWindowS\":10,\"retryBudgetExtra\":54,\"recoveryS\":12,\"propagationMs\":120,\
             \"retryAfterS\":10,\"fencingRequired\":true,\"leaseMs\":3000,\"thawMs\":300,\"versionMs\":8000,\
             \"versionAllMs\":11000}},\"configMode\":\"highest\"}}",
            self.name,
            self.ip,
            self.zone,
            INTERNAL_PORT + 15,
            seeds.join(","),
            !self.was_started,
            self.role == Role::Control,
            self.memory_mb,
            self.contact_and_drain_ms.0,
            self.contact_and_drain_ms.1,
        );
        let path = self.folder.join("node.json");
        fs::write(&path, text)?;
        Ok(path)
    }

    /// Starts the process with the settings of this moment.
    pub fn start(&mut self) -> io::Result<()> {
        let settings = self.write_settings()?;
        let log = OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        let role = match self.role {
            Role::Control => "control",
            Role::Router => "router",
        };
        let mut command = Command::new("target/release/juniperhollow-platform");
        command
            .args([role, "--metrics", "9464"])
            .env("JUNIPERHOLLOW_SETTINGS", settings)
            .env("JUNIPERHOLLOW_CLUSTER_KEY", "one secret for one deployment")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The process ends with the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        self.was_started = true;
        Ok(())
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, number) };
        }
    }

    /// Kills the process, as a crash would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        Some(status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready(), "GET", "/api/ready", &[], b"", 500);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// A value in kB from the process's status.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let number = line.and_then(|line| line.trim_start_matches(':').split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment: three control replicas and some routers.
pub struct Deployment {
    pub record: Record,
    pub network: Network,
    pub controls: Vec<Node>,
    pub routers: Vec<Node>,
    folder: PathBuf,
}

const ZONES: [&str; 3] = ["hartford", "worcester", "portland"];

impl Deployment {
    /// Starts all processes; `folder` is that of the case.
    pub fn start(
        record: Record,
        routers: usize,
        router_memory_mb: u64,
        contact_and_drain_ms: (u64, u64),
    ) -> io::Result<Self> {
        let mut network = Network::new();
        let name = format!("juniperhollow-review-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        let hosts: Vec<Ipv4Addr> = (0..3).map(|_| network.host()).collect();
        let seeds: Vec<SocketAddrV4> =
            hosts.iter().map(|host| SocketAddrV4::new(*host, CONTROL_PORT)).collect();
        let node = |role, number: usize, ip, memory_mb| -> io::Result<Node> {
            let zone = ZONES[number % ZONES.len()];
            let class = if role == Role::Control { "core" } else { "front" };
            let name = format!("{class}-{zone}-{}", number / ZONES.len() + 1);
            let folder = folder.join(&name);
            fs::create_dir_all(&folder)?;
            let seeds = seeds.clone();
            Ok(Node { name, ip, role, zone, seeds, folder, memory_mb, contact_and_drain_ms, was_started: false, child: None })
        };
        let mut controls = Vec::new();
        for (number, host) in hosts.iter().enumerate() {
            controls.push(node(Role::Control, number, *host, 256)?);
        }
        let mut fronts = Vec::new();
        for number in 0..routers {
            let host = network.host();
            fronts.push(node(Role::Router, number, host, router_memory_mb)?);
        }
        let mut deployment = Deployment { record, network, controls, routers: fronts, folder: folder.clone() };
        for node in deployment.controls.iter_mut().chain(&mut deployment.routers) {
            node.start()?;
        }
        Ok(deployment)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.controls.iter().map(Node::control).collect()
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, body: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            for address in self.control_addresses() {
                let answer = call(address, "PUT", "/api/config", &[], body.as_bytes(), 1_000);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    self.record.line(format!("operator: {address} acknowledged a configuration"));
                    return true;
                }
            }
            sleep_ms(100);
        }
        false
    }

    /// Waits until all routers are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.routers.iter().all(Node::is_ready) {
                return true;
            }
            sleep_ms(100);
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in self.controls.iter_mut().chain(&mut self.routers) {
            node.kill();
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// An HTTP message as read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").eq_ignore_ascii_case("chunked")
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

pub fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(ended());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the head of a request or of an answer.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let first = read_line(stream)?;
    let words: Vec<&str> = first.split(' ').collect();
    let mut message = Message::default();
    match words[..] {
        [version, status, ..] if version.starts_with("HTTP/") => {
            message.status = status.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        }
        [method, path, _] => (message.method, message.path) = (method.into(), path.into()),
        _ => return Err(io::ErrorKind::InvalidData.into()),
    }
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; `None` after the last one.
pub fn read_chunk(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let length = read_line(stream)?;
    let length = usize::from_str_radix(length.split(';').next().unwrap_or("").trim(), 16);
    let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; length];
    stream.read_exact(&mut data)?;
    read_line(stream)?;
    Ok((length > 0).then_some(data))
}

/// Reads the body that belongs to the head.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &mut Message) -> io::Result<()> {
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(stream)? {
            head.body.extend_from_slice(&chunk);
        }
    } else if let Ok(length) = head.header("content-length").parse::<usize>() {
        head.body = vec![0; length];
        stream.read_exact(&mut head.body)?;
    } else if head.status != 0 {
        stream.read_to_end(&mut head.body)?;
    }
    Ok(())
}

pub fn connect(address: SocketAddrV4, timeout_ms: u64) -> io::Result<TcpStream> {
    let timeout = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&address.into(), timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str("Host: node\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One call on a connection of its own, answered within the time or not.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout_ms: u64,
) -> io::Result<Message> {
    let mut stream = connect(address, timeout_ms)?;
    let mut headers = headers.to_vec();
    headers.push(("Connection", "close"));
    write_request(&mut stream, method, path, &headers, body)?;
    let mut stream = BufReader::new(stream);
    let mut answer = read_head(&mut stream)?;
    read_body(&mut stream, &mut answer)?;
    Ok(answer)
}

/// What a server stand-in does with a request. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A listening server; stopping it ends it and all its connections, as the end of a process does.
pub struct Listening {
    pub address: SocketAddrV4,
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Listening {
    pub fn start(address: SocketAddrV4, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let (is_stopped, open) = (Arc::clone(&stopped), Arc::clone(&connections));
        thread::spawn(move || {
            let next = AtomicU64::new(0);
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let number = next.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    lock(&open).insert(number, copy);
                }
                let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                thread::spawn(move || {
                    let _ = serve(stream, &*handler);
                    lock(&open).remove(&number);
                });
            }
        });
        Ok(Listening { address, stopped, connections })
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for stream in lock(&self.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut request = read_head(&mut reader)?;
        read_body(&mut reader, &mut request)?;
        if !handler(&request, &mut writer)? {
            return writer.shutdown(Shutdown::Both);
        }
    }
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}

/// Whether the other end has closed the connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Heartbeats of a server: to one control node until it gives no acknowledgement within a second,
/// then to the next.
pub struct Heartbeats {
    controls: Vec<SocketAddrV4>,
    pub at: usize,
    pub sequence: u64,
    record: Record,
    id: String,
}

impl Heartbeats {
    pub fn new(record: &Record, controls: &[SocketAddrV4], first: usize, id: &str) -> Self {
        let (record, id) = (record.clone(), id.to_owned());
        Heartbeats { controls: controls.to_vec(), at: first, sequence: 0, record, id }
    }

    pub fn node(&self) -> SocketAddrV4 {
        self.controls[self.at % self.controls.len()]
    }

    /// Calls the nodes in turn until one acknowledges; gives up after `tries`.
    pub fn send(&mut self, method: &str, body: &str, tries: usize) -> Option<SocketAddrV4> {
        let path = format!("/api/instances/{}", self.id);
        for _ in 0..tries {
            let node = self.node();
            let answer = call(node, method, &path, &[], body.as_bytes(), 1_000);
            let said = match &answer {
                Ok(answer) => answer.status.to_string(),
                Err(error) => format!("no acknowledgement ({:?})", error.kind()),
            };
            if method != "PUT" || said != "200" {
                self.record.line(format!("server {}: {method} at {node}: {said}", self.id));
            }
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                return Some(node);
            }
            self.at += 1;
        }
        None
    }
}

/// Runs the case with its record at the path of the first argument; a failure to run it is reported as such.
pub fn run_case(name: &str, case: impl FnOnce(Record) -> io::Result<i32>) -> ! {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{name}: no record: {error}");
            std::process::exit(NOT_RUN);
        }
    };
    let trouble = has_trouble();
    record.line(format!("case {name}, disruption: {trouble}"));
    let code = match case(record.clone()) {
        Ok(code) => code,
        Err(error) => {
            record.line(format!("could not run: {error}"));
            NOT_RUN
        }
    };
    let verdict = match code {
        HELD => "held",
        BROKEN => "BROKEN",
        _ => "not run",
    };
    record.line(format!("verdict: {verdict}"));
    println!("{name}: {verdict}");
    std::process::exit(code);
}
