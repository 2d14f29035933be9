//! Control replicas as processes that tests kill, freeze and restart.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use juniper_loopback::unused_address;
use serde_json::{Value, json};

#[path = "waiting.rs"]
mod waiting;

pub use waiting::eventually;

pub const OPERATOR_KEY: &str = "operator-secret-for-tests";

/// Timeout for one answer of a replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

pub struct Replica {
    pub node: u64,
    pub operator: SocketAddr,
    internal: SocketAddr,
    folder: PathBuf,
    process: Option<Child>,
}

impl Replica {
    fn settings_file(&self) -> PathBuf {
        self.folder.join("node.toml")
    }

    pub fn start(&mut self) {
        self.spawn(Command::new(env!("CARGO_BIN_EXE_juniperhollow")));
    }

    /// Starts the process with a limit of `kib` KiB per file, so that writes fail as on a full disk.
    pub fn start_with_file_limit(&mut self, kib: u32) {
        let script = format!("trap '' XFSZ; ulimit -f {kib}; exec \"$0\" \"$@\"");
        let mut shell = Command::new("bash");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_juniperhollow")]);
        self.spawn(shell);
    }

    fn spawn(&mut self, mut command: Command) {
        let mut options = std::fs::File::options();
        let log = options.create(true).append(true).open(self.folder.join("log"));
        command.args(["control", "--settings"]).arg(self.settings_file());
        command.stderr(log.expect("a log file"));
        self.process = Some(command.spawn().expect("the daemon starts"));
    }

    /// Whether the process has exited with an error.
    pub fn has_failed(&mut self) -> bool {
        let child = self.process.as_mut().expect("the replica was started");
        child
            .try_wait()
            .expect("the exit status is readable")
            .is_some_and(|status| !status.success())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Kills the process without a shutdown.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            // The process may have exited already.
            let _ = child.kill();
            child.wait().expect("the process is gone");
        }
    }

    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.process.as_ref().expect("the replica runs").id().to_string();
        let status = Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(status.success(), "kill {name} {id}");
    }

    /// Adds text to the settings file, which is read at the next start.
    #[allow(dead_code, reason = "not every test that uses replicas needs it")]
    pub fn add_settings(&self, text: &str) {
        let file = self.settings_file();
        let settings = std::fs::read_to_string(&file).expect("the settings file");
        std::fs::write(file, settings + text).expect("the file is written");
    }

    /// Peak of the process's resident memory, in bytes.
    #[allow(dead_code, reason = "not every test that uses replicas needs it")]
    pub fn peak_memory(&self) -> usize {
        let id = self.process.as_ref().expect("the replica runs").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()).expect("a peak");
        kilobytes.parse::<usize>().expect("a number") << 10
    }

    pub fn data_folder(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Removes the data folder.
    pub fn lose_disk(&self) {
        std::fs::remove_dir_all(self.data_folder()).expect("the data folder is removed");
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            let latest = &lines[lines.len().saturating_sub(40)..];
            eprintln!("--- node {} ---\n{}", self.node, latest.join("\n"));
        }
    }
}

pub struct Fleet {
    pub replicas: Vec<Replica>,
    http: reqwest::Client,
    folder: tempfile::TempDir,
}

fn key_hash() -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_juniperhollow"))
        .args(["key", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary runs");
    let mut input = child.stdin.take().expect("a pipe");
    std::io::Write::write_all(&mut input, OPERATOR_KEY.as_bytes()).expect("the key is written");
    drop(input);
    let output = child.wait_with_output().expect("the binary ends");
    String::from_utf8(output.stdout).expect("text").trim().to_owned()
}

fn write_settings(replica: &Replica, members: &[(u64, SocketAddr)], hash: &str) {
    let voters: Vec<u64> = members.iter().map(|(node, _)| *node).collect();
    let mut text = format!(
        "node = {}\nzone = \"zone-{}\"\ndata_folder = \"{}\"\n\
         cluster_key = \"a-shared-cluster-key\"\noperator_key_hashes = [\"{hash}\"]\n\
         [control]\ninternal = \"{}\"\noperator = \"{}\"\ninitial_voters = {voters:?}\n",
        replica.node,
        replica.node,
        replica.data_folder().display(),
        replica.internal,
        replica.operator,
    );
    for (node, address) in members.iter().filter(|(node, _)| *node != replica.node) {
        let peer = format!("id = {node}\nzone = \"zone-{node}\"\naddress = \"{address}\"\n");
        text += &format!("[[control.peers]]\n{peer}");
    }
    std::fs::write(replica.settings_file(), text).expect("the file is written");
}

impl Fleet {
    /// Starts a cluster and waits until every replica votes.
    pub async fn start(count: u64) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let make = |node: u64| {
            let own = folder.path().join(format!("node-{node}"));
            std::fs::create_dir(&own).expect("a folder");
            let (operator, internal) = (unused_address(), unused_address());
            Replica { node, operator, internal, folder: own, process: None }
        };
        let mut replicas: Vec<Replica> = (1..=count).map(make).collect();
        let all: Vec<_> = replicas.iter().map(|replica| (replica.node, replica.internal)).collect();
        let hash = key_hash();
        replicas.iter().for_each(|replica| write_settings(replica, &all, &hash));
        found_cluster(&replicas[0].settings_file());
        replicas.iter_mut().for_each(Replica::start);
        let http = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        let http = http.build().expect("a client");
        let fleet = Fleet { replicas, http, folder };
        fleet.wait_until_all_vote().await;
        fleet
    }

    /// Waits until the leader reports every replica as a voter.
    pub async fn wait_until_all_vote(&self) {
        let wanted = self.replicas.len();
        eventually("every replica votes", async || {
            let leader = self.find_leader().await?;
            let (_, status) = self.get(leader, "/v1/status").await?;
            let members = status["members"].as_array()?.clone();
            let voters = members.iter().filter(|member| member["role"] == "voter").count();
            (voters == wanted && members.len() == wanted).then_some(())
        })
        .await;
    }

    async fn find_leader(&self) -> Option<usize> {
        for at in 0..self.replicas.len() {
            let status = self.get(at, "/v1/status").await;
            if status.is_some_and(|(_, status)| status["role"] == "leader") {
                return Some(at);
            }
        }
        None
    }

    /// Waits for a leader and returns its index.
    pub async fn leader(&self) -> usize {
        eventually("a replica leads", async || self.find_leader().await).await
    }

    /// Indexes of all replicas except `excluded`.
    pub fn others(&self, excluded: usize) -> Vec<usize> {
        (0..self.replicas.len()).filter(|at| *at != excluded).collect()
    }

    pub async fn get(&self, at: usize, path: &str) -> Option<(u16, Value)> {
        self.replicas[at].process.as_ref()?;
        let url = format!("http://{}{path}", self.replicas[at].operator);
        let response = self.http.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.json().await.ok()?))
    }

    pub async fn post(&self, at: usize, path: &str, body: &Value) -> Option<(u16, Value)> {
        let url = format!("http://{}{path}", self.replicas[at].operator);
        let request = self.http.post(url).bearer_auth(OPERATOR_KEY).json(body);
        let response = request.send().await.ok()?;
        let status = response.status().as_u16();
        Some((status, response.json().await.ok()?))
    }

    /// Runs an operator command with an unused address before those of the replicas.
    /// Returns its exit code and JSON output.
    pub fn command(&self, words: &[&str]) -> (Option<i32>, Value) {
        let key_file = self.folder.path().join("operator-key");
        std::fs::write(&key_file, OPERATOR_KEY).expect("the key is written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperhollow"));
        command.args(words).args(["--format", "json", "--operator-key-file"]).arg(key_file);
        command.arg(format!("--control=http://{}", unused_address()));
        for replica in &self.replicas {
            command.arg(format!("--control=http://{}", replica.operator));
        }
        let output = command.output().expect("the binary runs");
        if !output.status.success() {
            // Cargo prints the output only if the test fails.
            println!("{words:?}: {}", String::from_utf8_lossy(&output.stderr));
        }
        let json = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
        (output.status.code(), json)
    }

    /// Writes a change to a file and returns its path, for commands.
    pub fn change_file(&self, change: &Value) -> String {
        let id = change["change_id"].as_str().expect("a change id");
        let path = self.folder.path().join(format!("{id}.json"));
        std::fs::write(&path, change.to_string()).expect("the change is written");
        path.display().to_string()
    }

    /// Sends a change to one replica, with retries, until it is accepted or rejected.
    pub async fn write(&self, at: usize, change: &Value) -> (u16, Value) {
        eventually("a change is accepted or rejected", async || {
            let (status, body) = self.post(at, "/v1/settings/changes", change).await?;
            (status < 500 && status != 429).then_some((status, body))
        })
        .await
    }

    /// Current revision, from a quorum-confirmed read through one replica.
    pub async fn confirmed_revision(&self, at: usize) -> u64 {
        eventually("a quorum confirms a read", async || {
            let (status, body) = self.get(at, "/v1/settings").await?;
            (status == 200).then(|| body["revision"].as_u64()).flatten()
        })
        .await
    }
}

fn found_cluster(file: &Path) {
    let status = Command::new(env!("CARGO_BIN_EXE_juniperhollow"))
        .args(["found", "--settings"])
        .arg(file)
        .stdout(Stdio::null())
        .status()
        .expect("the binary runs");
    assert!(status.success(), "the found command failed");
}

/// A change that puts a zone, based on revision `base`.
pub fn put_zone(zone: &str, priority: u64, base: u64, change_id: &str) -> Value {
    json!({
        "base_revision": base,
        "change_id": change_id,
        "edits": [{
            "edit": "put",
            "path": format!("/{zone}"),
            "node": { "overrides": { "priority": priority } },
        }],
    })
}
