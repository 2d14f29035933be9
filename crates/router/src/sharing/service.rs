//! Internal API for the other routers of the zone.

use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::{Connection, Message, PeerRole, Refusal, Reply, Request, accept};
use juniper_sharing::RouterIncarnation;
use juniper_types::NodeId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

use super::SharingHub;

/// Maximum number of concurrent connections; a zone has a few dozen routers.
const MAX_CONNECTIONS: usize = 256;

/// Timeout of a peer's authentication by the cluster key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after the listener failed to accept, for example without free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves other routers until the task is aborted.
pub async fn serve(hub: Arc<SharingHub>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_stream(Arc::clone(&hub), stream, slot));
            }
            Err(error) => {
                log::warn!("event=accept_failed face=internal reason=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_stream(hub: Arc<SharingHub>, stream: TcpStream, _slot: OwnedSemaphorePermit) {
    let handshake = accept(stream, &hub.key, &hub.identity);
    let mut connection = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            log::warn!("event=handshake_failed reason=\"{error}\"");
            return;
        }
        Err(_) => {
            log::warn!("event=handshake_failed reason=\"timed out\"");
            return;
        }
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
