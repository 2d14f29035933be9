//! Cluster of three control daemons.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use juniper_control::{Listeners, found_cluster};
use juniper_protocol::{Message, Refusal, Reply, Request, connect};
use juniper_settings::ControlSettings;
use juniper_settings::node_file::Peer;
use juniper_types::{NodeId, ZoneName};
use tempfile::TempDir;
use tokio::time::{Duration, sleep, timeout};

use super::{Daemon, TEST_TIMEOUT, key, listeners, router_identity, settings};

/// Timeout of a call to one replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

pub struct Cluster {
    pub settings: Vec<ControlSettings>,
    /// Switches that stall the disk of each replica.
    pub stalls: Vec<Arc<AtomicBool>>,
    daemons: Vec<Option<Daemon>>,
    _folder: TempDir,
}

impl Cluster {
    /// Starts three replicas and waits until all are voters.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut all = Vec::new();
        let mut all_settings = Vec::new();
        for node in 1..=3_u64 {
            let listeners = listeners().await;
            let internal = listeners.internal.local_addr().unwrap();
            let operator = listeners.operator.local_addr().unwrap();
            let own = folder.path().join(node.to_string());
            all_settings.push(settings(node, internal, operator, &own));
            all.push(listeners);
        }
        add_peers(&mut all_settings);
        found_cluster(&all_settings[0]).unwrap();
        let stalls: Vec<Arc<AtomicBool>> = all_settings.iter().map(|_| Arc::default()).collect();
        let parts = all_settings.iter().zip(all).zip(&stalls);
        let start = |((own, sockets), stall)| Some(Daemon::start_with_stalls(own, sockets, stall));
        let daemons = parts.map(start).collect();
        let cluster = Cluster { settings: all_settings, stalls, daemons, _folder: folder };
        cluster.wait_for("three voters", async || cluster.voters().await == Some(3)).await;
        cluster
    }

    pub fn daemon(&self, at: usize) -> &Daemon {
        self.daemons[at].as_ref().unwrap()
    }

    pub async fn stop(&mut self, at: usize) {
        if let Some(daemon) = self.daemons[at].take() {
            daemon.stop().await;
        }
    }

    pub async fn restart(&mut self, at: usize) {
        self.stop(at).await;
        let own = &self.settings[at];
        let sockets = Listeners::open(own).await.unwrap();
        self.daemons[at] = Some(Daemon::start_with_stalls(own, sockets, &self.stalls[at]));
    }

    pub async fn stop_all(mut self) {
        for at in 0..self.daemons.len() {
            self.stop(at).await;
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.daemons.len()).filter(|at| self.daemons[*at].is_some())
    }

    pub async fn leader_now(&self) -> Option<usize> {
        for at in self.running() {
            if self.daemon(at).get("/v1/status").await.1["role"] == "leader" {
                return Some(at);
            }
        }
        None
    }

    pub async fn leader(&self) -> usize {
        self.wait_for("a leader", async || self.leader_now().await.is_some()).await;
        self.leader_now().await.unwrap()
    }

    async fn voters(&self) -> Option<usize> {
        let (_, status) = self.daemon(self.leader_now().await?).get("/v1/status").await;
        let members = status["members"].as_array()?;
        Some(members.iter().filter(|member| member["role"] == "voter").count())
    }

    pub async fn wait_for(&self, what: &str, mut check: impl AsyncFnMut() -> bool) {
        let start = Instant::now();
        while !check().await {
            assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Calls one replica after the other until the call succeeds, as a router does.
    pub async fn call(&self, node: u64, request: &Request) -> Reply {
        let start = Instant::now();
        for at in (0..self.settings.len()).cycle() {
            assert!(start.elapsed() < TEST_TIMEOUT, "no replica handled {request:?}");
            let reply = timeout(ATTEMPT_TIMEOUT, self.call_one(at, node, request)).await;
            match reply.ok().flatten() {
                Some(Reply::Refused(Refusal::NotLeader { .. } | Refusal::NoQuorum))
                | Some(Reply::Refused(Refusal::Unknown))
                | None => sleep(Duration::from_millis(20)).await,
                Some(reply) => return reply,
            }
        }
        unreachable!("the loop ends by a return")
    }

    async fn call_one(&self, at: usize, node: u64, request: &Request) -> Option<Reply> {
        let address = self.settings[at].internal;
        let mut connection = connect(address, &key(), &router_identity(node)).await.ok()?;
        let frame = Message::Request { call: 1, request: request.clone() };
        connection.writer.send(&frame).await.ok()?;
        match connection.reader.receive().await.ok()? {
            Message::Reply { reply, .. } => Some(reply),
            _ => None,
        }
    }
}

fn add_peers(all: &mut [ControlSettings]) {
    let peer = |own: &ControlSettings| Peer {
        id: own.common.node,
        zone: ZoneName::new("hartford").unwrap(),
        address: own.internal,
    };
    let peers: Vec<Peer> = all.iter().map(peer).collect();
    for own in all {
        let node = own.common.node;
        own.peers = peers.iter().filter(|peer| peer.id != node).cloned().collect();
        own.initial_voters = vec![NodeId(1), NodeId(2), NodeId(3)];
    }
}
