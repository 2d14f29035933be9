//! Client connection to another daemon that multiplexes calls.
//!
//! The actor connects on demand and drops the connection when it fails; all pending
//! calls then fail with [`CallError::Disconnected`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::{
    CallError, ClusterKey, IncomingFrame, OpenCalls, PeerIdentity, Reply, ReplySender, Request,
    Traffic, connect,
};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::reachability::Reachability;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Connection parameters of a link.
#[derive(Clone)]
pub struct LinkTarget {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Identity of this daemon.
    pub own: PeerIdentity,
    /// Byte counters.
    pub traffic: Arc<Traffic>,
    /// Injected network partitions.
    pub reachability: Reachability,
}

/// Actor that owns the connection of a [`Link`].
pub struct LinkActor {
    target: LinkTarget,
    own_ref: ActorRef<LinkActor>,
    calls: OpenCalls,
}

impl Actor for LinkActor {
    type Args = LinkTarget;
    type Error = std::convert::Infallible;

    async fn on_start(target: LinkTarget, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(LinkActor { target, own_ref: actor, calls: OpenCalls::default() })
    }
}

/// A call to send, with the channel for its reply.
pub struct SendCall {
    request: Request,
    reply_to: ReplySender,
}

impl Message<SendCall> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, call: SendCall, _context: &mut Context<Self, ()>) {
        if !self.target.reachability.allows(self.target.address) {
            self.calls.disconnect();
        }
        if !self.ensure_connected().await {
            let _ = call.reply_to.send(Err(CallError::Unreachable));
            return;
        }
        let message = self.calls.start_call(call.request, call.reply_to);
        let sent = match self.calls.writer() {
            Some(writer) => writer.send(&message).await.is_ok(),
            None => false,
        };
        if !sent {
            self.calls.disconnect();
        }
    }
}

impl Message<IncomingFrame> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, incoming: IncomingFrame, _context: &mut Context<Self, ()>) {
        if self.calls.handle_frame(incoming) {
            self.calls.disconnect();
        }
    }
}

impl LinkActor {
    async fn ensure_connected(&mut self) -> bool {
        if self.calls.is_connected() {
            return true;
        }
        if !self.target.reachability.allows(self.target.address) {
            return false;
        }
        let attempt = connect(self.target.address, &self.target.key, &self.target.own);
        let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, attempt).await else {
            return false;
        };
        connection.count_traffic_in(&self.target.traffic);
        let reader = self.calls.set_connection(connection);
        let actor = self.own_ref.clone();
        tokio::spawn(reader.run(async move |incoming| actor.tell(incoming).await.is_ok()));
        true
    }
}

/// Handle for calls to one peer.
#[derive(Clone)]
pub struct Link {
    actor: ActorRef<LinkActor>,
}

impl Link {
    /// Starts the actor, which connects at the first call.
    pub fn spawn(target: LinkTarget) -> Self {
        Link { actor: LinkActor::spawn(target) }
    }

    /// Calls the peer and waits at most `limit` for the reply.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Reply, CallError> {
        let (reply_to, reply) = oneshot::channel();
        let exchange = async {
            let call = SendCall { request, reply_to };
            self.actor.tell(call).await.map_err(|_| CallError::Unreachable)?;
            reply.await.map_err(|_| CallError::Disconnected)?
        };
        timeout(limit, exchange).await.map_err(|_| CallError::TimedOut)?
    }
}
