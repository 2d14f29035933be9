//! Control daemons in the test process, on unused ports.

pub mod cluster;
pub mod faulty_disk;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use juniper_control::{ControlDaemon, ControlSettings, Listeners};
use juniper_loopback::unused_address;
use juniper_protocol::{ClusterKey, PeerIdentity, PeerRole};
use juniper_settings::node_file::{ClusterKeyText, CommonSettings, ControlLimits, LogLevel};
use juniper_settings::{ApiKeyHash, PeerDiscovery, ReplicaTuning, SettingsNode, SettingsPath};
use juniper_types::{NodeId, ZoneName};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use faulty_disk::FaultyDisk;

pub const CLUSTER_KEY: &str = "a cluster key for tests";
pub const OPERATOR_KEY: &str = "an operator key for tests";

/// Timeout of conditions that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Daemon {
    pub internal: SocketAddr,
    pub operator: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Daemon {
    pub async fn start(folder: &std::path::Path) -> Self {
        let listeners = listeners().await;
        let internal = listeners.internal.local_addr().unwrap();
        let operator = listeners.operator.local_addr().unwrap();
        Self::start_on(&settings(1, internal, operator, folder), listeners)
    }

    pub fn start_on(settings: &ControlSettings, listeners: Listeners) -> Self {
        let daemon = ControlDaemon::start(settings, listeners).unwrap();
        Self::serve(settings, daemon)
    }

    /// Starts a daemon whose disk stalls while `stalled` is set.
    pub fn start_with_stalls(
        settings: &ControlSettings,
        listeners: Listeners,
        stalled: &Arc<AtomicBool>,
    ) -> Self {
        let disk = |folder| {
            let stalled = Arc::clone(stalled);
            FaultyDisk { folder, stalled, panics: Arc::default() }
        };
        let daemon = ControlDaemon::start_with_disk(settings, listeners, disk).unwrap();
        Self::serve(settings, daemon)
    }

    fn serve(settings: &ControlSettings, daemon: ControlDaemon) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            daemon
                .serve(async {
                    let _ = stopped.await;
                })
                .await
                .unwrap();
        });
        Daemon { internal: settings.internal, operator: settings.operator, stop: Some(stop), task }
    }

    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        self.task.await.unwrap();
    }

    pub async fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        let request = client().post(format!("http://{}{path}", self.operator));
        let response = request.bearer_auth(OPERATOR_KEY).json(body).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or(Value::Null))
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        let request = client().get(format!("http://{}{path}", self.operator));
        let response = request.bearer_auth(OPERATOR_KEY).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or(Value::Null))
    }

    pub async fn delete(&self, path: &str) -> (u16, Value) {
        let request = client().delete(format!("http://{}{path}", self.operator));
        let response = request.bearer_auth(OPERATOR_KEY).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or(Value::Null))
    }
}

pub async fn listeners() -> Listeners {
    Listeners {
        internal: TcpListener::bind(unused_address()).await.unwrap(),
        operator: TcpListener::bind(unused_address()).await.unwrap(),
    }
}

pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().timeout(TEST_TIMEOUT).build().unwrap()
}

pub fn settings(
    node: u64,
    internal: SocketAddr,
    operator: SocketAddr,
    folder: &std::path::Path,
) -> ControlSettings {
    ControlSettings {
        common: CommonSettings {
            node: NodeId(node),
            zone: ZoneName::new("hartford").unwrap(),
            data_folder: Some(folder.to_owned()),
            cluster_key: ClusterKeyText::new(CLUSTER_KEY).unwrap(),
            operator_keys: vec![ApiKeyHash::of(OPERATOR_KEY)],
            log_level: LogLevel::Info,
            log_file: None,
        },
        data_folder: folder.to_owned(),
        internal,
        operator,
        peers: Vec::new(),
        initial_voters: vec![NodeId(node)],
        discovery: PeerDiscovery::Listed,
        tuning: ReplicaTuning::default(),
        limits: ControlLimits::default(),
    }
}

pub fn router_identity(node: u64) -> PeerIdentity {
    PeerIdentity {
        node: NodeId(node),
        role: PeerRole::Router,
        zone: ZoneName::new("hartford").unwrap(),
        incarnation: None,
    }
}

pub fn key() -> ClusterKey {
    ClusterKey::from_text(CLUSTER_KEY).unwrap()
}

/// Body of a change that puts a zone with the given priority.
pub fn put_zone(zone: &str, priority: u8, base: u64, change_id: &str) -> Value {
    let path: SettingsPath = format!("/{zone}").parse().unwrap();
    let mut node = SettingsNode::default();
    node.overrides.priority = Some(priority);
    json!({
        "base_revision": base,
        "change_id": change_id,
        "edits": [{ "edit": "put", "path": path, "node": node }],
    })
}
