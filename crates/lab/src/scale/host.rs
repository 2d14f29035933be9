//! Hollow process: runs many hollow nodes and takes commands on standard input.

use std::io::{self, BufRead, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use juniper_router::run::RouterError;
use juniper_types::ZoneName;
use serde::{Deserialize, Serialize};

use super::hollow::{Counters, HollowNode};
use super::layout::HostLayout;

/// Command to a hollow process, one JSON line on standard input.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Command {
    /// Report the status only.
    Status,
    /// Crash and restart every tenth node, starting at this offset.
    RestartTenth(usize),
    /// Partition the nodes of this zone from all nodes outside it.
    Cut(ZoneName),
    /// End the partition.
    Heal,
}

/// Answer to every command.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Status {
    pub(super) nodes: usize,
    /// Revision in force on each node.
    pub(super) revisions: Vec<u64>,
    /// Number of other members that each node considers alive.
    pub(super) members: Vec<usize>,
    pub(super) sent: u64,
    pub(super) received: u64,
    pub(super) lookup_bytes: u64,
    pub(super) lookups: u64,
    pub(super) found: u64,
    /// Revisions and the times they came into force on a node since the last report,
    /// in microseconds of Unix time.
    pub(super) in_force: Vec<(u64, u64)>,
    /// Sampled index entries published for followed engines.
    pub(super) published_keys: usize,
    /// Sampled index entries owned by the nodes.
    pub(super) owned_keys: usize,
}

/// Failure of a hollow process.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(super) enum HostError {
    /// The layout or a command could not be read.
    #[error("can't read the layout or a command: {0}")]
    Read(#[from] io::Error),
    /// The layout or a command is malformed.
    #[error("malformed layout or command: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A node could not start.
    #[error(transparent)]
    Node(#[from] RouterError),
}

struct Host {
    layout: HostLayout,
    nodes: Vec<HollowNode>,
    counters: Vec<Arc<Counters>>,
}

/// Runs the nodes of the layout file until standard input ends.
pub(super) fn run(layout: &Path) -> Result<(), HostError> {
    let layout: HostLayout = serde_json::from_slice(&std::fs::read(layout)?)?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut host = runtime.block_on(Host::start(layout))?;
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let command: Command = serde_json::from_str(&line?)?;
        let status = runtime.block_on(host.execute(command))?;
        writeln!(out, "{}", serde_json::to_string(&status)?)?;
        out.flush()?;
    }
    Ok(())
}

impl Host {
    async fn start(layout: HostLayout) -> Result<Self, RouterError> {
        let mut nodes = Vec::new();
        let mut counters = Vec::new();
        for node in &layout.nodes {
            let counted = Arc::new(Counters::default());
            nodes.push(HollowNode::start(node, &layout, &counted).await?);
            counters.push(counted);
        }
        Ok(Host { layout, nodes, counters })
    }

    async fn execute(&mut self, command: Command) -> Result<Status, HostError> {
        match command {
            Command::Status => {}
            Command::RestartTenth(offset) => self.restart_tenth(offset).await?,
            Command::Cut(zone) => self.partition(&zone),
            Command::Heal => self.nodes.iter().for_each(|node| node.reachability.block([])),
        }
        Ok(self.status())
    }

    async fn restart_tenth(&mut self, offset: usize) -> Result<(), RouterError> {
        let chosen: Vec<usize> = (offset..self.nodes.len()).step_by(10).collect();
        for at in chosen.iter().rev() {
            self.nodes.remove(*at).abort().await;
        }
        for at in chosen {
            let node = &self.layout.nodes[at];
            let started = HollowNode::start(node, &self.layout, &self.counters[at]).await?;
            self.nodes.insert(at, started);
        }
        Ok(())
    }

    /// Partitions `zone`. Nodes on both sides block each other, which also covers
    /// nodes of different processes.
    fn partition(&self, zone: &ZoneName) {
        let everything = || self.layout.all.iter().chain(&self.layout.replicas);
        let inside = || everything().filter(|node| node.zone == *zone);
        let outside = || everything().filter(|node| node.zone != *zone);
        for node in &self.nodes {
            match node.node.zone == *zone {
                true => node.reachability.block(outside().map(|node| node.internal)),
                false => node.reachability.block(inside().map(|node| node.internal)),
            }
        }
    }

    fn status(&self) -> Status {
        let mut status = Status { nodes: self.nodes.len(), ..Status::default() };
        for node in &self.nodes {
            let traffic = &node.plane.traffic;
            status.sent += traffic.sent();
            status.received += traffic.received();
            status.lookup_bytes += traffic.lookups();
            status.revisions.push(node.plane.settings.borrow().in_force.revision.0);
            status.members.push(members_known(node));
            let size = node.plane.hub.size();
            status.published_keys += size.published_keys;
            status.owned_keys += size.owned_keys;
        }
        for counters in &self.counters {
            status.sent += counters.sent.load(Ordering::Relaxed);
            status.received += counters.received.load(Ordering::Relaxed);
            status.lookup_bytes += counters.lookup_bytes.load(Ordering::Relaxed);
            status.lookups += counters.lookups.load(Ordering::Relaxed);
            status.found += counters.found.load(Ordering::Relaxed);
            let mut times = counters.in_force.lock().unwrap_or_else(|held| held.into_inner());
            status.in_force.append(&mut times);
        }
        status
    }
}

/// Number of other members that `node` considers alive; zero for a node that isn't
/// settled, so that the run waits for restarted nodes to follow their engines.
fn members_known(node: &HollowNode) -> usize {
    match node.plane.hub.is_settled() {
        true => node.plane.peers.borrow().routers.len(),
        false => 0,
    }
}
