//! Tunnels of other routers through this one, to servers that they can't connect to.
//!
//! Only routers that hold the cluster key may open a tunnel, and only to servers in the registry. A
//! tunnel leads directly to its server, never through a further router.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use juniper_intake::{Handshake, Handshakes};
use juniper_memory_budget::MachineLimits;
use juniper_protocol::message::TunnelRefusal;
use juniper_protocol::{
    Connection, FrameError, HandshakeError, Message, PeerRole, PeerTimeouts, Reply, Request, accept,
};
use juniper_registry::InstanceId;
use juniper_types::NodeId;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::lifecycle::{ShutdownPhase, WeakTracker};
use crate::listener::accept_stream;

/// Maximum number of tunnels on a machine with enough descriptors. Each has two sockets and two buffers
/// of 8 KiB.
const MAX_TUNNELS: usize = 256;

/// Share of the descriptors beyond those for files that tunnels may take, two for each.
const DESCRIPTOR_SHARE: f64 = 0.125;

/// Maximum number of connections whose request for a tunnel has not been read.
const MAX_PENDING: usize = 32;

/// Time for which a router that stops goes on running after a tunnel has ended, so that the other
/// router can confirm that the answer in it was complete.
const CONFIRM_TIME: Duration = Duration::from_secs(1);

/// Why a tunnel was not opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("not a router asking for a tunnel")]
    NotAllowed,
    #[error("a newer connection took its place")]
    Displaced,
    #[error("too many tunnels")]
    TooMany,
    #[error(transparent)]
    Refused(#[from] TunnelRefusal),
}

/// Accepts connections of other routers, and forwards their tunnels, until none is open in a shutdown.
pub(crate) async fn serve_tunnels(gateway: Arc<Gateway>, listener: TcpListener, open: WeakTracker) {
    let tunnels = Arc::new(Semaphore::new(max_tunnels(gateway.settings.machine)));
    let pending = Handshakes::new(MAX_PENDING);
    loop {
        let handshake = pending.begin().await;
        let Some(stream) = accept_stream(&listener).await else { continue };
        let Some(tracked) = open.track() else { return };
        let (gateway, tunnels) = (Arc::clone(&gateway), Arc::clone(&tunnels));
        tokio::spawn(async move {
            let has_forwarded = serve_tunnel(&gateway, &tunnels, handshake, stream).await;
            if has_forwarded && *gateway.shutdown.borrow() != ShutdownPhase::Running {
                sleep(CONFIRM_TIME).await;
            }
            drop(tracked);
        });
    }
}

/// Maximum number of tunnels on this machine.
fn max_tunnels(machine: MachineLimits) -> usize {
    let by_descriptors = machine.connection_descriptors() as f64 * DESCRIPTOR_SHARE / 2.0;
    MAX_TUNNELS.min(by_descriptors as usize)
}

/// Serves a connection of another router. Returns whether it was a tunnel that has ended.
async fn serve_tunnel(
    gateway: &Arc<Gateway>,
    tunnels: &Semaphore,
    handshake: Handshake,
    stream: TcpStream,
) -> bool {
    let opened = handshake.run(authenticate(gateway, stream)).await;
    let opened = match opened.unwrap_or(Err(OpenError::Displaced)) {
        // Without a permit the connection is closed, and the other router asks elsewhere.
        Ok(asked) => match tunnels.try_acquire() {
            Ok(permit) => open(gateway, asked).await.map(|streams| (streams, permit)),
            Err(_) => Err(OpenError::TooMany),
        },
        Err(error) => Err(error),
    };
    match opened {
        Ok(((router, server), _permit)) => {
            gateway.metrics.count_tunnel("served");
            forward(router, server).await;
            true
        }
        Err(error) => {
            gateway.metrics.count_tunnel("refused");
            log::debug!("event=tunnel_refused reason=\"{error}\"");
            false
        }
    }
}

/// Request of another router for a tunnel.
struct TunnelRequest {
    connection: Connection,
    call: u64,
    instance: InstanceId,
}

/// Authenticates the other router and reads its request.
async fn authenticate(
    gateway: &Arc<Gateway>,
    stream: TcpStream,
) -> Result<TunnelRequest, OpenError> {
    let (key, own) = (gateway.feed.cluster_key(), gateway.feed.identity());
    let mut connection = accept(stream, key, own).await?;
    let message = connection.reader.receive().await?;
    let Message::Request { call, request: Request::OpenTunnel { instance, started } } = message
    else {
        return Err(OpenError::NotAllowed);
    };
    if connection.peer.role != PeerRole::Router {
        return Err(OpenError::NotAllowed);
    }
    let instance = InstanceId::started_at(instance, started);
    Ok(TunnelRequest { connection, call, instance })
}

/// Handles the request for a tunnel. Returns the streams to the router and to the server.
async fn open(
    gateway: &Arc<Gateway>,
    asked: TunnelRequest,
) -> Result<(TcpStream, TcpStream), OpenError> {
    let TunnelRequest { mut connection, call, instance } = asked;
    let from = connection.peer.node;
    let (reply, server) = match connect_for(gateway, &instance, from).await {
        Ok(server) => (Reply::Done, Ok(server)),
        Err(refusal) => (Reply::TunnelRefused(refusal), Err(refusal)),
    };
    connection.writer.send(&Message::Reply { call, reply }).await?;
    let server = server?;
    let router = connection.into_stream()?;
    PeerTimeouts::SERVER.apply(&router).map_err(FrameError::from)?;
    Ok((router, server))
}

/// Connects to the server on behalf of the router `from`.
async fn connect_for(
    gateway: &Arc<Gateway>,
    instance: &InstanceId,
    from: NodeId,
) -> Result<TcpStream, TunnelRefusal> {
    let address = address_of(gateway, instance).ok_or(TunnelRefusal::Unavailable)?;
    let is_running = *gateway.shutdown.borrow() == ShutdownPhase::Running;
    let now = gateway.now();
    let (is_cut_off, prefers_tunnel, accepts_requests) = {
        let placement = gateway.placement();
        let accepts_requests = placement.accepts_requests(instance, now);
        (placement.is_cut_off(instance), placement.prefers_tunnel(instance), accepts_requests)
    };
    // The server doesn't tell requests that come through a tunnel from this router's own.
    if !is_running || is_cut_off || !accepts_requests {
        return Err(TunnelRefusal::Unavailable);
    }
    if prefers_tunnel {
        return Err(TunnelRefusal::ServerUnreachable);
    }
    let started_at = gateway.now();
    // A failure isn't recorded: otherwise each router that asks for an unreachable server would make
    // others probe it too.
    let server =
        gateway.open_server_stream(address).await.map_err(|_| TunnelRefusal::ServerUnreachable)?;
    gateway.metrics.connections.inc();
    gateway.record_connected(instance, started_at);
    log::info!("event=tunnel_opened instance={instance} router={from}");
    Ok(server)
}

/// Address of a server in the registry.
fn address_of(gateway: &Gateway, instance: &InstanceId) -> Option<SocketAddrV4> {
    let view = gateway.feed.latest();
    let known = view.instances.get(instance.name()).filter(|known| known.id == *instance);
    known.map(|known| known.report.address)
}

/// Forwards bytes in both directions until either side closes its connection; then closes both, since
/// neither side of an HTTP connection closes just one direction. If the server's connection fails, the
/// router's is reset: an answer may end with its connection, and this one isn't complete.
async fn forward(router: TcpStream, server: TcpStream) {
    let (mut from_router, mut to_router) = router.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let copied = tokio::select! {
        _ = tokio::io::copy(&mut from_router, &mut to_server) => return,
        copied = tokio::io::copy(&mut from_server, &mut to_router) => copied,
    };
    if let Err(error) = copied {
        log::info!("event=tunnel_reset reason=\"{error}\"");
        if let Err(error) = SockRef::from(to_router.as_ref()).set_linger(Some(Duration::ZERO)) {
            log::warn!("event=tunnel_not_reset reason=\"{error}\"");
        }
        // Dropping it would first close the connection in order.
        to_router.forget();
    }
}
