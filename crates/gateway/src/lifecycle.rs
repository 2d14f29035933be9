//! Start, drain and stop of a gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::log_suspensions;
use juniper_feed::{ConfirmationFields, Feed};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::listener::{serve_callers, serve_metrics, serve_readiness};
use crate::metrics::Metrics;
use crate::probe::probe_servers;
use crate::settings::GatewaySettings;
use crate::tunnel_server::serve_tunnels;
use crate::updates;

/// Time for which new connections are still accepted after the shutdown began. Load balancers check
/// readiness every second and remove a router after two failed checks.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Share of the grace period after which open requests are aborted.
const GRACE_SHARE: f64 = 0.92;

/// Interval between two checks of the readiness for the log.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// Phase of a planned shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown has begun.
    Running,
    /// Readiness checks fail; new requests are still served, and each connection is closed after
    /// its answer.
    Draining,
    /// Idle connections are closed.
    ClosingConnections,
    /// The gateway has stopped: what is still open is aborted.
    Stopped,
}

/// Why a gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics could not be registered.
    #[error("can't register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// Sockets that a gateway listens on.
pub struct Listeners {
    callers: TcpListener,
    internal: TcpListener,
    readiness: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    /// Uses sockets that are already bound.
    pub fn from_bound(callers: TcpListener, internal: TcpListener, readiness: TcpListener) -> Self {
        Listeners { callers, internal, readiness: Some(readiness), metrics: None }
    }

    /// Opens the sockets for callers, for other routers and, if given, for readiness and metrics.
    ///
    /// # Errors
    /// Fails when one of them can't be opened.
    pub async fn open(
        callers: SocketAddr,
        internal: SocketAddr,
        readiness: Option<SocketAddr>,
        metrics: Option<SocketAddr>,
    ) -> Result<Self, GatewayError> {
        Ok(Listeners {
            callers: listen(callers).await?,
            internal: listen(internal).await?,
            readiness: listen_optional(readiness).await?,
            metrics: listen_optional(metrics).await?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

async fn listen_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, GatewayError> {
    match address {
        Some(address) => listen(address).await.map(Some),
        None => Ok(None),
    }
}

/// Handle that counts as open until it is dropped, like each of its clones. The receiver of
/// [`ConnectionTracker::new`] completes once none is open.
#[derive(Clone)]
pub(crate) struct ConnectionTracker {
    _open: mpsc::Sender<()>,
}

impl ConnectionTracker {
    fn new() -> (Self, mpsc::Receiver<()>) {
        let (sender, receiver) = mpsc::channel(1);
        (ConnectionTracker { _open: sender }, receiver)
    }

    /// Returns a handle that counts as open until it is dropped.
    pub(crate) fn track(&self) -> ConnectionTracker {
        self.clone()
    }

    /// Returns a handle that doesn't count as open itself.
    fn downgrade(&self) -> WeakTracker {
        WeakTracker { open: self._open.downgrade() }
    }
}

/// Handle that doesn't count as open, from which such handles are made.
pub(crate) struct WeakTracker {
    open: mpsc::WeakSender<()>,
}

impl WeakTracker {
    /// Returns a handle that counts as open until it is dropped; `None` once none is open any more.
    pub(crate) fn track(&self) -> Option<ConnectionTracker> {
        self.open.upgrade().map(|open| ConnectionTracker { _open: open })
    }
}

/// Runs a gateway until `stop` completes and all requests in flight have ended, or the grace period
/// is over.
///
/// # Errors
/// Fails when the metrics can't be registered.
pub async fn run(
    settings: GatewaySettings,
    dialect: impl Dialect,
    feed: Feed,
    listeners: Listeners,
    stop: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let grace_period = settings.grace_period;
    let (phase, phase_receiver) = watch::channel(ShutdownPhase::Running);
    let node = settings.node.clone();
    let gateway = Gateway::new(settings, Box::new(dialect), feed, Metrics::new()?, phase_receiver);
    let gateway = Arc::new(gateway);
    let (tracker, mut open) = ConnectionTracker::new();
    let Listeners { callers, internal, readiness, metrics } = listeners;
    // Until the end: other routers ask here whether this one still forwards their tunnels.
    let tunnels = serve_tunnels(Arc::clone(&gateway), internal, tracker.downgrade());
    let tunneling = tokio::spawn(tunnels);
    let accepting = tokio::spawn(serve_callers(Arc::clone(&gateway), callers, tracker));
    let background_tasks = spawn_background_tasks(&gateway, readiness, metrics);
    log::info!("event=gateway_started node={node}");
    stop.await;
    log::info!("event=gateway_leaving node={node}");
    phase.send_replace(ShutdownPhase::Draining);
    sleep(DRAIN_TIME).await;
    phase.send_replace(ShutdownPhase::ClosingConnections);
    // From here on no caller's connection is accepted. The task also holds a tracker.
    accepting.abort();
    let remaining = grace_period.mul_f64(GRACE_SHARE).saturating_sub(DRAIN_TIME);
    let is_drained = timeout(remaining, open.recv()).await.is_ok();
    phase.send_replace(ShutdownPhase::Stopped);
    tunneling.abort();
    log::info!("event=gateway_stopped node={node} drained={is_drained}");
    background_tasks.iter().for_each(JoinHandle::abort);
    Ok(())
}

/// Spawns the tasks that run besides the serving of callers.
fn spawn_background_tasks(
    gateway: &Arc<Gateway>,
    readiness: Option<TcpListener>,
    metrics: Option<TcpListener>,
) -> Vec<JoinHandle<()>> {
    let mut background_tasks = vec![
        tokio::spawn(Arc::clone(gateway).follow_feed()),
        tokio::spawn(updates::exchange(Arc::clone(gateway))),
        tokio::spawn(Arc::clone(&gateway.crashes).run()),
        tokio::spawn(probe_servers(Arc::clone(gateway))),
        tokio::spawn(log_readiness(Arc::clone(gateway))),
        tokio::spawn(log_suspensions()),
    ];
    if let Some(listener) = readiness {
        background_tasks.push(tokio::spawn(serve_readiness(Arc::clone(gateway), listener)));
    }
    if let Some(listener) = metrics {
        background_tasks.push(tokio::spawn(serve_metrics(Arc::clone(gateway), listener)));
    }
    background_tasks
}

/// Logs each change of the readiness.
async fn log_readiness(gateway: Arc<Gateway>) {
    let mut ready = false;
    loop {
        if gateway.is_ready() != ready {
            ready = !ready;
            let confirmation = ConfirmationFields(gateway.feed.confirmation());
            let version = gateway.feed.latest().catalog_version();
            log::info!("event=readiness ready={ready} catalog={version} {confirmation}");
        }
        sleep(READINESS_INTERVAL).await;
    }
}
