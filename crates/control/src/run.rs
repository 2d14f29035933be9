//! Startup and run loop of the daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use juniper_clock::log_suspensions;
use juniper_intake::{CallerMemory, Connections, HttpLimits};
use juniper_memory_budget::{BudgetLimits, MachineLimits};
use juniper_protocol::{ClusterKey, PeerIdentity, PeerRole};
use juniper_settings::{ControlSettings, PeerDiscovery};
use juniper_storage::{Disk, Folder};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::error::ControlError;
use crate::fleet_calls::FleetCalls;
use crate::fleet_publisher::{FleetPublisher, ServerPublishers};
use crate::history_file::HistoryFile;
use crate::history_upkeep::{follow_quorum_contact, restore_history, write_changes};
use crate::instances::InstancePublisher;
use crate::internal::InternalApi;
use crate::metrics::Metrics;
use crate::node_reports::NodeReports;
use crate::operator::{OperatorApi, routes};
use crate::peers::PeerLinks;
use crate::relay::UpdateRelay;
use crate::replica::{self, ReplicaFailure, ReplicaParts, ReplicaView, RunningReplica};
use crate::replica_group::ReplicaGroup;

/// Listening sockets of a daemon.
pub struct Listeners {
    /// Socket of the internal API, for other daemons.
    pub internal: TcpListener,
    /// Socket of the operator API.
    pub operator: TcpListener,
}

impl Listeners {
    /// Binds both sockets.
    pub async fn open(settings: &ControlSettings) -> Result<Self, ControlError> {
        let internal = listen(settings.internal).await?;
        let operator = listen(settings.operator).await?;
        Ok(Listeners { internal, operator })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address).await.map_err(|source| ControlError::Listen { address, source })
}

/// Started daemon.
pub struct ControlDaemon {
    replica: RunningReplica,
    internal: Arc<InternalApi>,
    operator: axum::Router,
    listeners: Listeners,
    fleet: FleetCalls,
    connections: Connections,
    background: BackgroundTasks,
}

/// Background tasks of the daemon.
struct BackgroundTasks {
    instance_publisher: Arc<InstancePublisher>,
    fleet_publisher: Arc<FleetPublisher>,
    history_file: HistoryFile,
    relay: Arc<UpdateRelay>,
    peers: Arc<PeerLinks>,
    view: ReplicaView,
}

impl BackgroundTasks {
    async fn run(self) {
        tokio::join!(
            self.instance_publisher.run_expiry(),
            self.instance_publisher.run_publishing(),
            self.relay.run(&self.peers, &self.view),
            follow_quorum_contact(&self.fleet_publisher, &self.view),
            write_changes(&self.fleet_publisher, &self.history_file),
            log_suspensions()
        );
    }
}

impl ControlDaemon {
    /// Returns the handler of fleet calls.
    pub fn fleet_calls(&self) -> FleetCalls {
        self.fleet.clone()
    }

    /// Connections of operators, servers and others that need no key to connect, which share one
    /// account of their memory.
    pub fn connections(&self) -> Connections {
        self.connections.clone()
    }

    /// Starts the replica. The APIs are served only by [`ControlDaemon::serve`].
    pub fn start(settings: &ControlSettings, listeners: Listeners) -> Result<Self, ControlError> {
        Self::start_with_disk(settings, listeners, |folder| folder)
    }

    /// Same as [`ControlDaemon::start`], with the disk that `disk` returns for the data folder, for
    /// example one that injects faults.
    pub fn start_with_disk<D: Disk + Send + 'static>(
        settings: &ControlSettings,
        listeners: Listeners,
        disk: impl Fn(Folder) -> D,
    ) -> Result<Self, ControlError> {
        let key = ClusterKey::from_text(settings.common.cluster_key.as_str())?;
        let own = PeerIdentity {
            node: settings.common.node,
            role: PeerRole::Control,
            zone: settings.common.zone.clone(),
            incarnation: None,
        };
        let metrics = Arc::new(Metrics::new()?);
        let reports = Arc::new(NodeReports::default());
        let peers = Arc::new(PeerLinks::new(&settings.peers, &settings.discovery, &key, &own));
        let parts = ReplicaParts { peers: Arc::clone(&peers), metrics: Arc::clone(&metrics) };
        let replica = replica::start(settings, parts, disk)?;
        let (handle, view) = (replica.handle.clone(), replica.view.clone());
        let group = ReplicaGroup::new(handle.clone(), Arc::clone(&peers));
        let publishers = ServerPublishers::default();
        let instance_publisher = Arc::clone(&publishers.observed);
        let fleet_publisher = Arc::clone(&publishers.fleet);
        let history_file = HistoryFile::new(&settings.data_folder);
        let is_founding =
            matches!(settings.discovery, PeerDiscovery::Seeded { bootstrap: true, .. });
        restore_history(&fleet_publisher, &history_file, is_founding);
        let replicas = (handle, group.clone());
        let fleet =
            FleetCalls::new(group.clone(), publishers.clone(), view.clone(), Arc::clone(&metrics));
        let limits = &settings.limits;
        let machine = MachineLimits::from_megabytes(limits.memory_mb, limits.max_descriptors);
        let memory = CallerMemory::new(BudgetLimits::of_machine(machine));
        let connections = Connections::new(memory.clone());
        let api = OperatorApi {
            group,
            peers: Arc::clone(&peers),
            view: view.clone(),
            reports: Arc::clone(&reports),
            metrics: Arc::clone(&metrics),
            operator_keys: settings.common.operator_keys.clone(),
        };
        let operator = routes(api, memory);
        let relay = Arc::new(UpdateRelay::new(Arc::clone(&metrics)));
        let shared = (reports, publishers, Arc::clone(&relay), metrics);
        let internal = InternalApi::new(own, key, replicas, view.clone(), shared, &settings.limits);
        let internal = Arc::new(internal);
        let background = BackgroundTasks {
            instance_publisher,
            fleet_publisher,
            history_file,
            relay,
            peers,
            view,
        };
        Ok(ControlDaemon { replica, internal, operator, listeners, fleet, connections, background })
    }

    /// Serves both APIs until `stop` completes or the replica fails.
    pub async fn serve(self, stop: impl Future<Output = ()> + Send) -> Result<(), ControlError> {
        let ControlDaemon {
            mut replica,
            internal,
            operator,
            listeners,
            connections,
            background,
            ..
        } = self;
        let background = tokio::spawn(background.run());
        let internal = tokio::spawn(internal.serve(listeners.internal));
        // Served until the replica stops.
        let (_open, closed) = watch::channel(false);
        let limits = HttpLimits::default();
        let operator =
            juniper_intake::serve(listeners.operator, operator, connections, limits, closed);
        let result = tokio::select! {
            result = operator => result.map_err(ControlError::Serve),
            failure = wait_for_failure(&mut replica.failure) => Err(ControlError::Replica(failure)),
            () = stop => {
                replica.transfer_leadership().await;
                replica.retire().await;
                Ok(())
            }
        };
        internal.abort();
        background.abort();
        replica.stop().await;
        result
    }
}

/// Completes when the replica has failed, or ended without reporting a reason; in both cases the
/// daemon must stop answering.
async fn wait_for_failure(failure: &mut oneshot::Receiver<ReplicaFailure>) -> ReplicaFailure {
    failure.await.unwrap_or(ReplicaFailure::ActorEnded)
}

/// Runs a control daemon until `stop` completes.
pub async fn run(
    settings: ControlSettings,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), ControlError> {
    let listeners = Listeners::open(&settings).await?;
    let daemon = ControlDaemon::start(&settings, listeners)?;
    log::info!(
        "event=control_started node={} zone={} internal={} operator={}",
        settings.common.node,
        settings.common.zone,
        settings.internal,
        settings.operator
    );
    daemon.serve(stop).await?;
    log::info!("event=control_stopped node={}", settings.common.node);
    Ok(())
}
