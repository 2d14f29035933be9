//! Starts the daemon and runs it until it is told to stop.

use std::future::IntoFuture;
use std::net::SocketAddr;
use std::sync::Arc;

use juniper_protocol::{ClusterKey, PeerIdentity, PeerRole};
use juniper_settings::ControlSettings;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::error::ControlError;
use crate::internal::InternalFace;
use crate::metrics::Metrics;
use crate::operator::{OperatorFace, routes};
use crate::replica::{ReplicaActor, ReplicaView, keep_confirmed};
use crate::reports::NodeReports;

/// The two sockets that a daemon listens on.
pub struct Listeners {
    /// For other daemons.
    pub internal: TcpListener,
    /// For operators.
    pub operator: TcpListener,
}

impl Listeners {
    /// Opens both sockets.
    pub async fn open(settings: &ControlSettings) -> Result<Self, ControlError> {
        let internal = listen(settings.internal).await?;
        let operator = listen(settings.operator).await?;
        Ok(Listeners { internal, operator })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address).await.map_err(|source| ControlError::Listen { address, source })
}

/// A started daemon.
pub struct ControlDaemon {
    replica: ActorRef<ReplicaActor>,
    internal: Arc<InternalFace>,
    operator: axum::Router,
    listeners: Listeners,
}

impl ControlDaemon {
    /// Starts the replica; nothing is served before [`ControlDaemon::serve`].
    pub fn start(settings: &ControlSettings, listeners: Listeners) -> Result<Self, ControlError> {
        let key = ClusterKey::from_text(settings.common.cluster_key.as_str())?;
        let own = PeerIdentity {
            node: settings.common.node,
            role: PeerRole::Control,
            zone: settings.common.zone.clone(),
        };
        let metrics = Arc::new(Metrics::new()?);
        let reports = Arc::new(NodeReports::default());
        let (published, published_view) = watch::channel(Arc::default());
        let (confirmed_at, confirmed_view) = watch::channel(None);
        let view = ReplicaView { published: published_view, confirmed_at: confirmed_view };
        let replica = ReplicaActor::spawn(ReplicaActor::new(published));
        tokio::spawn(keep_confirmed(replica.clone(), confirmed_at));
        let operator = routes(OperatorFace {
            replica: replica.clone(),
            view: view.clone(),
            reports: Arc::clone(&reports),
            metrics: Arc::clone(&metrics),
            operator_keys: settings.common.operator_keys.clone(),
        });
        let shared = (reports, metrics);
        let internal = InternalFace::new(own, key, replica.clone(), view, shared, &settings.limits);
        Ok(ControlDaemon { replica, internal: Arc::new(internal), operator, listeners })
    }

    /// Serves until `stop` completes.
    pub async fn serve(self, stop: impl Future<Output = ()> + Send) -> Result<(), ControlError> {
        let ControlDaemon { replica, internal, operator, listeners } = self;
        let internal = tokio::spawn(internal.serve(listeners.internal));
        let operator = axum::serve(listeners.operator, operator).into_future();
        let ended = tokio::select! {
            served = operator => served.map_err(ControlError::Serve),
            () = stop => Ok(()),
        };
        internal.abort();
        replica.kill();
        replica.wait_for_shutdown().await;
        ended
    }
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
