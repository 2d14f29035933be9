//! Starts, drains and stops a gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::log_suspensions;
use juniper_feed::Feed;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::dialect::Dialect;
use crate::face::{serve_callers, serve_metrics, serve_readiness};
use crate::gateway::Gateway;
use crate::metrics::Metrics;
use crate::news;
use crate::probe::probe_unreachable;
use crate::settings::GatewaySettings;

/// Time for which new connections are taken after the stop began. Those who hand
/// out connections ask for readiness every second and leave a node out after two
/// answers that aren't good.
const LEAVE_TIME: Duration = Duration::from_millis(2_600);

/// Part of the grace after which what is still open is broken off.
const GRACE_PART: f64 = 0.92;

/// Time between two looks at the readiness for the log.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// There is none.
    Running,
    /// Not ready any more; everything that comes is still served, and each
    /// connection ends with its answer.
    Leaving,
    /// Idle connections are closed.
    ClosingConnections,
}

/// Why a gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The counters could not be registered.
    #[error("can't register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The sockets that a gateway listens on.
pub struct Listeners {
    callers: TcpListener,
    readiness: Option<TcpListener>,
    metrics: Option<TcpListener>,
}

impl Listeners {
    /// Takes over sockets that are bound already.
    pub fn bound(callers: TcpListener, readiness: TcpListener) -> Self {
        Listeners { callers, readiness: Some(readiness), metrics: None }
    }

    /// Opens the sockets for callers and, where wanted, readiness and metrics.
    ///
    /// # Errors
    /// Fails when one of them can't be opened.
    pub async fn open(
        callers: SocketAddr,
        readiness: Option<SocketAddr>,
        metrics: Option<SocketAddr>,
    ) -> Result<Self, GatewayError> {
        Ok(Listeners {
            callers: listen(callers).await?,
            readiness: listen_if(readiness).await?,
            metrics: listen_if(metrics).await?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(|source| GatewayError::Listen { address, source })
}

async fn listen_if(address: Option<SocketAddr>) -> Result<Option<TcpListener>, GatewayError> {
    match address {
        Some(address) => listen(address).await.map(Some),
        None => Ok(None),
    }
}

/// Tells when everything that was tracked has ended.
#[derive(Clone)]
pub(crate) struct Tracker {
    _open: mpsc::Sender<()>,
}

impl Tracker {
    fn new() -> (Self, mpsc::Receiver<()>) {
        let (sender, receiver) = mpsc::channel(1);
        (Tracker { _open: sender }, receiver)
    }

    /// Something is open until what is returned is dropped.
    pub(crate) fn track(&self) -> Tracker {
        self.clone()
    }
}

/// Runs a gateway until `stop` completes and everything under way has ended, or
/// the grace is over.
///
/// # Errors
/// Fails when it can't start.
pub async fn run(
    settings: GatewaySettings,
    dialect: impl Dialect,
    feed: Feed,
    listeners: Listeners,
    stop: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let grace = settings.grace;
    let (phase, phases) = watch::channel(Stop::Running);
    let node = settings.node.clone();
    let gateway = Gateway::new(settings, Box::new(dialect), feed, Metrics::new()?, phases);
    let gateway = Arc::new(gateway);
    let (tracker, mut open) = Tracker::new();
    let Listeners { callers, readiness, metrics } = listeners;
    let accepting = tokio::spawn(serve_callers(Arc::clone(&gateway), callers, tracker));
    let helpers = start_helpers(&gateway, readiness, metrics);
    log::info!("event=gateway_started node={node}");
    stop.await;
    log::info!("event=gateway_leaving node={node}");
    phase.send_replace(Stop::Leaving);
    sleep(LEAVE_TIME).await;
    phase.send_replace(Stop::ClosingConnections);
    // Nothing new is taken from here on. The task holds a tracker too.
    accepting.abort();
    let left = grace.mul_f64(GRACE_PART).saturating_sub(LEAVE_TIME);
    let is_done = timeout(left, open.recv()).await.is_ok();
    log::info!("event=gateway_stopped node={node} drained={is_done}");
    helpers.iter().for_each(JoinHandle::abort);
    Ok(())
}

/// Starts what runs beside the serving of callers.
fn start_helpers(
    gateway: &Arc<Gateway>,
    readiness: Option<TcpListener>,
    metrics: Option<TcpListener>,
) -> Vec<JoinHandle<()>> {
    let mut helpers = vec![
        tokio::spawn(Arc::clone(gateway).follow_feed()),
        tokio::spawn(news::share(Arc::clone(gateway))),
        tokio::spawn(Arc::clone(&gateway.crashes).run()),
        tokio::spawn(probe_unreachable(Arc::clone(gateway))),
        tokio::spawn(log_readiness(Arc::clone(gateway))),
        tokio::spawn(log_suspensions()),
    ];
    if let Some(listener) = readiness {
        helpers.push(tokio::spawn(serve_readiness(Arc::clone(gateway), listener)));
    }
    if let Some(listener) = metrics {
        helpers.push(tokio::spawn(serve_metrics(Arc::clone(gateway), listener)));
    }
    helpers
}

/// Logs when callers may be sent here and when not any more.
async fn log_readiness(gateway: Arc<Gateway>) {
    let mut ready = false;
    loop {
        if gateway.is_ready() != ready {
            ready = !ready;
            let age_ms = gateway.feed.confirmation_age().map_or(-1, |age| age.as_millis() as i64);
            let version = gateway.feed.latest().catalog_version();
            log::info!("event=readiness ready={ready} catalog={version} age_ms={age_ms}");
        }
        sleep(READINESS_INTERVAL).await;
    }
}
