//! Internal API for other daemons: calls and pushes over authenticated connections.

mod calls;
mod follower;
mod quarantine;
mod router_updates;
mod session;
mod subscriber;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use juniper_intake::{Handshake, Handshakes};
use juniper_protocol::{ClusterKey, Connection, PeerIdentity, PeerRole, accept};
use juniper_settings::node_file::ControlLimits;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::fleet_publisher::{FleetPublisher, ServerPublishers};
use crate::instances::InstancePublisher;
use crate::limits::OwnedLimits;
use crate::metrics::Metrics;
use crate::node_reports::NodeReports;
use crate::relay::UpdateRelay;
use crate::replica::{ReplicaHandle, ReplicaView};
use crate::replica_group::ReplicaGroup;

/// Delay before accepting again after an error, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of snapshots in flight to subscribers; each may have several megabytes.
const MAX_CONCURRENT_SNAPSHOTS: usize = 8;

/// Internal API, shared by all sessions.
pub struct InternalApi {
    /// Identity of this replica.
    pub own: PeerIdentity,
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Local replica.
    pub replica: ReplicaHandle,
    /// Group of all replicas.
    pub group: ReplicaGroup,
    /// Published state of the replica.
    pub view: ReplicaView,
    /// Settings revisions reported by nodes.
    pub reports: Arc<NodeReports>,
    /// Servers observed by this replica.
    pub instance_publisher: Arc<InstancePublisher>,
    /// Servers observed by any replica, as known to this one.
    pub fleet_publisher: Arc<FleetPublisher>,
    /// Relay of router updates.
    pub relay: Arc<UpdateRelay>,
    /// Limits owned by this replica.
    pub limits: OwnedLimits,
    /// Metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// Number of connected routers that are subscribed to all replicas.
    pub full_followers: Arc<AtomicU32>,
    /// Number of connected routers that are subscribed to a few replicas only.
    pub partial_followers: Arc<AtomicU32>,
    snapshots: Arc<Semaphore>,
    connections: Arc<Semaphore>,
    handshakes: Handshakes,
}

impl InternalApi {
    /// Creates the API with the given limits on connections and handshakes.
    pub fn new(
        own: PeerIdentity,
        key: ClusterKey,
        (replica, group): (ReplicaHandle, ReplicaGroup),
        view: ReplicaView,
        shared: (Arc<NodeReports>, ServerPublishers, Arc<UpdateRelay>, Arc<Metrics>),
        limits: &ControlLimits,
    ) -> Self {
        let (reports, publishers, relay, metrics) = shared;
        let ServerPublishers { observed: instance_publisher, fleet: fleet_publisher } = publishers;
        InternalApi {
            own,
            key,
            replica,
            group,
            view,
            reports,
            instance_publisher,
            fleet_publisher,
            relay,
            limits: OwnedLimits::default(),
            metrics,
            full_followers: Arc::default(),
            partial_followers: Arc::default(),
            snapshots: Arc::new(Semaphore::new(MAX_CONCURRENT_SNAPSHOTS)),
            connections: Arc::new(Semaphore::new(limits.max_connections)),
            handshakes: Handshakes::new(limits.max_handshakes),
        }
    }

    /// Accepts connections until cancelled. Beyond the limit on handshakes, connections wait in the
    /// system's accept queue for a moment, so that many restarting routers take no memory here.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let handshake = self.handshakes.begin().await;
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("event=accept_failed face=internal reason=\"{error}\"");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let api = Arc::clone(&self);
            tokio::spawn(api.serve_stream(stream, handshake));
        }
    }

    async fn serve_stream(self: Arc<Self>, stream: TcpStream, handshake: Handshake) {
        let Ok(address) = stream.peer_addr() else {
            return;
        };
        match handshake.run(accept(stream, &self.key, &self.own)).await {
            Some(Ok(connection)) => self.serve_peer(connection, address).await,
            None => {
                self.metrics.handshakes_failed.inc();
                log::warn!("event=handshake_failed peer={address} reason=displaced");
            }
            Some(Err(error)) => {
                self.metrics.handshakes_failed.inc();
                log::warn!("event=handshake_failed peer={address} reason=\"{error}\"");
            }
        }
    }

    /// Runs the session of an authenticated peer. The connection limit applies to routers only, so
    /// that replicas can always reach each other.
    async fn serve_peer(self: Arc<Self>, connection: Connection, address: SocketAddr) {
        let is_replica = connection.peer.role == PeerRole::Control;
        let permit = Arc::clone(&self.connections).try_acquire_owned();
        if permit.is_err() && !is_replica {
            self.metrics.connections_refused.inc();
            log::warn!("event=too_many_connections peer={}", connection.peer.node);
            return;
        }
        session::run(self, connection, address).await;
        drop(permit);
    }
}
