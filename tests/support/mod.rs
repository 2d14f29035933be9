//! Starts a small fleet of real processes on loopback and stops it on drop.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

mod waiting;

use juniper_loopback::unused_address;
use serde_json::{Value, json};
pub use waiting::eventually;

pub const OPERATOR_KEY: &str = "operator-secret-for-tests";
pub const TENANT_KEY: &str = "tenant-secret-for-tests";

/// A process that is killed when the test ends.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn key_hash(key: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_juniperhollow"))
        .args(["key", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary runs");
    child.stdin.take().expect("a pipe").write_all(key.as_bytes()).expect("the key is written");
    let output = child.wait_with_output().expect("the binary ends");
    String::from_utf8(output.stdout).expect("text").trim().to_owned()
}

/// Starts an emulated engine and returns its address.
pub fn start_engine(extra: &[&str]) -> (Process, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_juniper-lab"))
        .args(["emulate", "engine", "--listen", "127.0.0.1:0"])
        .args(extra)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the emulator starts");
    let stdout = child.stdout.take().expect("a pipe");
    let process = Process(child);
    let line = BufReader::new(stdout).lines().next().expect("a line").expect("text");
    let address = line.strip_prefix("listening=").expect("an address").parse().expect("parses");
    (process, address)
}

/// Listener addresses of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub internal: SocketAddr,
    pub operator: SocketAddr,
    pub caller: SocketAddr,
}

impl Addresses {
    pub fn unused() -> Self {
        Addresses {
            internal: unused_address(),
            operator: unused_address(),
            caller: unused_address(),
        }
    }
}

fn common_settings(node: u64, folder: &Path) -> String {
    format!(
        "node = {node}\nzone = \"hartford\"\ndata_folder = \"{}\"\n\
         cluster_key = \"a-shared-cluster-key\"\noperator_key_hashes = [\"{}\"]\n",
        folder.display(),
        key_hash(OPERATOR_KEY)
    )
}

fn write_file(path: &Path, text: &str) -> PathBuf {
    std::fs::write(path, text).expect("the file is written");
    path.to_owned()
}

pub fn start_daemon(command: &str, file: &Path) -> Process {
    let child = Command::new(env!("CARGO_BIN_EXE_juniperhollow"))
        .args([command, "--settings"])
        .arg(file)
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    Process(child)
}

/// Node file of a single control replica.
pub fn control_file(folder: &Path, addresses: Addresses) -> PathBuf {
    let text = format!(
        "{}[control]\ninternal = \"{}\"\noperator = \"{}\"\n",
        common_settings(1, &folder.join("control")),
        addresses.internal,
        addresses.operator
    );
    write_file(&folder.join("control.toml"), &text)
}

/// Node file of a router with one control replica.
pub fn router_file(folder: &Path, node: u64, own: Addresses, control: Addresses) -> PathBuf {
    let text = format!(
        "{}[router]\ncaller = \"{}\"\noperator = \"{}\"\ninternal = \"{}\"\n\
         [[router.control]]\nid = 1\nzone = \"hartford\"\naddress = \"{}\"\n",
        common_settings(node, &folder.join(format!("router-{node}"))),
        own.caller,
        own.operator,
        own.internal,
        control.internal
    );
    write_file(&folder.join(format!("router-{node}.toml")), &text)
}

/// A tree with one tenant and its chat service on `engines`.
pub fn first_change(engines: &[SocketAddr]) -> Value {
    let back_ends: Vec<Value> = engines
        .iter()
        .zip(1..)
        .map(|(address, id)| json!({ "id": id, "kind": "engine", "address": address }))
        .collect();
    json!({
        "base_revision": 0,
        "change_id": "first",
        "edits": [
            { "edit": "put", "path": "/", "node": {} },
            { "edit": "put", "path": "/hartford", "node": { "back_ends": back_ends } },
            {
                "edit": "put",
                "path": "/hartford/acme",
                "node": { "api_keys": [key_hash(TENANT_KEY)] },
            },
            {
                "edit": "put",
                "path": "/hartford/acme/screening",
                "node": { "overrides": { "traffic": "chat" } },
            },
        ],
    })
}

/// Submits a change and retries until the control replica accepts it.
pub async fn apply_change(http: &reqwest::Client, control: Addresses, change: &Value) -> Value {
    let url = format!("http://{}/v1/settings/changes", control.operator);
    eventually("the change is accepted", async || {
        let request = http.post(&url).bearer_auth(OPERATOR_KEY).json(change);
        let response = request.send().await.ok()?;
        response.status().is_success().then_some(())?;
        response.json().await.ok()
    })
    .await
}

/// Waits until the router is ready.
pub async fn wait_until_ready(http: &reqwest::Client, router: Addresses) {
    let url = format!("http://{}/readyz", router.operator);
    eventually("the router is ready", async || {
        http.get(&url).send().await.ok()?.status().is_success().then_some(())
    })
    .await
}

/// One control replica, one router and engines, ready to serve.
pub struct SmallFleet {
    pub http: reqwest::Client,
    pub chat_url: String,
    pub engines: Vec<SocketAddr>,
    /// The engines, the control replica and the router.
    pub processes: Vec<Process>,
    _folder: tempfile::TempDir,
}

/// Starts the processes, with one engine, and applies the first change, modified by `edit`.
pub async fn start_small_fleet(edit: impl FnOnce(&mut Value)) -> SmallFleet {
    start_fleet_of(&[&[]], edit).await
}

/// Starts the processes, with an engine for each list of options, and applies the first change,
/// modified by `edit`.
pub async fn start_fleet_of(
    engine_options: &[&[&str]],
    edit: impl FnOnce(&mut Value),
) -> SmallFleet {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut processes, engines): (Vec<Process>, Vec<SocketAddr>) =
        engine_options.iter().map(|options| start_engine(options)).unzip();
    let (own, control) = (Addresses::unused(), Addresses::unused());
    let replica = start_daemon("control", &control_file(folder.path(), control));
    let router = start_daemon("router", &router_file(folder.path(), 11, own, control));
    let http = reqwest::Client::new();
    processes.extend([replica, router]);
    let mut change = first_change(&engines);
    edit(&mut change);
    apply_change(&http, control, &change).await;
    wait_until_ready(&http, own).await;
    let chat_url = format!("http://{}/v1/chat/completions", own.caller);
    SmallFleet { http, chat_url, engines, processes, _folder: folder }
}
