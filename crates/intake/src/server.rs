//! Serves an `axum` router to callers that are not trusted.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use hyper::Request;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connections::{ConnectionLease, Connections, RequestGuard};
use crate::discard::DiscardOnDrop;
use crate::hold::refusal;
use crate::kept::keep_until_written;
use crate::memory::{AnswerLease, CallerMemory};
use crate::read::ReadError;
use crate::write_timeout::WriteTimeoutStream;

/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answer above which its memory is accounted for, in bytes.
const SMALL_ANSWER: usize = 64 << 10;

/// Extension of an answer whose body the process holds anyway, so that it isn't accounted for.
#[derive(Clone, Copy, Debug)]
pub struct SharedAnswer;

/// Limits on the requests of an HTTP interface.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest head of a request, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Longest time until the head of the next request has arrived.
    pub head_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits { head_bytes: 16 << 10, head_timeout: Duration::from_secs(60) }
    }
}

/// Serves the router until `closed` is set, and then until the open connections have ended.
///
/// # Errors
/// Fails if the listener has no address.
///
/// Each request carries the account as an extension, for handlers that call [`crate::read_body`].
pub async fn serve(
    listener: TcpListener,
    router: Router,
    connections: Connections,
    limits: HttpLimits,
    mut closed: watch::Receiver<bool>,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let (open, mut all_ended) = tokio::sync::mpsc::channel::<Infallible>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = is_closed(&mut closed) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed address={address} reason=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Some(lease) = connections.admit(limits.head_bytes).await else {
            log::warn!("event=caller_not_admitted address={address} reason=no_room");
            continue;
        };
        let connection = HttpConnection {
            router: router.clone(),
            memory: connections.memory().clone(),
            limits,
            lease,
        };
        let (closed, open) = (closed.clone(), open.clone());
        tokio::spawn(async move {
            connection.serve(stream, closed).await;
            drop(open);
        });
    }
    drop((listener, open));
    while all_ended.recv().await.is_some() {}
    Ok(())
}

/// Completes once `closed` is set; never if its sender is gone.
async fn is_closed(closed: &mut watch::Receiver<bool>) {
    if closed.wait_for(|closed| *closed).await.is_err() {
        std::future::pending::<()>().await;
    }
}

struct HttpConnection {
    router: Router,
    memory: CallerMemory,
    limits: HttpLimits,
    lease: ConnectionLease,
}

impl HttpConnection {
    async fn serve(self, stream: TcpStream, mut closed: watch::Receiver<bool>) {
        // Without it the connection is only slower.
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.head_bytes);
        let service = service_fn(|request| self.answer(request));
        let stream = WriteTimeoutStream::new(stream, self.limits.head_timeout);
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.lease.evicted() => return log::info!("event=idle_caller_evicted reason=no_room"),
            () = is_closed(&mut closed) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("event=connection_ended reason=\"{error}\"");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response, Infallible> {
        let guard = self.lease.begin_request();
        let mut request = request.map(|body| Body::new(DiscardOnDrop::new(body)));
        request.extensions_mut().insert(self.memory.clone());
        let service = TowerToHyperService::new(self.router.clone());
        let Ok(response) = hyper::service::Service::call(&service, request).await;
        let bytes = hyper::body::Body::size_hint(response.body()).lower();
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let is_shared = response.extensions().get::<SharedAnswer>().is_some();
        let held = if bytes > SMALL_ANSWER && !is_shared { bytes } else { 0 };
        let Some(memory) = self.memory.hold_answer(held) else {
            return Ok(refusal(ReadError::NoMemory).into_response());
        };
        let lease = Arc::new(CallLease { _guard: guard, _memory: memory });
        Ok(response.map(|body| Body::new(LeasedBody { body, lease })))
    }
}

/// What a call holds until its answer has been passed to the connection.
struct CallLease {
    _guard: RequestGuard,
    _memory: AnswerLease,
}

/// Body of an answer that keeps the lease of its call until it has been written.
struct LeasedBody {
    body: Body,
    lease: Arc<CallLease>,
}

impl hyper::body::Body for LeasedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let LeasedBody { body, lease } = self.get_mut();
        let polled = Pin::new(body).poll_frame(context);
        polled.map_ok(|frame| frame.map_data(|data| keep_until_written(data, Arc::clone(lease))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
