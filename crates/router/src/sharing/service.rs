//! Internal API for the other routers of the zone.

use std::sync::Arc;
use std::time::Duration;

use juniper_intake::{Handshake, Handshakes};
use juniper_protocol::{Connection, Message, PeerRole, Refusal, Reply, Request, accept};
use juniper_sharing::RouterIncarnation;
use juniper_types::NodeId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::SharingHub;

/// Maximum number of authenticated connections; a zone has a few dozen routers.
const MAX_CONNECTIONS: usize = 256;

/// Maximum number of connections that haven't authenticated yet.
const MAX_HANDSHAKES: usize = 32;

/// Timeout of a peer's authentication by the cluster key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after the listener failed to accept, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves other routers until the task is aborted.
pub async fn serve(hub: Arc<SharingHub>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let handshakes = Handshakes::new(MAX_HANDSHAKES);
    loop {
        let handshake = handshakes.begin().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let (hub, slots) = (Arc::clone(&hub), Arc::clone(&slots));
                tokio::spawn(serve_stream(hub, stream, handshake, slots));
            }
            Err(error) => {
                log::warn!("event=accept_failed face=internal reason=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream(
    hub: Arc<SharingHub>,
    stream: TcpStream,
    handshake: Handshake,
    slots: Arc<Semaphore>,
) {
    let accepting = timeout(HANDSHAKE_TIMEOUT, accept(stream, &hub.key, &hub.identity));
    let mut connection = match handshake.run(accepting).await {
        Some(Ok(Ok(connection))) => connection,
        Some(Ok(Err(error))) => {
            log::warn!("event=handshake_failed reason=\"{error}\"");
            return;
        }
        Some(Err(_)) => {
            log::warn!("event=handshake_failed reason=\"timed out\"");
            return;
        }
        None => {
            log::warn!("event=handshake_failed reason=displaced");
            return;
        }
    };
    let Ok(_slot) = slots.try_acquire() else {
        log::warn!("event=too_many_connections peer={}", connection.peer.node);
        return;
    };
    connection.count_traffic_in(&hub.traffic);
    let Connection { peer, mut reader, mut writer, .. } = connection;
    while let Ok(message) = reader.receive().await {
        let Message::Request { call, request } = message else {
            return;
        };
        let reply = match peer.role {
            PeerRole::Router => answer(&hub, peer.node, request),
            _ => Reply::Refused(Refusal::NotAllowed),
        };
        if writer.send(&Message::Reply { call, reply }).await.is_err() {
            return;
        }
    }
}

fn answer(hub: &SharingHub, node: NodeId, request: Request) -> Reply {
    match request {
        Request::Lookup { keys } => {
            let now = hub.engines.now();
            Reply::Holders { checkpoints: hub.lock().sharing.lookup(&keys, now) }
        }
        Request::Share { incarnation, updates } => Reply::Shared {
            engines_with_gaps: hub
                .apply_peer_message(RouterIncarnation { node, incarnation }, &updates),
        },
        _ => Reply::Refused(Refusal::NotAllowed),
    }
}
