//! Session of one connection from another daemon: reads calls, runs them concurrently, writes
//! replies.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::message::encode;
use juniper_protocol::{
    Connection, FrameError, FrameReader, FrameWriter, Message, PeerIdentity, PeerRole, Refusal,
    Reply, Request,
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::follower::FollowScope;
use super::router_updates::RouterUpdateSubscription;
use super::{InternalApi, calls, follower, subscriber};
use crate::published_settings::PushFrame;
use crate::renewal_log::SharedFrame;

/// Maximum number of concurrent calls of a connection; further ones stay unread in the socket.
const MAX_CONCURRENT_CALLS: usize = 512;

/// Capacity of the queue of outgoing frames. Subscription tasks wait while the queue is full and then
/// send the latest state, so a slow peer takes a bounded amount of memory.
const MAX_QUEUED_FRAMES: usize = 64;

/// Timeout of writing one frame, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Encoded message.
#[derive(Debug)]
enum Payload {
    /// Message for this connection only.
    Own(Vec<u8>),
    /// Push of settings, shared by many connections.
    Settings(Arc<PushFrame>),
    /// Any other message shared by many connections.
    Shared(SharedFrame),
}

/// Frame to write.
#[derive(Debug)]
pub(super) struct Outgoing {
    payload: Payload,
    /// Released once the frame is written.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Outgoing {
    /// Encodes a message.
    pub fn message(message: &Message) -> Self {
        Outgoing { payload: Payload::Own(encode(message)), _permit: None }
    }

    /// Wraps an encoded settings change.
    pub fn delta(frame: Arc<PushFrame>) -> Self {
        Outgoing { payload: Payload::Settings(frame), _permit: None }
    }

    /// Wraps an encoded settings snapshot, with the permit that limits concurrent snapshots.
    pub fn snapshot(frame: Arc<PushFrame>, permit: OwnedSemaphorePermit) -> Self {
        Outgoing { payload: Payload::Settings(frame), _permit: Some(permit) }
    }

    /// Wraps an encoded message shared by many connections.
    pub fn encoded(frame: SharedFrame) -> Self {
        Outgoing { payload: Payload::Shared(frame), _permit: None }
    }

    fn payload(&self) -> &[u8] {
        match &self.payload {
            Payload::Own(payload) => payload,
            Payload::Settings(frame) => &frame.payload,
            Payload::Shared(frame) => frame,
        }
    }
}

/// Queue of frames for the peer.
pub(super) type OutgoingSender = mpsc::Sender<Outgoing>;

/// Peer of a session.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub identity: PeerIdentity,
    pub address: SocketAddr,
}

/// Serves the connection until it ends.
pub(super) async fn run(api: Arc<InternalApi>, connection: Connection, address: SocketAddr) {
    let Connection { peer: identity, reader, writer, .. } = connection;
    let node = identity.node;
    log::info!("event=peer_connected peer={node} role={:?} address={address}", identity.role);
    api.metrics.connections.inc();
    let peer = Peer { identity, address };
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let reason = tokio::select! {
        error = write_frames(writer, receiver) => error,
        error = read_frames(Arc::clone(&api), peer, reader, sender) => error,
    };
    api.metrics.connections.dec();
    log::info!("event=peer_disconnected peer={node} reason=\"{reason}\"");
}

async fn write_frames(
    mut writer: FrameWriter,
    mut receiver: mpsc::Receiver<Outgoing>,
) -> FrameError {
    while let Some(frame) = receiver.recv().await {
        match timeout(WRITE_TIMEOUT, writer.send_encoded(frame.payload())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error,
            Err(_) => return FrameError::Io(std::io::ErrorKind::TimedOut.into()),
        }
    }
    FrameError::Closed
}

async fn read_frames(
    api: Arc<InternalApi>,
    peer: Peer,
    reader: FrameReader,
    sender: OutgoingSender,
) -> FrameError {
    match read_messages(api, peer, reader, sender).await {
        Err(error) => error,
        Ok(never) => match never {},
    }
}

/// Passes a consensus message to the local replica. Only replicas may send one, and only on their own
/// behalf, except for a join request, which a replica may forward.
async fn deliver_to_replica(
    api: &InternalApi,
    peer: &Peer,
    payload: &[u8],
) -> Result<(), FrameError> {
    let message: juniper_consensus::Message = minicbor::decode(payload)?;
    let is_own = message.from.node == peer.identity.node || is_join_request(&message);
    if peer.identity.role != PeerRole::Control || !is_own || !api.replica.receive(message).await {
        return Err(FrameError::Closed);
    }
    Ok(())
}

fn is_join_request(message: &juniper_consensus::Message) -> bool {
    matches!(message.body, juniper_consensus::Body::JoinRequest { .. })
}

async fn read_messages(
    api: Arc<InternalApi>,
    peer: Peer,
    mut reader: FrameReader,
    sender: OutgoingSender,
) -> Result<Infallible, FrameError> {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    // Calls and subscriptions are aborted when this is dropped at the end of the session.
    let mut tasks = JoinSet::new();
    let mut subscribed = false;
    let mut follow_scopes: Option<watch::Sender<FollowScope>> = None;
    let mut router_updates = RouterUpdateSubscription::default();
    loop {
        let (call, request) = match reader.receive().await {
            Ok(Message::Request { call, request }) => (call, request),
            Ok(Message::Consensus { payload }) => {
                deliver_to_replica(&api, &peer, &payload).await?;
                continue;
            }
            Ok(Message::RouterUpdate(update)) if peer.identity.role == PeerRole::Router => {
                api.relay.accept_router_update(&peer.identity, update);
                continue;
            }
            Ok(Message::RelayedUpdate(updates)) if peer.identity.role == PeerRole::Control => {
                api.relay.accept_peer_updates(updates);
                continue;
            }
            Ok(Message::Unknown { call }) => {
                log::warn!("event=message_unknown peer={}", peer.identity.node);
                if let Some(call) = call {
                    send_reply(&sender, call, Reply::Refused(Refusal::NotAllowed)).await;
                }
                continue;
            }
            Ok(_) => continue,
            Err(error) => return Err(error),
        };
        api.reports.record_contact(peer.identity.node);
        if let Request::Subscribe { from } = request {
            if !subscribed {
                subscribed = true;
                let api = Arc::clone(&api);
                tasks.spawn(subscriber::run(api, peer.clone(), sender.clone(), call, from));
            }
            continue;
        }
        if let Request::RelayRouterUpdates { enabled } = request {
            router_updates.set(enabled, &api, &sender);
            send_reply(&sender, call, Reply::Done).await;
            continue;
        }
        if let Some(scope) = FollowScope::from_request(&request) {
            send_reply(&sender, call, Reply::Done).await;
            match &follow_scopes {
                Some(scopes) => {
                    scopes.send_replace(scope);
                }
                None => {
                    let (scope_sender, scopes) = watch::channel(scope);
                    let (api, peer, sender) = (Arc::clone(&api), peer.clone(), sender.clone());
                    tasks.spawn(follower::run(api, peer, sender, scopes));
                    follow_scopes = Some(scope_sender);
                }
            }
            continue;
        }
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return Err(FrameError::Closed);
        };
        while tasks.try_join_next().is_some() {}
        let (api, peer, sender) = (Arc::clone(&api), peer.clone(), sender.clone());
        tasks.spawn(async move {
            let reply = calls::answer(&api, &peer, request).await;
            send_reply(&sender, call, reply).await;
            drop(slot);
        });
    }
}

/// Queues a reply. Failure is ignored, since it means that the session is ending.
pub(super) async fn send_reply(sender: &OutgoingSender, call: u64, reply: Reply) {
    let _ = sender.send(Outgoing::message(&Message::Reply { call, reply })).await;
}
