//! One outgoing connection to another replica.
//!
//! Messages of the agreement go one way on it and are dropped while the peer is
//! away; the peer's own messages come over the connection that it opens. Calls
//! get their replies back on it.

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

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A peer that takes no byte for this long is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Messages that wait to be sent to one peer.
const MAILBOX_CAPACITY: usize = 4_096;

/// Bytes that wait to be sent to one peer: a full window of appends.
const MAX_QUEUED_BYTES: usize = 32 << 20;

/// Range of the pause before a lost connection is opened again. It doubles with
/// each failure, and half of it is drawn at random, so that replicas that lost
/// a peer together don't return to it together.
const MIN_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// What a link needs to connect.
#[derive(Clone)]
pub(super) struct LinkTarget {
    pub node: NodeId,
    pub address: SocketAddr,
    pub key: ClusterKey,
    pub own: PeerIdentity,
}

/// A handle to send to one peer.
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

    /// Queues an encoded frame, or drops it if too much waits.
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

    /// Calls the peer and waits for the reply at most `limit`.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Reply, CallError> {
        let (answer, reply) = oneshot::channel();
        let exchange = async {
            let call = SendCall { request, answer };
            self.actor.tell(call).await.map_err(|_| CallError::Unreachable)?;
            reply.await.map_err(|_| CallError::Disconnected)?
        };
        timeout(limit, exchange).await.map_err(|_| CallError::TimedOut)?
    }
}

/// The actor behind a [`Link`].
struct LinkActor {
    target: LinkTarget,
    own_ref: ActorRef<LinkActor>,
    queued_bytes: Arc<AtomicUsize>,
    calls: OpenCalls,
    pause: Duration,
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
            pause: MIN_PAUSE,
            retry_at: Instant::now(),
        })
    }
}

/// An encoded frame that gets no reply.
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

/// A call, and where its reply goes.
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
                self.back_off();
                false
            }
        }
    }

    fn use_connection(&mut self, connection: Connection) {
        log::info!("event=replica_connected peer={}", self.target.node);
        self.pause = MIN_PAUSE;
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
        self.back_off();
    }

    fn back_off(&mut self) {
        let half = self.pause / 2;
        let jitter = half.mul_f64(rand::rng().random_range(0.0..1.0));
        self.retry_at = Instant::now() + half + jitter;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
