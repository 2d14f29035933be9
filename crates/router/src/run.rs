//! Starts a router, serves until told to stop, and drains.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use juniper_sharing::RouterLife;
use juniper_types::Incarnation;
use kameo::actor::{ActorRef, Spawn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::backends::BackEnds;
use crate::config::RouterConfig;
use crate::control_client::ControlClient;
use crate::engines::Engines;
use crate::faces;
use crate::feeds;
use crate::metrics::Metrics;
use crate::peers::{self, Leave, MembershipActor, MembershipArguments, PeerView};
use crate::settings_file::{SettingsFile, SettingsFileError};
use crate::shared::Shared;
use crate::sharing::{self, SharingHub};
use crate::subscription::{SettingsActor, SettingsView, keep_subscribed};

/// Time within which a connection to a back end must stand.
const BACK_END_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a planned stop looks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Time between `ready` going false and the listeners closing, so that load
/// balancers see it first.
const READY_GRACE: Duration = Duration::from_millis(500);

/// Longest wait for idle connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a router could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The settings file is unusable.
    #[error(transparent)]
    SettingsFile(#[from] SettingsFileError),
    /// The HTTP client could not be made.
    #[error("can't make the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The metrics could not be registered.
    #[error("can't register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// A face stopped serving.
    #[error("serving failed: {0}")]
    Serve(io::Error),
    /// Requests were still in flight when the time for a planned stop ran out.
    #[error("{in_flight} requests were still in flight after {seconds} s")]
    DrainTimedOut {
        /// How many.
        in_flight: i64,
        /// How long the stop waited, in seconds.
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
    let gossip = UdpSocket::bind(config.internal)
        .await
        .map_err(|source| RouterError::Listen { address: config.internal, source })?;
    let internal = listen(config.internal).await?;
    let (shared, membership) = start(Arc::clone(&config), gossip)?;
    tokio::spawn(sharing::serve(Arc::clone(&shared.hub), internal));
    let (close, closed) = watch::channel(false);
    let caller_face = serve(callers, faces::callers(Arc::clone(&shared)), closed.clone());
    let operator_face = serve(operators, faces::operators(Arc::clone(&shared)), closed);
    let faces = async { tokio::try_join!(caller_face, operator_face) };
    log::info!(
        "event=router_started node={} zone={} callers={} operators={}",
        config.node,
        config.zone,
        config.caller,
        config.operator
    );
    tokio::pin!(faces);
    let drain = async {
        stop.await;
        drain(&shared).await
    };
    tokio::pin!(drain);
    let drained = tokio::select! {
        ended = &mut faces => return ended.map(|_| ()).map_err(RouterError::Serve),
        drained = &mut drain => drained,
    };
    let _ = membership.ask(Leave).await;
    let _ = close.send(true);
    // Every answer has been sent; what is left are idle connections.
    let _ = timeout(CLOSE_TIMEOUT, faces).await;
    log::info!("event=router_stopped node={}", config.node);
    drained
}

fn start(
    config: Arc<RouterConfig>,
    gossip: UdpSocket,
) -> Result<(Arc<Shared>, ActorRef<MembershipActor>), RouterError> {
    let identity = config.identity();
    let file = match &config.data_folder {
        Some(folder) => Some(SettingsFile::open(folder)?),
        None => None,
    };
    let (view_sender, view) = watch::channel(SettingsView::default());
    let actor = SettingsActor::spawn(SettingsActor::new(view_sender, file)?);
    let control = Arc::new(ControlClient::new(&config, &identity));
    let back_ends = Arc::new(BackEnds::default());
    let engines = Arc::new(Engines::new());
    let metrics = Metrics::new()?;
    let life = Incarnation(rand::random());
    let hub = Arc::new(SharingHub::new(
        RouterLife { node: config.node, life },
        identity.clone(),
        config.cluster_key.clone(),
        config.limits.full_follow_engines,
        Arc::clone(&engines),
    ));
    let (peer_sender, peers) = watch::channel(PeerView::default());
    let membership = peers::spawn(MembershipArguments {
        config: Arc::clone(&config),
        life,
        socket: gossip,
        view: peer_sender,
        metrics: metrics.clone(),
    });
    tokio::spawn(follow_back_ends(view.clone(), Arc::clone(&back_ends)));
    tokio::spawn(keep_subscribed(
        Arc::clone(&config),
        identity,
        actor,
        Arc::clone(&control),
        view.clone(),
    ));
    let http =
        reqwest::Client::builder().connect_timeout(BACK_END_CONNECT_TIMEOUT).no_proxy().build()?;
    tokio::spawn(feeds::follow_settings(
        view.clone(),
        peers.clone(),
        http.clone(),
        Arc::clone(&engines),
        Arc::clone(&hub),
    ));
    tokio::spawn(sharing::run_rounds(Arc::clone(&hub), peers.clone()));
    tokio::spawn(feeds::maintain(Arc::clone(&engines)));
    let shared = Arc::new(Shared {
        settings: view,
        control,
        back_ends,
        engines,
        hub,
        peers,
        http,
        metrics,
        slots: Arc::new(Semaphore::new(config.limits.max_in_flight)),
        stopping: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        started: Instant::now(),
        config,
    });
    Ok((shared, membership))
}

async fn follow_back_ends(mut view: watch::Receiver<SettingsView>, back_ends: Arc<BackEnds>) {
    loop {
        let in_force = view.borrow_and_update().in_force.clone();
        back_ends.follow(&in_force);
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn serve(
    listener: TcpListener,
    face: axum::Router,
    mut closed: watch::Receiver<bool>,
) -> io::Result<()> {
    let closing = async move {
        let _ = closed.wait_for(|closed| *closed).await;
    };
    axum::serve(listener, face).with_graceful_shutdown(closing).await
}

/// Says that the router isn't ready, then refuses new requests and waits for those in flight.
async fn drain(shared: &Shared) -> Result<(), RouterError> {
    shared.stopping.store(true, Ordering::Release);
    log::info!("event=drain_started in_flight={}", shared.metrics.in_flight.get());
    sleep(READY_GRACE).await;
    shared.closed.store(true, Ordering::Release);
    let seconds = shared.config.limits.drain_seconds;
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let in_flight = shared.metrics.in_flight.get();
        if in_flight == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(RouterError::DrainTimedOut { in_flight, seconds });
        }
        sleep(DRAIN_POLL).await;
    }
}
