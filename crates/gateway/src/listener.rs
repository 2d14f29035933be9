//! HTTP listeners for callers, readiness checks and metrics.

use std::net::{IpAddr, Ipv4Addr};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use juniper_intake::{ConnectionLease, WriteTimeoutStream, serve_brief};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body::LeasedBody;
use crate::call;
use crate::counted_stream::CountedStream;
use crate::gateway::Gateway;
use crate::lifecycle::{ConnectionTracker, ShutdownPhase};

/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between two measurements of the link while connections are refused.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Idle timeout of callers' connections while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time by which the actual idle timeout exceeds the configured one.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_millis(1_000);

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Accepts connections of callers and serves each in a task of its own. While this router's link is
/// too busy, new connections are refused, so that their callers ask another router at once.
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    mut listener: TcpListener,
    open: ConnectionTracker,
) {
    loop {
        if !gateway.accepts_connections() {
            // Their requests are on the way already.
            while let Some(Some(stream)) = accept_stream(&listener).now_or_never() {
                spawn_caller(&gateway, stream, &open).await;
            }
            listener = refuse_callers(&gateway, listener).await;
        }
        if let Some(stream) = accept_stream(&listener).await {
            spawn_caller(&gateway, stream, &open).await;
        }
    }
}

/// Serves a connection in a task of its own, or closes it if there is no room for it.
async fn spawn_caller(gateway: &Arc<Gateway>, stream: TcpStream, open: &ConnectionTracker) {
    gateway.measure_link().record_accepted(gateway.now());
    let bounds = ConnectionBounds::of(gateway);
    let Some(lease) = gateway.connections.admit(bounds.head_bytes).await else {
        gateway.metrics.count_failed_caller("no_room");
        let peer = peer_of(&stream);
        return log::warn!("event=caller_not_admitted peer={peer} reason=no_room");
    };
    let (gateway, tracked) = (Arc::clone(gateway), open.track());
    gateway.metrics.callers.inc();
    tokio::spawn(async move {
        serve_caller(&gateway, stream, lease, bounds).await;
        gateway.metrics.callers.dec();
        drop(tracked);
    });
}

/// Closes the listener, so that new connections are refused without a byte of their requests, until
/// the link is free again. Returns a new listener at the same address.
async fn refuse_callers(gateway: &Gateway, listener: TcpListener) -> TcpListener {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(error) => {
            log::warn!("event=listener_not_closed reason=\"{error}\"");
            return listener;
        }
    };
    gateway.metrics.refusing_callers.inc();
    log::info!(
        "event=callers_refused link_share={:.2}",
        gateway.measure_link().share(gateway.now())
    );
    drop(listener);
    while !gateway.accepts_connections() {
        sleep(LINK_CHECK_INTERVAL).await;
    }
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => {
                log::info!(
                    "event=callers_accepted link_share={:.2}",
                    gateway.measure_link().share(gateway.now())
                );
                return listener;
            }
            Err(error) => {
                log::warn!("event=listen_failed address={address} reason=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts a connection; `None` after a failure, for example for lack of file descriptors.
pub(crate) async fn accept_stream(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("event=accept_failed reason=\"{error}\"");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Address of a caller, for logs.
fn peer_of(stream: &TcpStream) -> IpAddr {
    stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip())
}

async fn serve_caller(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
    lease: ConnectionLease,
    bounds: ConnectionBounds,
) {
    let peer = peer_of(&stream);
    // Without it the connection is only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle_request(gateway, &lease, request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(bounds.head_bytes);
    let stream = CountedStream::new(stream, &gateway.link_counters.callers);
    let stream = WriteTimeoutStream::new(stream, bounds.idle_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut shutdown = gateway.shutdown.clone();
    tokio::select! {
        result = connection.as_mut() => return log_connection_end(gateway, result),
        () = lease.evicted() => {
            gateway.metrics.count_failed_caller("evicted");
            return log::info!("event=idle_caller_evicted peer={peer} reason=no_room");
        }
        () = wait_for_phase(&mut shutdown, ShutdownPhase::ClosingConnections) => {}
    }
    connection.as_mut().graceful_shutdown();
    log_connection_end(gateway, connection.await);
}

fn log_connection_end(gateway: &Gateway, result: Result<(), hyper::Error>) {
    let Err(error) = result else { return };
    let kind = match &error {
        error if error.is_timeout() => "head_timeout",
        error if error.is_parse() => "malformed",
        error if error.is_user() => "answer_incomplete",
        _ => "connection",
    };
    gateway.metrics.count_failed_caller(kind);
    log::debug!("event=caller_connection_ended kind={kind} reason=\"{error}\"");
}

/// Waits until the shutdown has reached `phase`.
async fn wait_for_phase(shutdown: &mut watch::Receiver<ShutdownPhase>, phase: ShutdownPhase) {
    if shutdown.wait_for(|reached| *reached >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Bounds on a caller's connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionBounds {
    /// Idle timeout, which also bounds the time for a request head and for reading an answer.
    idle_timeout: Duration,
    /// Largest head of a request, in bytes.
    head_bytes: usize,
}

impl ConnectionBounds {
    /// Bounds that the configuration states.
    fn of(gateway: &Gateway) -> Self {
        let view = gateway.feed.latest();
        let head_bytes = match &view.catalog {
            Some(index) => (index.catalog().limits.header_bytes as usize).max(MIN_BUFFER_BYTES),
            None => MIN_BUFFER_BYTES * 2,
        };
        ConnectionBounds { idle_timeout: gateway.idle_timeout(), head_bytes }
    }
}

impl Gateway {
    /// Time for which callers may send or read nothing.
    pub(crate) fn idle_timeout(&self) -> Duration {
        let view = self.feed.latest();
        let configured = view.catalog.as_ref().map_or(DEFAULT_IDLE_TIMEOUT, |index| {
            let limits = index.catalog().limits;
            Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms))
        });
        configured + IDLE_TIMEOUT_SLACK
    }
}

/// The caller has left, so there is no one to answer.
#[derive(Debug, thiserror::Error)]
#[error("the caller has left")]
struct CallerLeft;

async fn handle_request(
    gateway: &Arc<Gateway>,
    connection: &ConnectionLease,
    request: Request<Incoming>,
) -> Result<Response<LeasedBody>, CallerLeft> {
    gateway.link_counters.record_request();
    let request_guard = connection.begin_request();
    let mut response = call::answer_request(gateway, request).await.ok_or(CallerLeft)?;
    let is_leaving = *gateway.shutdown.borrow() != ShutdownPhase::Running;
    // The caller opens its next connection to a router that has room.
    if is_leaving || !gateway.accepts_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| LeasedBody::new(body, request_guard)))
}

/// Serves readiness checks: 200 while the gateway accepts new callers, 503 otherwise.
pub(crate) async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_brief(listener, move || {
        let status = match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, Bytes::new())
    })
    .await;
}

/// Serves the metrics in Prometheus text format.
pub(crate) async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_brief(listener, move || {
        let metrics = &gateway.metrics;
        let age = gateway.feed.confirmation_age().map_or(-1, |age| age.as_millis() as i64);
        metrics.catalog_age_ms.set(age);
        let limited = gateway.placement().count_limited_servers();
        let backing_off = gateway.placement().count_backing_off_servers(gateway.now());
        metrics.backing_off_servers.set(i64::try_from(backing_off).unwrap_or(i64::MAX));
        metrics.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
        metrics.routers.set(i64::from(gateway.feed.sharing_router_count().unwrap_or(0)));
        metrics.catalog_version.set(gateway.feed.latest().catalog_version() as i64);
        metrics.caller_memory.set(gateway.memory.usage(), gateway.memory.limits());
        (StatusCode::OK, Bytes::from(metrics.text()))
    })
    .await;
}
