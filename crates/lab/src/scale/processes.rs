//! Child processes of a run and their configuration files.

use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command as Program, Stdio};

use juniper_settings::ApiKeyHash;

use super::fleet::ScaleError;
use super::host::{Command, Status};
use super::layout::{CLUSTER_KEY, Layout, Node, OPERATOR_KEY};

/// Child process that is killed when dropped.
pub(super) struct Process(Child);

impl Process {
    /// Process id.
    pub(super) fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Hollow process with its pipes.
pub(super) struct Host {
    pub(super) process: Process,
    commands: ChildStdin,
    answers: BufReader<ChildStdout>,
}

impl Host {
    /// Sends a command and waits for its answer.
    pub(super) fn send_command(&mut self, command: &Command) -> Result<Status, ScaleError> {
        writeln!(self.commands, "{}", serde_json::to_string(command)?)?;
        self.commands.flush()?;
        let mut line = String::new();
        if self.answers.read_line(&mut line)? == 0 {
            return Err(ScaleError::HostEnded);
        }
        Ok(serde_json::from_str(&line)?)
    }
}

/// Path of a program in the folder of the current executable.
fn sibling(name: &str) -> Result<PathBuf, io::Error> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

/// Creates the cluster on the first replica; the others join when they start.
pub(super) fn create_cluster(folder: &Path, text: &str) -> Result<(), ScaleError> {
    let file = folder.join("found.toml");
    std::fs::write(&file, text)?;
    let mut program = Program::new(sibling("juniperhollow")?);
    let status = program.args(["found", "--settings"]).arg(file).stdout(Stdio::null()).status()?;
    match status.success() {
        true => Ok(()),
        false => Err(ScaleError::ClusterNotCreated),
    }
}

pub(super) fn start_daemon(
    role: &str,
    folder: &Path,
    node: u64,
    text: &str,
) -> Result<Process, io::Error> {
    let file = folder.join(format!("{role}-{node}.toml"));
    std::fs::write(&file, text)?;
    let program = sibling("juniperhollow")?;
    let mut program = Program::new(program);
    program.args([role, "--settings"]).arg(file).stderr(Stdio::null());
    Ok(Process(program.spawn()?))
}

pub(super) fn start_host(layout: &Path) -> Result<Host, ScaleError> {
    let mut child = Program::new(std::env::current_exe()?)
        .args(["scale", "--host"])
        .arg(layout)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let pipes = child.stdin.take().zip(child.stdout.take());
    let process = Process(child);
    let (commands, answers) = pipes.ok_or(ScaleError::HostEnded)?;
    Ok(Host { process, commands, answers: BufReader::new(answers) })
}

fn common(folder: &Path, node: &Node) -> String {
    let data = folder.join(format!("data-{}", node.node));
    format!(
        "node = {}\nzone = \"{}\"\ndata_folder = \"{}\"\ncluster_key = \"{CLUSTER_KEY}\"\n\
         operator_key_hashes = [\"{}\"]\nlog_level = \"warn\"\n",
        node.node,
        node.zone,
        data.display(),
        ApiKeyHash::of(OPERATOR_KEY).0
    )
}

fn peer_tables(table: &str, nodes: &[Node], except: u64) -> String {
    let others = nodes.iter().filter(|node| node.node != except);
    others
        .map(|node| {
            format!(
                "[[{table}]]\nid = {}\nzone = \"{}\"\naddress = \"{}\"\n",
                node.node, node.zone, node.internal
            )
        })
        .collect()
}

pub(super) fn control_file(
    folder: &Path,
    layout: &Layout,
    own: &Node,
    operator: SocketAddr,
) -> String {
    let voters: Vec<String> = layout.replicas.iter().map(|node| node.node.to_string()).collect();
    format!(
        "{}[control]\ninternal = \"{}\"\noperator = \"{operator}\"\ninitial_voters = [{}]\n{}",
        common(folder, own),
        own.internal,
        voters.join(", "),
        peer_tables("control.peers", &layout.replicas, own.node)
    )
}

pub(super) fn router_file(
    folder: &Path,
    layout: &Layout,
    own: &Node,
    operator: SocketAddr,
    caller: SocketAddr,
) -> String {
    let seeds = layout.hosts.first().map(|host| host.seeds.as_slice()).unwrap_or_default();
    format!(
        "{}[router]\ncaller = \"{caller}\"\noperator = \"{operator}\"\ninternal = \"{}\"\n{}{}\
         [router.limits]\nfull_follow_engines = 1\n",
        common(folder, own),
        own.internal,
        peer_tables("router.control", &layout.replicas, 0),
        peer_tables("router.peers", seeds, own.node)
    )
}
