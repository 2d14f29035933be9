//! Connections to servers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use juniper_clock::BootInstant;
use juniper_intake::SegmentedBody;
use juniper_protocol::PeerTimeouts;
use juniper_registry::InstanceId;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::counted_stream::CountedStream;
use crate::head_limit::HeadLimit;
use crate::lock::lock;
use crate::tunnel::TunnelGuard;

/// Longest idle time of a pooled connection, unless the server states a shorter one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Time by which a pooled connection expires before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Read buffer of a connection, in bytes; the smallest that hyper accepts.
const BUFFER_BYTES: usize = 8 << 10;

/// Why no connection could be provided. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("connection timed out")]
    Timeout,
    #[error("connection failed: {0}")]
    Connect(#[from] io::Error),
    #[error("HTTP connection failed: {0}")]
    Handshake(#[from] hyper::Error),
    #[error("neither this router nor others can connect")]
    NoPath,
    #[error("connection limit of this router reached")]
    Exhausted,
}

impl ConnectError {
    /// Whether the address refused the connection.
    pub(crate) fn is_refused(&self) -> bool {
        let ConnectError::Connect(error) = self else { return false };
        error.kind() == io::ErrorKind::ConnectionRefused
    }
}

/// A connection that serves one request at a time. Dropping it closes it.
pub(crate) struct ServerConnection {
    pub sender: SendRequest<SegmentedBody>,
    pub head_limit: HeadLimit,
    pub reused: bool,
    /// Whether the server has stated over this connection that it is the expected incarnation.
    pub is_proven: bool,
    /// The tunnel that carries the connection, unless it is direct.
    tunnel: Option<TunnelGuard>,
    task: AbortHandle,
    /// Counts the connection as open until it is dropped.
    _open: OpenGuard,
}

impl ServerConnection {
    /// The tunnel that carries the connection, unless it is direct.
    pub(crate) fn tunnel(&self) -> Option<&TunnelGuard> {
        self.tunnel.as_ref()
    }
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        // The task owns the socket; aborting it closes the socket, which the server notices at
        // once.
        self.task.abort();
    }
}

struct IdleConnection {
    connection: ServerConnection,
    /// Expiry on the clock that counts suspensions, in which the server's idle time goes on.
    expires_at: BootInstant,
}

/// Opens a TCP connection to the address.
pub(crate) async fn open_stream(
    address: SocketAddrV4,
    connect_timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    let stream = timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| ConnectError::Timeout)??;
    stream.set_nodelay(true)?;
    PeerTimeouts::SERVER.apply(&stream)?;
    Ok(stream)
}

/// Number of open connections by server.
type OpenCounts = Arc<Mutex<HashMap<InstanceId, u32>>>;

pub(crate) struct OpenGuard {
    counts: OpenCounts,
    instance: InstanceId,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut counts = lock(&self.counts);
        if let Some(count) = counts.get_mut(&self.instance) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.instance);
            }
        }
    }
}

/// Idle connections and number of open connections by server.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<InstanceId, Vec<IdleConnection>>>,
    open: OpenCounts,
}

impl Pool {
    /// Starts HTTP on a new stream to the server, which was opened under `open`.
    pub(crate) async fn start_http(
        &self,
        stream: CountedStream,
        tunnel: Option<TunnelGuard>,
        open: OpenGuard,
    ) -> Result<ServerConnection, ConnectError> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let head_limit = stream.head_limit();
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // The error is also reported to the sender of the request.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        Ok(ServerConnection {
            sender,
            head_limit,
            reused: false,
            is_proven: false,
            tunnel,
            task,
            _open: open,
        })
    }

    /// Counts a new connection to the server, unless `limit` are open.
    pub(crate) fn count_open(&self, instance: &InstanceId, limit: u32) -> Option<OpenGuard> {
        let mut counts = lock(&self.open);
        let count = counts.entry(instance.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(OpenGuard { counts: Arc::clone(&self.open), instance: instance.clone() })
    }

    /// Closes the idle direct connections to the servers that satisfy `condition`.
    pub(crate) fn close_idle(&self, condition: impl Fn(&InstanceId) -> bool) {
        let mut idle = lock(&self.idle);
        for (server, pooled) in idle.iter_mut().filter(|(server, _)| condition(server)) {
            let before = pooled.len();
            pooled.retain(|idle| idle.connection.tunnel.is_some());
            let closed = before - pooled.len();
            log::debug!("event=idle_connections_closed instance={server} count={closed}");
        }
    }

    /// Takes the most recently used idle connection to the server.
    pub(crate) fn take_idle(&self, instance: &InstanceId) -> Option<ServerConnection> {
        let mut idle = lock(&self.idle);
        let pooled = idle.get_mut(instance)?;
        let now = BootInstant::now();
        while let Some(IdleConnection { mut connection, expires_at }) = pooled.pop() {
            if now < expires_at && connection.sender.is_ready() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read completely. `server_timeout` is
    /// the idle time after which the server closes it, if stated.
    pub(crate) fn put_back(
        &self,
        instance: &InstanceId,
        connection: ServerConnection,
        server_timeout: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle = server_timeout
            .map_or(MAX_IDLE_TIME, |idle| idle.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME));
        if idle.is_zero() {
            return;
        }
        let idle_until = BootInstant::now() + idle;
        let expires_at = match &connection.tunnel {
            Some(tunnel) => idle_until.min(tunnel.reusable_until),
            None => idle_until,
        };
        lock(&self.idle)
            .entry(instance.clone())
            .or_default()
            .push(IdleConnection { connection, expires_at });
    }

    /// Closes connections whose idle time is over, and those to servers no longer in use.
    pub(crate) fn sweep(&self, is_used: impl Fn(&InstanceId) -> bool) {
        let now = BootInstant::now();
        let mut idle = lock(&self.idle);
        idle.retain(|instance, pooled| {
            pooled.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
            !pooled.is_empty() && is_used(instance)
        });
    }
}
