//! One connection of another daemon: reads calls, runs them side by side, writes replies.

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

use super::follower::FollowedPart;
use super::listener::Listening;
use super::{InternalFace, calls, follower, subscriber};
use crate::published::PushFrame;
use crate::renewals::SharedFrame;

/// Calls of one connection that run at once; more wait unread in its socket.
const MAX_CALLS_AT_ONCE: usize = 512;

/// Frames that wait to be written. A subscriber task waits when it is full and
/// then skips ahead, so a slow node costs a bounded amount of memory.
const OUTGOING_FRAMES: usize = 64;

/// A peer that takes no byte for this long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// An encoded message.
#[derive(Debug)]
enum Payload {
    /// Encoded for this connection alone.
    Own(Vec<u8>),
    /// A change of the settings, encoded once for many.
    Shared(Arc<PushFrame>),
    /// Any other message, encoded once for many.
    Encoded(SharedFrame),
}

/// A frame to write.
#[derive(Debug)]
pub(super) struct Outgoing {
    payload: Payload,
    /// Given back once the frame is written.
    _permit: Option<OwnedSemaphorePermit>,
}

impl Outgoing {
    /// Encodes a message.
    pub fn message(message: &Message) -> Self {
        Outgoing { payload: Payload::Own(encode(message)), _permit: None }
    }

    /// A settings change.
    pub fn delta(frame: Arc<PushFrame>) -> Self {
        Outgoing { payload: Payload::Shared(frame), _permit: None }
    }

    /// A whole tree, with the permit that bounds how many are on their way.
    pub fn snapshot(frame: Arc<PushFrame>, permit: OwnedSemaphorePermit) -> Self {
        Outgoing { payload: Payload::Shared(frame), _permit: Some(permit) }
    }

    /// A message that was encoded once for many.
    pub fn encoded(frame: SharedFrame) -> Self {
        Outgoing { payload: Payload::Encoded(frame), _permit: None }
    }

    fn payload(&self) -> &[u8] {
        match &self.payload {
            Payload::Own(payload) => payload,
            Payload::Shared(frame) => &frame.payload,
            Payload::Encoded(frame) => frame,
        }
    }
}

/// Where frames for the peer go.
pub(super) type OutgoingSender = mpsc::Sender<Outgoing>;

/// The peer of a session.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub identity: PeerIdentity,
    pub address: SocketAddr,
}

/// Serves the connection until it ends.
pub(super) async fn run(face: Arc<InternalFace>, connection: Connection, address: SocketAddr) {
    let Connection { peer: identity, reader, writer, .. } = connection;
    let node = identity.node;
    log::info!("event=peer_connected peer={node} role={:?} address={address}", identity.role);
    face.metrics.connections.inc();
    let peer = Peer { identity, address };
    let (sender, receiver) = mpsc::channel(OUTGOING_FRAMES);
    let reason = tokio::select! {
        ended = write_frames(writer, receiver) => ended,
        ended = read_frames(Arc::clone(&face), peer, reader, sender) => ended,
    };
    face.metrics.connections.dec();
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
    face: Arc<InternalFace>,
    peer: Peer,
    reader: FrameReader,
    sender: OutgoingSender,
) -> FrameError {
    match read_until_end(face, peer, reader, sender).await {
        Err(error) => error,
        Ok(never) => match never {},
    }
}

/// Hands a message of the agreement on. Only another replica may send one, and
/// only in its own name, save for a request to join that it hands on.
async fn hand_to_replica(
    face: &InternalFace,
    peer: &Peer,
    payload: &[u8],
) -> Result<(), FrameError> {
    let message: juniper_consensus::Message = minicbor::decode(payload)?;
    let is_own = message.from.node == peer.identity.node || is_join_request(&message);
    if peer.identity.role != PeerRole::Control || !is_own || !face.replica.receive(message).await {
        return Err(FrameError::Closed);
    }
    Ok(())
}

fn is_join_request(message: &juniper_consensus::Message) -> bool {
    matches!(message.body, juniper_consensus::Body::JoinRequest { .. })
}

async fn read_until_end(
    face: Arc<InternalFace>,
    peer: Peer,
    mut reader: FrameReader,
    sender: OutgoingSender,
) -> Result<Infallible, FrameError> {
    let slots = Arc::new(Semaphore::new(MAX_CALLS_AT_ONCE));
    // Dropped with the session, and every call and subscription with it.
    let mut tasks = JoinSet::new();
    let mut subscribed = false;
    let mut following: Option<watch::Sender<FollowedPart>> = None;
    let mut listening = Listening::default();
    loop {
        let (call, request) = match reader.receive().await {
            Ok(Message::Request { call, request }) => (call, request),
            Ok(Message::Consensus { payload }) => {
                hand_to_replica(&face, &peer, &payload).await?;
                continue;
            }
            Ok(Message::RouterUpdate(news)) if peer.identity.role == PeerRole::Router => {
                face.relay.hear_router(&peer.identity, news);
                continue;
            }
            Ok(Message::RelayedUpdate(told)) if peer.identity.role == PeerRole::Control => {
                face.relay.hear_replica(told);
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
        face.reports.touch(peer.identity.node);
        if let Request::Subscribe { from } = request {
            if !subscribed {
                subscribed = true;
                let face = Arc::clone(&face);
                tasks.spawn(subscriber::run(face, peer.clone(), sender.clone(), call, from));
            }
            continue;
        }
        if let Request::RelayRouterUpdates { enabled } = request {
            listening.set(enabled, &face, &sender);
            send_reply(&sender, call, Reply::Done).await;
            continue;
        }
        if let Some(part) = FollowedPart::asked_by(&request) {
            send_reply(&sender, call, Reply::Done).await;
            match &following {
                Some(following) => {
                    following.send_replace(part);
                }
                None => {
                    let (asked, parts) = watch::channel(part);
                    let (face, peer, sender) = (Arc::clone(&face), peer.clone(), sender.clone());
                    tasks.spawn(follower::run(face, peer, sender, parts));
                    following = Some(asked);
                }
            }
            continue;
        }
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return Err(FrameError::Closed);
        };
        while tasks.try_join_next().is_some() {}
        let (face, peer, sender) = (Arc::clone(&face), peer.clone(), sender.clone());
        tasks.spawn(async move {
            let reply = calls::answer(&face, &peer, request).await;
            send_reply(&sender, call, reply).await;
            drop(slot);
        });
    }
}

/// Sends a reply; a failure means that the session is ending.
pub(super) async fn send_reply(sender: &OutgoingSender, call: u64, reply: Reply) {
    let _ = sender.send(Outgoing::message(&Message::Reply { call, reply })).await;
}
