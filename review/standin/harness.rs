//! Parts that the cases share: processes of the deploy file, plain HTTP/1.1, and a record.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Ports of each process; each has a loopback host of its own.
pub const CONTROL_PORT: u16 = 20_001;
pub const FRONT_PORT: u16 = 20_002;
pub const READY_PORT: u16 = 20_003;
pub const INTERNAL_PORTS: (u16, u16) = (20_010, 20_030);
pub const SERVER_PORT: u16 = 20_040;

const PROGRAM: &str = "target/release/juniperhollow-platform";
const KEY: &str = "one secret for one deployment";
const ZONES: [&str; 3] = ["north", "middle", "south"];

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;

/// Lines of `record.txt`, with the time since the start of the case.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {text}", self.started.elapsed().as_secs_f64());
    }
}

/// Loopback hosts of one run, and a folder that is removed when it is dropped.
pub struct Ground {
    network: (u8, u8),
    next_host: u8,
    pub folder: PathBuf,
}

impl Ground {
    pub fn new() -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder)?;
        for step in 0..200u32 {
            let network = (20 + ((id / 250 + step) % 200) as u8, (id % 250) as u8);
            let probe = Ipv4Addr::new(127, network.0, network.1, 1);
            if TcpListener::bind(SocketAddrV4::new(probe, CONTROL_PORT)).is_ok() {
                return Ok(Ground { network, next_host: 1, folder });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    pub fn host(&mut self) -> Ipv4Addr {
        let host = self.next_host;
        self.next_host += 1;
        Ipv4Addr::new(127, self.network.0, self.network.1, host)
    }
}

impl Drop for Ground {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Control,
    Router,
}

/// One process of the project, started as the deploy file says; killed when it is dropped.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    role: Role,
    zone: &'static str,
    folder: PathBuf,
    seeds: Vec<Ipv4Addr>,
    was_started: bool,
    child: Option<Child>,
}

impl Node {
    pub fn new(role: Role, number: usize, ip: Ipv4Addr, seeds: &[Ipv4Addr], ground: &Ground) -> Self {
        let name = match role {
            Role::Control => format!("core-{number}"),
            Role::Router => format!("front-{number}"),
        };
        let folder = ground.folder.join(&name);
        fs::create_dir_all(&folder).expect("a folder");
        Node {
            name,
            ip,
            role,
            zone: ZONES[number % 3],
            folder,
            seeds: seeds.to_vec(),
            was_started: false,
            child: None,
        }
    }

    fn settings(&self) -> String {
        let ip = self.ip;
        let (class, role, serves, listen, data, memory) = match self.role {
            Role::Control => (
                "core",
                "control",
                "control",
                format!("{{\"control\":\"{ip}:{CONTROL_PORT}\"}}"),
                format!("{:?}", self.folder.join("data").display().to_string()),
                256,
            ),
            Role::Router => (
                "front",
                "router",
                "front",
                format!("{{\"front\":\"{ip}:{FRONT_PORT}\",\"ready\":\"{ip}:{READY_PORT}\"}}"),
                "null".to_owned(),
                260,
            ),
        };
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{seed}:{CONTROL_PORT}\"")).collect();
        let (first, last) = INTERNAL_PORTS;
        format!(
            "{{\"node\":\"{}\",\"role\":\"{role}\",\"machineClass\":\"{class}\",\"serves\":[\"{serves}\"],\
             \"ip\":\"{ip}\",\"zone\":\"{}\",\"region\":\"r\",\
             \"zones\":{{\"north\":\"r\",\"middle\":\"r\",\"south\":\"r\"}},\"listen\":{listen},\
             \"ephemeralPorts\":[{first},{last}],\"seeds\":[{}],\"bootstrap\":{},\
             \"faultCounted\":{},\
             \"limits\":{{\"cpuShare\":1.0,\"cores\":1,\"memoryMb\":{memory},\"maxFds\":4100,\
             \"linkMbps\":1000.0,\"diskMb\":128}},\"dataDir\":{data},\
             \"discovery\":\"registration\",\"entry\":\"vip\",\"heartbeatMs\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"kvcache\",\
             \"stream\",\"engine\",\"tenants\"],\
             \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seedLagS\":3,\"reuseAfterS\":2,\"contactMs\":3000,\"ackMs\":4000,\
             \"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,\"lossSlackMs\":200,\"configMs\":2000,\
             \"rollbackSlackMs\":250,\"maxStretchMs\":5000,\"revokeWhenPartitioned\":true,\
             \"revokeMs\":5000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\
             \"retryBudgetExtra\":54,\"recoveryS\":12,\"propagationMs\":120,\"retryAfterS\":10,\
             \"fencingRequired\":true,\"leaseMs\":3000,\"thawMs\":300,\"versionMs\":8000,\
             \"versionAllMs\":11000}},\"configMode\":\"highest\"}}",
            self.name,
            self.zone,
            seeds.join(","),
            !self.was_started,
            self.role == Role::Control,
        )
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        self.signal_and_wait(SIGKILL);
        let path = self.folder.join("node.json");
        fs::write(&path, self.settings())?;
        let log = File::options().create(true).append(true).open(self.log_path())?;
        let role = match self.role {
            Role::Control => "control",
            Role::Router => "router",
        };
        let mut command = Command::new(PROGRAM);
        // The process ends with the case, also if the case is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args([role, "--metrics", "9464"])
            .env("JUNIPERHOLLOW_SETTINGS", &path)
            .env("JUNIPERHOLLOW_CLUSTER_KEY", KEY)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.was_started = true;
        Ok(())
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn signal_and_wait(&mut self, signal: i32) {
        self.signal(signal);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }

    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, READY_PORT)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal_and_wait(SIGKILL);
    }
}

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head and, if `with_body`, the body by its length or its chunks. `Ok(None)`: the peer closed.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start = message.start.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and returns the answer.
pub fn call(
    address: SocketAddrV4,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_message(&mut BufReader::new(stream))
}

/// Sends a JSON call to one after the other of `addresses` until one answers with 2xx.
pub fn call_control(addresses: &[SocketAddrV4], from: usize, start: &str, body: &str) -> Option<u16> {
    let mut last = None;
    for step in 0..addresses.len() {
        let address = addresses[(from + step) % addresses.len()];
        let head = format!("{start} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
        if let Ok(Some(answer)) = call(address, &head, body.as_bytes(), Duration::from_secs(1)) {
            last = Some(answer.status());
            if (200..300).contains(&answer.status()) {
                return last;
            }
        }
    }
    last
}

/// Small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed ^ 0x9e37_79b9_7f4a_7c15)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= share
    }
}

/// Number of the run, for ids that differ between runs.
pub fn seed() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |now| now.as_nanos() as u64) ^ u64::from(std::process::id())
}

/// The disruption is left out if the last argument, which `run.sh` takes from `TROUBLE`, is 0.
pub fn with_trouble() -> bool {
    std::env::args().next_back().is_none_or(|value| value != "0")
}
