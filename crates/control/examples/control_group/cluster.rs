//! Cluster of control replicas, run as child processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use juniper_loopback::unused_address;
use juniper_protocol::{ClusterKey, PeerIdentity, PeerRole};
use juniper_settings::{ApiKeyHash, NodeFile};
use juniper_types::{NodeId, ZoneName};
use serde_json::Value;

const CLUSTER_KEY: &str = "a cluster key for measuring";
const OPERATOR_KEY: &str = "an operator key for measuring";

/// Timeout of all conditions waited for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs one replica until it is killed.
pub async fn run_replica(file: &str) {
    let file = NodeFile::load(Path::new(file), &[]).expect("a valid node file");
    let settings = file.control.expect("a control section");
    juniper_control::run(settings, std::future::pending()).await.expect("the replica runs");
}

/// Replica and its process.
pub struct Replica {
    pub node: u64,
    pub internal: SocketAddr,
    pub operator: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
}

impl Replica {
    pub fn start(&mut self) {
        let program = std::env::current_exe().expect("the path of this program");
        let child = Command::new(program).arg("replica").arg(&self.file).spawn();
        self.child = Some(child.expect("the replica starts"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the replica is killed");
            child.wait().expect("the replica has exited");
        }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running cluster.
pub struct Cluster {
    pub replicas: Vec<Replica>,
    pub http: reqwest::Client,
    _folder: tempfile::TempDir,
}

fn node_file(replica: &Replica, all: &[(u64, SocketAddr)], folder: &Path) -> String {
    let voters: Vec<u64> = all.iter().map(|(node, _)| *node).collect();
    let mut text = format!(
        "node = {}\nzone = \"zone-{}\"\ndata_folder = \"{}\"\ncluster_key = \"{CLUSTER_KEY}\"\n\
         operator_key_hashes = [\"{}\"]\nlog_level = \"warn\"\n\
         [control]\ninternal = \"{}\"\noperator = \"{}\"\ninitial_voters = {voters:?}\n",
        replica.node,
        replica.node,
        folder.join(format!("data-{}", replica.node)).display(),
        ApiKeyHash::of(OPERATOR_KEY).0,
        replica.internal,
        replica.operator,
    );
    for (node, address) in all.iter().filter(|(node, _)| *node != replica.node) {
        let peer = format!("id = {node}\nzone = \"zone-{node}\"\naddress = \"{address}\"\n");
        text += &format!("[[control.peers]]\n{peer}");
    }
    text
}

impl Cluster {
    pub async fn start(count: usize) -> Self {
        let base = std::env::current_dir().expect("a folder").join("target");
        let folder = tempfile::tempdir_in(base).expect("a folder for the data");
        let new_replica = |node: u64| Replica {
            node,
            internal: unused_address(),
            operator: unused_address(),
            file: folder.path().join(format!("node-{node}.toml")),
            child: None,
        };
        let mut replicas: Vec<Replica> = (1..=count as u64).map(new_replica).collect();
        let all: Vec<_> = replicas.iter().map(|replica| (replica.node, replica.internal)).collect();
        for replica in &replicas {
            let text = node_file(replica, &all, folder.path());
            std::fs::write(&replica.file, text).expect("a node file");
        }
        let first = NodeFile::load(&replicas[0].file, &[]).expect("a valid node file");
        juniper_control::found_cluster(&first.control.expect("a control section"))
            .expect("a new cluster");
        replicas.iter_mut().for_each(Replica::start);
        let http = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(10));
        let http = http.build().expect("a client");
        let cluster = Cluster { replicas, http, _folder: folder };
        cluster.wait_until_all_vote().await;
        cluster
    }

    pub async fn wait_until_all_vote(&self) {
        let wanted = self.replicas.len();
        wait_for(async || {
            let at = self.leader_now().await?;
            let status = self.get(at, "/v1/status").await?;
            let members = status["members"].as_array()?;
            let voters = members.iter().filter(|member| member["role"] == "voter").count();
            (voters == wanted).then_some(())
        })
        .await;
    }

    async fn leader_now(&self) -> Option<usize> {
        for at in 0..self.replicas.len() {
            let status = self.get(at, "/v1/status").await;
            if status.is_some_and(|status| status["role"] == "leader") {
                return Some(at);
            }
        }
        None
    }

    pub async fn leader(&self) -> usize {
        wait_for(async || self.leader_now().await).await
    }

    pub async fn get(&self, at: usize, path: &str) -> Option<Value> {
        self.replicas[at].child.as_ref()?;
        let url = format!("http://{}{path}", self.replicas[at].operator);
        let response = self.http.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
        response.json().await.ok()
    }

    pub async fn post(&self, at: usize, path: &str, body: &Value) -> Option<Value> {
        let url = format!("http://{}{path}", self.replicas[at].operator);
        let request = self.http.post(url).bearer_auth(OPERATOR_KEY).json(body);
        let response = request.send().await.ok()?;
        response.status().is_success().then_some(())?;
        response.json().await.ok()
    }
}

pub fn key() -> ClusterKey {
    ClusterKey::from_text(CLUSTER_KEY).expect("a long enough key")
}

pub fn identity(node: u64, role: PeerRole) -> PeerIdentity {
    PeerIdentity {
        node: NodeId(node),
        role,
        zone: ZoneName::new("zone-1").expect("a zone"),
        incarnation: None,
    }
}

/// Waits until `check` returns a value.
pub async fn wait_for<F, T>(mut check: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Some(value) = check().await {
            return value;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting for a condition");
}
