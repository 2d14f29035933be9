//! One outgoing connection to another daemon, with numbered calls over it.
//!
//! The actor connects when a call needs it and forgets the connection when it
//! fails; every call that was waiting then fails with [`CallError::Disconnected`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::{
    ClusterKey, Connection, FrameWriter, Message as Frame, PeerIdentity, Reply, Request, Traffic,
    connect,
};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::reachability::Reachability;

/// Time within which a connection must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a call got no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer can't be reached; the call was not sent.
    #[error("the peer can't be reached")]
    Unreachable,
    /// The connection broke after the call was sent.
    #[error("the connection broke before the reply")]
    Disconnected,
    /// No reply came in time.
    #[error("no reply in time")]
    TimedOut,
}

/// What a link needs to connect.
#[derive(Clone)]
pub struct LinkTarget {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Who this daemon is.
    pub own: PeerIdentity,
    /// Counts bytes.
    pub traffic: Arc<Traffic>,
    /// Whom the node can reach.
    pub reachability: Reachability,
}

struct Connected {
    generation: u64,
    writer: FrameWriter,
}

/// The actor behind a [`Link`].
pub struct LinkActor {
    target: LinkTarget,
    own_ref: Option<ActorRef<LinkActor>>,
    connected: Option<Connected>,
    generation: u64,
    next_call: u64,
    waiting: HashMap<u64, oneshot::Sender<Result<Reply, CallError>>>,
}

impl Actor for LinkActor {
    type Args = LinkTarget;
    type Error = std::convert::Infallible;

    async fn on_start(target: LinkTarget, actor: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(LinkActor {
            target,
            own_ref: Some(actor),
            connected: None,
            generation: 0,
            next_call: 0,
            waiting: HashMap::new(),
        })
    }
}

/// A call to send, and where its reply goes.
pub struct SendCall {
    request: Request,
    answer: oneshot::Sender<Result<Reply, CallError>>,
}

/// Something the reading task saw on connection `generation`.
pub struct Incoming {
    generation: u64,
    frame: Option<Frame>,
}

impl Message<SendCall> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, call: SendCall, _context: &mut Context<Self, ()>) {
        if !self.target.reachability.allows(self.target.address) {
            self.disconnect();
        }
        if !self.ensure_connected().await {
            let _ = call.answer.send(Err(CallError::Unreachable));
            return;
        }
        self.next_call += 1;
        let number = self.next_call;
        self.waiting.insert(number, call.answer);
        let frame = Frame::Request { call: number, request: call.request };
        let sent = match &mut self.connected {
            Some(connected) => connected.writer.send(&frame).await.is_ok(),
            None => false,
        };
        if !sent {
            self.disconnect();
        }
    }
}

impl Message<Incoming> for LinkActor {
    type Reply = ();

    async fn handle(&mut self, incoming: Incoming, _context: &mut Context<Self, ()>) {
        let current = self.connected.as_ref().map(|connected| connected.generation);
        if current != Some(incoming.generation) {
            return;
        }
        match incoming.frame {
            Some(Frame::Reply { call, reply }) => {
                if let Some(answer) = self.waiting.remove(&call) {
                    let _ = answer.send(Ok(reply));
                }
            }
            Some(_) => {}
            None => self.disconnect(),
        }
    }
}

impl LinkActor {
    async fn ensure_connected(&mut self) -> bool {
        if self.connected.is_some() {
            return true;
        }
        if !self.target.reachability.allows(self.target.address) {
            return false;
        }
        let attempt = connect(self.target.address, &self.target.key, &self.target.own);
        let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, attempt).await else {
            return false;
        };
        connection.count_on(&self.target.traffic);
        self.generation += 1;
        let Connection { mut reader, writer, .. } = connection;
        let generation = self.generation;
        self.connected = Some(Connected { generation, writer });
        let Some(actor) = self.own_ref.clone() else {
            return false;
        };
        tokio::spawn(async move {
            loop {
                let frame = reader.receive().await.ok();
                let ended = frame.is_none();
                let delivered = actor.tell(Incoming { generation, frame }).await.is_ok();
                if ended || !delivered {
                    return;
                }
            }
        });
        true
    }

    fn disconnect(&mut self) {
        self.connected = None;
        for (_, answer) in self.waiting.drain() {
            let _ = answer.send(Err(CallError::Disconnected));
        }
    }
}

/// A handle to call one peer.
#[derive(Clone)]
pub struct Link {
    actor: ActorRef<LinkActor>,
}

impl Link {
    /// Starts the actor; it connects at the first call.
    pub fn spawn(target: LinkTarget) -> Self {
        Link { actor: LinkActor::spawn(target) }
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
