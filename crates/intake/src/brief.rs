//! Serves checks and metrics, which are answered at once and one to a connection.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// Connections that may be open at once. One more takes the place of the oldest.
const MAX_CONNECTIONS: usize = 16;

/// Time after which a connection is closed, whatever it has sent.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Largest head of a request, in bytes; the smallest limit that the HTTP library accepts.
const HEAD_BYTES: usize = 8 << 10;

/// Delay after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers each request with what `answer` returns, whatever the request is. Silent connections don't
/// delay the others.
pub async fn serve_brief<F>(listener: TcpListener, answer: F)
where
    F: Fn() -> (StatusCode, Bytes) + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    let mut open = VecDeque::<AbortHandle>::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= MAX_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        let serving = tokio::spawn(serve_one(stream, Arc::clone(&answer)));
        open.push_back(serving.abort_handle());
    }
}

async fn serve_one<F>(stream: TcpStream, answer: Arc<F>)
where
    F: Fn() -> (StatusCode, Bytes),
{
    let service = service_fn(|_request: Request<Incoming>| async {
        let (status, body) = answer();
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        Ok::<_, Infallible>(response)
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(HEAD_BYTES).keep_alive(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    if !matches!(timeout(TIMEOUT, connection).await, Ok(Ok(()))) {
        log::debug!("event=brief_connection_failed");
    }
}
