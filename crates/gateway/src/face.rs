//! Connections of callers, and the addresses for readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::AnswerBody;
use crate::call;
use crate::gateway::Gateway;
use crate::life::{Stop, Tracker};

/// Pause after the listener failed, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle time of a caller's connection while no configuration states one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// By how much a connection may be idle longer than callers are told.
const IDLE_SLACK: Duration = Duration::from_millis(1_000);

/// Least read buffer that hyper takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Longest time for one question for readiness or metrics. They are answered one
/// after the other.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections of callers, for ever.
pub(crate) async fn serve_callers(gateway: Arc<Gateway>, listener: TcpListener, open: Tracker) {
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let (gateway, tracked) = (Arc::clone(&gateway), open.track());
        gateway.metrics.callers.inc();
        tokio::spawn(async move {
            serve_caller(&gateway, stream).await;
            gateway.metrics.callers.dec();
            drop(tracked);
        });
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("event=accept_failed reason=\"{error}\"");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn serve_caller(gateway: &Arc<Gateway>, stream: TcpStream) {
    // A connection without it works too, only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let gateway = Arc::clone(gateway);
        async move { answer(&gateway, request).await }
    });
    let (idle_timeout, buffer_bytes) = connection_bounds(gateway);
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle_timeout).max_buf_size(buffer_bytes);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stop = gateway.stop.clone();
    tokio::select! {
        ended = connection.as_mut() => return note_end(ended),
        () = wait_for(&mut stop, Stop::ClosingConnections) => {}
    }
    connection.as_mut().graceful_shutdown();
    note_end(connection.await);
}

fn note_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended reason=\"{error}\"");
    }
}

/// Completes once the stop has come to `phase`.
async fn wait_for(stop: &mut watch::Receiver<Stop>, phase: Stop) {
    if stop.wait_for(|reached| *reached >= phase).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// How long a connection may be idle or take for a head, and its buffer in bytes.
fn connection_bounds(gateway: &Gateway) -> (Duration, usize) {
    let view = gateway.feed.latest();
    let Some(index) = &view.catalog else {
        return (DEFAULT_IDLE_TIMEOUT + IDLE_SLACK, MIN_BUFFER_BYTES * 2);
    };
    let limits = index.catalog().limits;
    let idle_ms = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let buffer_bytes = (limits.header_bytes as usize).max(MIN_BUFFER_BYTES);
    (Duration::from_millis(idle_ms) + IDLE_SLACK, buffer_bytes)
}

/// The caller has left, so there is nobody to answer.
#[derive(Debug, thiserror::Error)]
#[error("the caller has left")]
struct CallerLeft;

async fn answer(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallerLeft> {
    let mut response = call::answer(gateway, request).await.ok_or(CallerLeft)?;
    if *gateway.stop.borrow() != Stop::Running {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Answers questions for readiness: 200 while callers may be sent here.
pub(crate) async fn serve_readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_plain(listener, move || {
        let status = match gateway.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, Bytes::new())
    })
    .await;
}

/// Tells the counters.
pub(crate) async fn serve_metrics(gateway: Arc<Gateway>, listener: TcpListener) {
    serve_plain(listener, move || {
        let metrics = &gateway.metrics;
        let age = gateway.feed.confirmation_age().map_or(-1, |age| age.as_millis() as i64);
        metrics.catalog_age_ms.set(age);
        let limited = gateway.placement().limited_servers();
        let resting = gateway.placement().resting_servers(gateway.now());
        metrics.resting_servers.set(i64::try_from(resting).unwrap_or(i64::MAX));
        metrics.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
        metrics.catalog_version.set(gateway.feed.latest().catalog_version() as i64);
        (StatusCode::OK, Bytes::from(metrics.text()))
    })
    .await;
}

/// Answers every request alike.
async fn serve_plain(listener: TcpListener, answer: impl Fn() -> (StatusCode, Bytes)) {
    let answer = &answer;
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let service = service_fn(move |_request: Request<Incoming>| async move {
            let (status, body) = answer();
            let mut response = Response::new(AnswerBody::whole(body));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(DEFAULT_IDLE_TIMEOUT);
        let connection = builder.keep_alive(false).serve_connection(TokioIo::new(stream), service);
        let served = tokio::time::timeout(PLAIN_TIMEOUT, connection).await;
        if !matches!(served, Ok(Ok(()))) {
            log::debug!("event=plain_connection_failed");
        }
    }
}
