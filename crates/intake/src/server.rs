//! Serves an `axum` router to callers that are not trusted.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::connections::{ConnectionLease, Connections, RequestGuard};
use crate::discard::{DiscardOnDrop, discard};
use crate::kept::keep_until_written;
use crate::memory::{AnswerLease, CallerMemory};
use crate::read::{ReadError, ReadLimits, read_body};
use crate::segments::{HeldBody, SegmentedBody};
use crate::write_timeout::WriteTimeoutStream;

/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that a call's handler holds for each byte of the body: the body in one piece, the parsed
/// value, the encoded command, and its place in the log.
const HANDLER_FACTOR: usize = 4;

/// Body below which the handler's memory isn't accounted for, in bytes.
const SMALL_BODY: usize = 64 << 10;

/// Limits on the requests of an HTTP interface.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Largest head of a request, in bytes; at least 8,192.
    pub head_bytes: usize,
    /// Longest time until the head of the next request has arrived.
    pub head_timeout: Duration,
    /// Longest body, in bytes. `None` if the handlers read bodies themselves, after they have checked the
    /// caller, with [`read_body`] and the account that each request carries as an extension.
    pub body_bytes: Option<usize>,
    /// Longest time between two pieces of a body.
    pub body_idle_timeout: Duration,
    /// Longest time for a whole body.
    pub body_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        HttpLimits {
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(60),
            body_bytes: Some(4 << 20),
            body_idle_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(60),
        }
    }
}

/// Serves the router until `closed` is set, and then until the open connections have ended.
///
/// # Errors
/// Fails if the listener has no address.
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
            log::debug!("event=connection_refused address={address}");
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
            () = self.lease.evicted() => return log::debug!("event=idle_connection_closed"),
            () = is_closed(&mut closed) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("event=connection_ended reason=\"{error}\"");
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response, CallerLeft> {
        let guard = self.lease.begin_request();
        let (request, handling) = match self.limits.body_bytes {
            Some(max_bytes) => match self.read_request(request, max_bytes).await {
                Ok((request, handling)) => (request, Some(handling)),
                Err(refusal) => return refusal.ok_or(CallerLeft),
            },
            None => (self.pass_on(request), None),
        };
        let service = TowerToHyperService::new(self.router.clone());
        let Ok(response) = hyper::service::Service::call(&service, request).await;
        let lease = Arc::new(CallLease { _guard: guard, _handling: handling });
        Ok(response.map(|body| Body::new(LeasedBody { body, lease })))
    }

    /// Passes on a request whose body the handler reads.
    fn pass_on(&self, request: Request<Incoming>) -> Request<Body> {
        let mut request = request.map(|body| Body::new(DiscardOnDrop::new(body)));
        request.extensions_mut().insert(self.memory.clone());
        request
    }

    /// Reads the body of a request, and holds what its handler takes. The error is the refusal, if there
    /// is anyone to refuse.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        max_bytes: usize,
    ) -> Result<(Request<Body>, AnswerLease), Option<Response>> {
        let (head, mut body) = request.into_parts();
        let limits = ReadLimits {
            max_bytes,
            idle_timeout: self.limits.body_idle_timeout,
            deadline: Instant::now() + self.limits.body_timeout,
        };
        let read = read_body(&self.memory, &mut body, limits).await;
        let held = read.and_then(|body| {
            self.hold_handler(&body).map(|handling| (body, handling)).ok_or(ReadError::NoMemory)
        });
        match held {
            Ok((held, handling)) => {
                Ok((Request::from_parts(head, Body::new(SegmentedBody::from(held))), handling))
            }
            Err(error) => {
                if !head.headers.contains_key(EXPECT) {
                    discard(body);
                }
                Err(refusal(&head.method, head.uri.path(), error))
            }
        }
    }

    /// Holds what the handler takes besides the body.
    fn hold_handler(&self, body: &HeldBody) -> Option<AnswerLease> {
        let bytes = if body.len() > SMALL_BODY { body.len() * HANDLER_FACTOR } else { 0 };
        self.memory.hold_answer(bytes)
    }
}

/// The caller has left, so there is no one to answer.
#[derive(Debug, thiserror::Error)]
#[error("the caller has left")]
struct CallerLeft;

/// Answer to a call whose body wasn't read; `None` if the caller has left.
fn refusal(method: &hyper::Method, path: &str, error: ReadError) -> Option<Response> {
    let status = match error {
        ReadError::CallerLeft => return None,
        ReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::TooLate | ReadError::Stalled => StatusCode::REQUEST_TIMEOUT,
        ReadError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
    };
    log::info!(
        "event=call_refused method={method} path={path} status={} reason=\"{error}\"",
        status.as_u16()
    );
    let mut response = Response::new(Body::from(format!("{{\"error\":\"{error}\"}}")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    Some(response)
}

/// What a call holds until its answer has been passed to the connection.
struct CallLease {
    _guard: RequestGuard,
    _handling: Option<AnswerLease>,
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
