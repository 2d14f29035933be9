//! Tunnels to servers that this router can't connect to directly: another router connects to the
//! server and forwards the bytes of the connection. The choice of the server, limits, retries and the
//! request itself stay with this router.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::TunnelRefusal;
use juniper_protocol::{
    Connection, FrameError, HandshakeError, Message, PeerTimeouts, Reply, Request, connect,
};
use juniper_registry::InstanceId;
use juniper_types::NodeId;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::gateway::Gateway;

/// Timeout for opening a tunnel, which includes the other router's connection to the server.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay before a router is asked again whether it still runs.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Routers that are asked for one tunnel.
const MAX_PEERS: usize = 4;

/// Routers that have to find the server unreachable before no further one is asked.
const MAX_UNREACHABLE: usize = 2;

/// Time for which a tunnel serves further requests. Shorter than the time for which a router that
/// stops goes on forwarding, so that no request is sent through a tunnel that is about to end.
const REUSE_TIME: Duration = Duration::from_secs(2);

/// Why no tunnel was opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TunnelError {
    #[error("no other router opens a tunnel")]
    NoPeer,
    #[error("other routers can't reach the server either")]
    ServerUnreachable,
}

/// Why one router opened no tunnel.
#[derive(Debug, thiserror::Error)]
enum PeerError {
    #[error("the router has no address")]
    NoAddress,
    #[error("timed out")]
    Timeout,
    #[error(transparent)]
    Connect(#[from] HandshakeError),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Refused(#[from] TunnelRefusal),
    #[error("unexpected reply")]
    UnexpectedReply,
}

impl PeerError {
    /// Whether no process listens at the router's address.
    fn is_refused(&self) -> bool {
        match self {
            PeerError::Connect(HandshakeError::Frame(FrameError::Io(error))) => {
                error.kind() == ErrorKind::ConnectionRefused
            }
            _ => false,
        }
    }
}

/// Counts a tunnel as open until it is dropped.
pub(crate) struct TunnelGuard {
    gateway: Weak<Gateway>,
    peer: NodeId,
    /// Process of the peer that forwards the tunnel, if it states one.
    incarnation: Option<u64>,
    /// Time after which no further request is sent through the tunnel.
    pub(crate) reusable_until: BootInstant,
}

impl TunnelGuard {
    /// Router that forwards the tunnel.
    pub(crate) fn peer(&self) -> NodeId {
        self.peer
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.tunnel_peers().record_closed(self.peer);
        }
    }
}

impl Gateway {
    /// Opens a tunnel to the server through another router.
    pub(crate) async fn open_tunnel(
        self: &Arc<Self>,
        instance: &InstanceId,
    ) -> Result<(TcpStream, TunnelGuard), TunnelError> {
        let mut asked = Vec::new();
        let mut unreachable = 0;
        while asked.len() < MAX_PEERS && unreachable < MAX_UNREACHABLE {
            let picked = self.tunnel_peers().pick(&asked, self.now(), rand::random());
            let Some(peer) = picked else { break };
            asked.push(peer);
            let error = match self.ask_for_tunnel(peer, instance).await {
                Ok((stream, incarnation)) => {
                    self.metrics.count_tunnel("opened");
                    self.placement().record_tunnel(instance, true);
                    self.tunnel_peers().record_opened(peer);
                    let reusable_until = BootInstant::now() + REUSE_TIME;
                    let gateway = Arc::downgrade(self);
                    let guard = TunnelGuard { gateway, peer, incarnation, reusable_until };
                    return Ok((stream, guard));
                }
                Err(error) => error,
            };
            log::info!("event=tunnel_failed instance={instance} router={peer} reason=\"{error}\"");
            match error {
                PeerError::Refused(TunnelRefusal::ServerUnreachable) => unreachable += 1,
                _ => self.tunnel_peers().record_failure(peer, self.now()),
            }
        }
        if asked.is_empty() {
            log::info!("event=tunnel_failed instance={instance} router=- reason=\"none known\"");
        }
        self.metrics.count_tunnel("failed");
        self.placement().record_tunnel(instance, false);
        match unreachable {
            0 => Err(TunnelError::NoPeer),
            _ => Err(TunnelError::ServerUnreachable),
        }
    }

    /// Whether the process that forwards a tunnel still runs. One that is slow, or behind a lossy link,
    /// is asked again until `deadline`.
    pub(crate) async fn is_peer_running(&self, tunnel: &TunnelGuard, deadline: Instant) -> bool {
        let asking = async {
            loop {
                match self.ask_incarnation(tunnel.peer).await {
                    Ok(incarnation) => return incarnation == tunnel.incarnation,
                    Err(error) => {
                        let router = tunnel.peer;
                        log::info!(
                            "event=tunnel_end_unconfirmed router={router} reason=\"{error}\""
                        );
                        // A router that states no incarnation may have been restarted meanwhile.
                        if error.is_refused() || tunnel.incarnation.is_none() {
                            return false;
                        }
                    }
                }
                sleep(CONFIRM_RETRY_DELAY).await;
            }
        };
        let is_running = timeout_at(deadline, asking).await.unwrap_or(false);
        log::info!("event=tunnel_ended router={} is_confirmed={is_running}", tunnel.peer);
        is_running
    }

    /// Asks a router for its incarnation.
    async fn ask_incarnation(&self, peer: NodeId) -> Result<Option<u64>, PeerError> {
        let address = peer.address().ok_or(PeerError::NoAddress)?;
        let (key, own) = (self.feed.cluster_key(), self.feed.identity());
        let connecting = connect(SocketAddr::V4(address), key, own);
        let connected = timeout(OPEN_TIMEOUT, connecting).await.map_err(|_| PeerError::Timeout)?;
        Ok(connected?.peer.incarnation)
    }

    async fn ask_for_tunnel(
        &self,
        peer: NodeId,
        instance: &InstanceId,
    ) -> Result<(TcpStream, Option<u64>), PeerError> {
        let asking = async {
            let address = peer.address().ok_or(PeerError::NoAddress)?;
            let (key, own) = (self.feed.cluster_key(), self.feed.identity());
            let mut connection = connect(SocketAddr::V4(address), key, own).await?;
            let (name, started) = (instance.name().clone(), instance.started());
            let request = Request::OpenTunnel { instance: name, started };
            connection.writer.send(&Message::Request { call: 1, request }).await?;
            let incarnation = connection.peer.incarnation;
            Ok((await_tunnel(connection).await?, incarnation))
        };
        timeout(OPEN_TIMEOUT, asking).await.map_err(|_| PeerError::Timeout)?
    }
}

/// Waits until the other router has connected to the server.
async fn await_tunnel(mut connection: Connection) -> Result<TcpStream, PeerError> {
    match connection.reader.receive().await? {
        Message::Reply { reply: Reply::Done, .. } => {
            let stream = connection.into_stream()?;
            PeerTimeouts::SERVER.apply(&stream).map_err(FrameError::from)?;
            Ok(stream)
        }
        Message::Reply { reply: Reply::TunnelRefused(refusal), .. } => Err(refusal.into()),
        _ => Err(PeerError::UnexpectedReply),
    }
}
