//! Startup, serving and graceful shutdown of a router.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniper_clock::{BootInstant, log_suspensions};
use juniper_crash_watch::CrashWatch;
use juniper_feed::{Feed, FeedSettings};
use juniper_intake::{CallerMemory, Connections, HttpLimits};
use juniper_memory_budget::{BudgetLimits, MachineLimits};
use juniper_protocol::PeerTimeouts;
use juniper_settings::node_file::RouterLimits;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::backends::BackEnds;
use crate::config::RouterConfig;
use crate::control_plane::ControlPlane;
use crate::crashes::{Crashes, apply_quarantines};
use crate::engine_pollers;
use crate::http_api;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::reachability::Reachability;
use crate::router_state::RouterState;
use crate::settings_file::SettingsFileError;
use crate::subscription::SettingsView;

/// Timeout of connecting to a back end.
const BACK_END_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between checks for requests in flight during a graceful shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between reporting not ready and refusing new requests, so that load
/// balancers stop sending requests first.
const READY_GRACE: Duration = Duration::from_millis(500);

/// Maximum wait for idle connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Error that ends a router.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A listener could not be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Listen address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings file is unusable.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// The cluster key is unusable.
    #[error(transparent)]
    ClusterKey(#[from] juniper_protocol::ClusterKeyError),
    /// The HTTP client could not be created.
    #[error("can't create the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics could not be registered.
    #[error("can't register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// An HTTP server failed.
    #[error("HTTP server failed: {0}")]
    Serve(io::Error),
    /// Requests were still in flight at the timeout of a graceful shutdown.
    #[error("{in_flight} requests were still in flight after {seconds} s")]
    DrainTimedOut {
        /// Number of requests in flight.
        in_flight: i64,
        /// Drain timeout, in seconds.
        seconds: u64,
    },
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RouterError> {
    TcpListener::bind(address).await.map_err(|source| RouterError::Listen { address, source })
}

/// Runs a router until `stop` completes, then finishes the requests in flight.
pub async fn run(
    config: RouterConfig,
    stop: impl Future<Output = ()> + Send,
) -> Result<(), RouterError> {
    let config = Arc::new(config);
    let callers = listen(config.caller).await?;
    let operators = listen(config.operator).await?;
    let state = start(Arc::clone(&config)).await?;
    let (close, closed) = watch::channel(false);
    let connections = Connections::new(caller_memory(&config.limits));
    let limits = HttpLimits::default();
    let serve = |listener, api| {
        juniper_intake::serve(listener, api, connections.clone(), limits, closed.clone())
    };
    let caller_server = serve(callers, http_api::caller_api(Arc::clone(&state)));
    let operator_server = serve(operators, http_api::operator_api(Arc::clone(&state)));
    let servers = async { tokio::try_join!(caller_server, operator_server) };
    log::info!(
        "event=router_started node={} zone={} callers={} operators={}",
        config.node,
        config.zone,
        config.caller,
        config.operator
    );
    tokio::pin!(servers);
    let drain = async {
        stop.await;
        drain(&state).await
    };
    tokio::pin!(drain);
    let drained = tokio::select! {
        ended = &mut servers => return ended.map(|_| ()).map_err(RouterError::Serve),
        drained = &mut drain => drained,
    };
    state.plane.leave().await;
    let _ = close.send(true);
    // All answers have been sent or the drain has timed out.
    let _ = timeout(CLOSE_TIMEOUT, servers).await;
    log::info!("event=router_stopped node={}", config.node);
    drained
}

/// Client for requests to back ends. Keepalive probes end connections to hosts without power, whose
/// answers are otherwise waited for without end.
fn back_end_client() -> Result<reqwest::Client, reqwest::Error> {
    let timeouts = PeerTimeouts::SERVER;
    reqwest::Client::builder()
        .connect_timeout(BACK_END_CONNECT_TIMEOUT)
        .tcp_keepalive(timeouts.keepalive_interval)
        .tcp_keepalive_interval(timeouts.keepalive_interval)
        .tcp_keepalive_retries(timeouts.keepalive_probes)
        .tcp_user_timeout(timeouts.unacknowledged)
        .no_proxy()
        .build()
}

async fn start(config: Arc<RouterConfig>) -> Result<Arc<RouterState>, RouterError> {
    let plane = ControlPlane::start(&config, &Reachability::default()).await?;
    let back_ends = Arc::new(BackEnds::default());
    tokio::spawn(apply_back_ends(plane.settings.clone(), Arc::clone(&back_ends)));
    let http = back_end_client()?;
    tokio::spawn(engine_pollers::manage_pollers(
        plane.settings.clone(),
        plane.peers.clone(),
        http.clone(),
        Arc::clone(&plane.engines),
        Arc::clone(&plane.hub),
    ));
    tokio::spawn(engine_pollers::maintain(Arc::clone(&plane.engines)));
    tokio::spawn(log_suspensions());
    let metrics = Metrics::new()?;
    let crashes = start_crash_watch(&config, &metrics, &plane, &back_ends);
    Ok(Arc::new(RouterState {
        crashes,
        plane,
        back_ends,
        http,
        metrics,
        limits: Arc::new(Limits::default()),
        slots: Arc::new(Semaphore::new(config.limits.max_in_flight)),
        stopping: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        started: BootInstant::now(),
        config,
    }))
}

/// Starts the crash watch and its subscription to the control replicas' feed.
fn start_crash_watch(
    config: &RouterConfig,
    metrics: &Metrics,
    plane: &ControlPlane,
    back_ends: &Arc<BackEnds>,
) -> Arc<Crashes> {
    let feed = Feed::start(FeedSettings {
        key: config.cluster_key.clone(),
        own: config.identity(),
        seeds: config.control.iter().map(|replica| replica.id).collect(),
        addresses: config.control.iter().map(|replica| (replica.id, replica.address)).collect(),
    });
    let watch = Arc::new(CrashWatch::new(feed.clone(), metrics.crashes.clone()));
    tokio::spawn(Arc::clone(&watch).run());
    tokio::spawn(apply_quarantines(feed, Arc::clone(&watch)));
    let key = config.cluster_key.fingerprint_key();
    let known = (Arc::clone(&plane.engines), Arc::clone(back_ends));
    Arc::new(Crashes::new(watch, key, config.node, known))
}

/// Applies the back ends of each settings revision until the settings channel closes.
async fn apply_back_ends(mut view: watch::Receiver<SettingsView>, back_ends: Arc<BackEnds>) {
    loop {
        let in_force = view.borrow_and_update().in_force.clone();
        back_ends.apply_settings(&in_force);
        if view.changed().await.is_err() {
            return;
        }
    }
}

/// Account of the memory that callers and operators make the router hold.
fn caller_memory(limits: &RouterLimits) -> CallerMemory {
    let machine = MachineLimits::from_megabytes(limits.memory_mb, limits.max_descriptors);
    let mut budget = BudgetLimits::of_machine(machine);
    budget.connections = match machine.descriptors {
        Some(_) => budget.connections.min(limits.max_connections),
        None => limits.max_connections,
    };
    CallerMemory::new(budget)
}

/// Reports not ready, then refuses new requests and waits for those in flight.
async fn drain(state: &RouterState) -> Result<(), RouterError> {
    state.stopping.store(true, Ordering::Release);
    log::info!("event=drain_started in_flight={}", state.metrics.in_flight.get());
    sleep(READY_GRACE).await;
    state.closed.store(true, Ordering::Release);
    let seconds = state.config.limits.drain_seconds;
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let in_flight = state.metrics.in_flight.get();
        if in_flight == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(RouterError::DrainTimedOut { in_flight, seconds });
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}
