//! Connections to servers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use juniper_clock::BootInstant;
use juniper_registry::InstanceId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::body::WholeBody;
use crate::lock::lock;

/// Time within which a connection must stand: many round trips between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A server that acknowledges no byte for this long is cut off.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);

/// Silence after which a server is probed, and the pause between probes; the least
/// that the system takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Probes without an answer after which the server is cut off.
const PROBES: u32 = 2;

/// Longest idle time of a kept connection, unless the server states a shorter one.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Time by which a connection is given up before the server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Read buffer of a connection, in bytes; the least that hyper takes.
const BUFFER_BYTES: usize = 8 << 10;

/// Why there is no connection. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("no connection in time")]
    Timeout,
    #[error("can't connect: {0}")]
    Connect(#[from] io::Error),
    #[error("can't start HTTP: {0}")]
    Handshake(#[from] hyper::Error),
    #[error("all connections that this node may open are in use")]
    Exhausted,
}

/// A connection that serves one request at a time. Dropping it closes it.
pub(crate) struct ServerConnection {
    pub sender: SendRequest<WholeBody>,
    pub reused: bool,
    task: AbortHandle,
    /// Counts the connection as open until it is dropped.
    _open: OpenGuard,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        // Ends the task that owns the socket, so that the server notices at once.
        self.task.abort();
    }
}

struct Idle {
    connection: ServerConnection,
    /// On the clock that counts suspensions: the server's idle time goes on in them.
    until: BootInstant,
}

/// Has the system notice a server that is cut off or without power, also while it
/// owes an answer and nothing is sent.
fn watch_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes.with_retries(PROBES))
}

/// Whether the failure shows that nobody listens at the address.
pub(crate) fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// What came of an attempt to open a connection that is closed at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    /// It stood.
    Yes,
    /// Nobody listens.
    Refused,
    /// Nothing came, or another failure.
    No,
}

/// Tries to open a connection to the address.
pub(crate) async fn try_connect(address: SocketAddrV4) -> Reached {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reached::Yes,
        Ok(Err(error)) if is_refused(&error) => Reached::Refused,
        Ok(Err(_)) | Err(_) => Reached::No,
    }
}

/// Counts of open connections by server.
type OpenCounts = Arc<Mutex<HashMap<InstanceId, u32>>>;

struct OpenGuard {
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

/// Idle connections by server, and how many are open.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<InstanceId, Vec<Idle>>>,
    open: OpenCounts,
}

impl Pool {
    /// A connection to the server: the one that was idle for the shortest time, or a new one if
    /// fewer than `limit` are open.
    pub(crate) async fn connect(
        &self,
        instance: &InstanceId,
        address: SocketAddrV4,
        limit: u32,
    ) -> Result<ServerConnection, ConnectError> {
        if let Some(connection) = self.take_idle(instance) {
            return Ok(connection);
        }
        let open = self.count_open(instance, limit).ok_or(ConnectError::Exhausted)?;
        let opening = TcpStream::connect(address);
        let stream =
            timeout(CONNECT_TIMEOUT, opening).await.map_err(|_| ConnectError::Timeout)??;
        stream.set_nodelay(true)?;
        watch_peer(&stream)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // Whoever waits for the answer is told of the error.
            let _ = connection.await;
        });
        Ok(ServerConnection { sender, reused: false, task: task.abort_handle(), _open: open })
    }

    fn count_open(&self, instance: &InstanceId, limit: u32) -> Option<OpenGuard> {
        let mut counts = lock(&self.open);
        let count = counts.entry(instance.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(OpenGuard { counts: Arc::clone(&self.open), instance: instance.clone() })
    }

    fn take_idle(&self, instance: &InstanceId) -> Option<ServerConnection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(instance)?;
        let now = BootInstant::now();
        while let Some(Idle { mut connection, until }) = kept.pop() {
            if now < until && connection.sender.is_ready() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end. `stated` is the idle time
    /// after which the server closes it, if the server tells.
    pub(crate) fn keep(
        &self,
        instance: &InstanceId,
        connection: ServerConnection,
        stated: Option<Duration>,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle = stated.map_or(MAX_IDLE, |idle| idle.saturating_sub(IDLE_MARGIN).min(MAX_IDLE));
        if idle.is_zero() {
            return;
        }
        let until = BootInstant::now() + idle;
        lock(&self.idle).entry(instance.clone()).or_default().push(Idle { connection, until });
    }

    /// Closes connections that have been idle for long, and those to servers that
    /// aren't used any more.
    pub(crate) fn sweep(&self, is_used: impl Fn(&InstanceId) -> bool) {
        let now = BootInstant::now();
        let mut idle = lock(&self.idle);
        idle.retain(|instance, kept| {
            kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !kept.is_empty() && is_used(instance)
        });
    }
}
