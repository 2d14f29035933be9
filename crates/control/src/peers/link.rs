//! Outgoing connection to another replica.
//!
//! Carries consensus messages in one direction, dropped while the peer is unavailable, and calls with
//! their replies. The peer's own consensus messages arrive on the connection that the peer opens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use juniper_protocol::message::encode;
use juniper_protocol::{
    CallError, ClusterKey, Connection, IncomingFrame, OpenCalls, PeerIdentity, Reply, ReplySender,
    Request, connect,
};
use juniper_types::NodeId;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout of connection setup, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of writing one frame, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of messages queued for a peer.
const MAILBOX_CAPACITY: usize = 4_096;

/// Maximum number of bytes of one-way messages queued for a peer: a full window of appends.
const MAX_QUEUED_BYTES: usize = 32 << 20;

/// Range of the delay before reconnecting, doubled with each failure. Half of the delay is random, so
/// that replicas that lost a peer at the same time don't reconnect at the same time.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Target of a link.
#[derive(Clone)]
pub(super) struct LinkTarget {
    pub node: NodeId,
    pub address: SocketAddr,
    pub key: ClusterKey,
    pub own: PeerIdentity,
}

/// Handle to a link with one peer.
#[derive(Clone)]
pub(super) struct Link {
    actor: ActorRef<LinkActor>,
    queued_bytes: Arc<AtomicUsize>,
}

impl Link {
    pub fn spawn(target: LinkTarget) -> Self {
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let args = (target, Arc::clone(&queued_bytes));
        let actor = LinkActor::spawn_with_mailbox(args, mailbox::bounded(MAILBOX_CAPACITY));
        Link { actor, queued_bytes }
    }

    /// Queues an encoded frame, or drops it if the queue is full.
    pub fn send(&self, payload: Vec<u8>) {
        let bytes = payload.len();
        if self.queued_bytes.load(Ordering::Relaxed) + bytes > MAX_QUEUED_BYTES {
            return;
        }
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        if self.actor.tell(SendOneWay(payload)).try_send().is_err() {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    /// Calls the peer and waits for the reply for at most `time_limit`.
    pub async fn call(&self, request: Request, time_limit: Duration) -> Result<Reply, CallError> {
        let (answer, reply) = oneshot::channel();
        let exchange = async {
            let call = SendCall { request, answer };
            self.actor.tell(call).await.map_err(|_| CallError::Unreachable)?;
            reply.await.map_err(|_| CallError::Disconnected)?
        };
        timeout(time_limit, exchange).await.map_err(|_| CallError::TimedOut)?
    }
}

/// Actor that owns the connection of a [`Link`].
struct LinkActor {
    target: LinkTarget,
    own_ref: ActorRef<LinkActor>,
    queued_bytes: Arc<AtomicUsize>,
    calls: OpenCalls,
    backoff: Duration,
    retry_at: Instant,
}

impl Actor for LinkActor {
    type Args = (LinkTarget, Arc<AtomicUsize>);
    type Error = std::convert::Infallible;

    async fn on_start(args: Self::Args, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        let (target, queued_bytes) = args;
        Ok(LinkActor {
            target,
            own_ref: actor,
            queued_bytes,
            calls: OpenCalls::default(),
            backoff: MIN_BACKOFF,
            retry_at: Instant::now(),
        })
    }
}

/// Actor message: send an encoded frame without a reply.
struct SendOneWay(Vec<u8>);

impl Message<SendOneWay> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, message: SendOneWay, _context: &mut Context<Self, ()>) {
        self.queued_bytes.fetch_sub(message.0.len(), Ordering::Relaxed);
        if self.ensure_connected().await {
            self.write(&message.0).await;
        }
    }
}

/// Actor message: send a call and pass its reply to `answer`.
struct SendCall {
    request: Request,
    answer: ReplySender,
}

impl Message<SendCall> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, call: SendCall, _context: &mut Context<Self, ()>) {
        if !self.ensure_connected().await {
            let _ = call.answer.send(Err(CallError::Unreachable));
            return;
        }
        let message = self.calls.start_call(call.request, call.answer);
        self.write(&encode(&message)).await;
    }
}

impl Message<IncomingFrame> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, incoming: IncomingFrame, _context: &mut Context<Self, ()>) {
        if self.calls.handle_frame(incoming) {
            self.disconnect();
        }
    }
}

impl LinkActor {
    async fn ensure_connected(&mut self) -> bool {
        if self.calls.is_connected() {
            return true;
        }
        if Instant::now() < self.retry_at {
            return false;
        }
        let attempt = connect(self.target.address, &self.target.key, &self.target.own);
        match timeout(CONNECT_TIMEOUT, attempt).await {
            Ok(Ok(connection)) if connection.peer.node == self.target.node => {
                self.use_connection(connection);
                true
            }
            _ => {
                self.schedule_retry();
                false
            }
        }
    }

    fn use_connection(&mut self, connection: Connection) {
        log::info!("event=replica_connected peer={}", self.target.node);
        self.backoff = MIN_BACKOFF;
        let reader = self.calls.set_connection(connection);
        let actor = self.own_ref.clone();
        tokio::spawn(reader.run(async move |incoming| actor.tell(incoming).await.is_ok()));
    }

    async fn write(&mut self, payload: &[u8]) {
        let Some(writer) = self.calls.writer() else { return };
        let sent = timeout(WRITE_TIMEOUT, writer.send_encoded(payload)).await;
        if !matches!(sent, Ok(Ok(_))) {
            self.disconnect();
        }
    }

    fn disconnect(&mut self) {
        log::warn!("event=replica_disconnected peer={}", self.target.node);
        self.calls.disconnect();
        self.schedule_retry();
    }

    fn schedule_retry(&mut self) {
        let half = self.backoff / 2;
        let jitter = half.mul_f64(rand::rng().random_range(0.0..1.0));
        self.retry_at = Instant::now() + half + jitter;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
