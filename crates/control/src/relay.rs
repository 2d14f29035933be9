//! Passes on what routers tell each other.
//!
//! A router tells the replica that it listens to; that replica tells the other replicas once,
//! and each of them its own listeners. So what one router says crosses to each zone once,
//! whatever the number of routers there, and a replica's work grows with its own listeners.
//! What comes within `GATHER_TIME` travels in one message that is encoded once for all
//! listeners, so that neither wakes up for each prompt.
//!
//! Nothing here is repeated: what is lost costs a read of a prompt, or an attempt to reach a
//! server that is down.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_protocol::message::{RelayedUpdate, RouterUpdate, encode};
use juniper_protocol::{Message, PeerIdentity};
use juniper_types::NodeId;
use tokio::sync::{Notify, broadcast};
use tokio::time::sleep;

use crate::metrics::Metrics;
use crate::peers::PeerLinks;
use crate::renewals::SharedFrame;
use crate::replica::ReplicaView;

/// Time for which news are gathered. Two of them pass between two zones. Chosen below the 25 ms
/// for which each router gathered before; other times were not tried.
const GATHER_TIME: Duration = Duration::from_millis(15);

/// Messages of one router that are gathered at most; more are lost. It is some seconds of
/// the fleet designed for.
const MAX_GATHERED: usize = 8_192;

/// Encoded messages that wait for a slow listener; older ones are lost for it. It is about
/// a second.
const WAITING_FRAMES: usize = 64;

/// News that wait to be passed on.
#[derive(Debug, Default)]
struct Gathered {
    /// From routers that listen here. The other replicas have to be told.
    from_routers: Vec<RelayedUpdate>,
    /// From the other replicas.
    from_replicas: Vec<RelayedUpdate>,
}

impl Gathered {
    fn len(&self) -> usize {
        self.from_routers.len() + self.from_replicas.len()
    }
}

/// What routers tell each other, on its way through this replica.
pub struct NewsRelay {
    gathered: Mutex<Gathered>,
    wake: Notify,
    frames: broadcast::Sender<SharedFrame>,
    metrics: Arc<Metrics>,
}

impl NewsRelay {
    /// Nothing waits yet.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        NewsRelay {
            gathered: Mutex::default(),
            wake: Notify::new(),
            frames: broadcast::Sender::new(WAITING_FRAMES),
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Gathered> {
        self.gathered.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// A router that listens here tells something.
    pub(crate) fn hear_router(&self, from: &PeerIdentity, update: RouterUpdate) {
        let told = RelayedUpdate { from: from.node, zone: from.zone.clone(), update };
        self.gather(vec![told], |gathered| &mut gathered.from_routers);
    }

    /// Another replica passes on what its routers told.
    pub(crate) fn hear_replica(&self, told: Vec<RelayedUpdate>) {
        self.gather(told, |gathered| &mut gathered.from_replicas);
    }

    fn gather(
        &self,
        told: Vec<RelayedUpdate>,
        place: impl Fn(&mut Gathered) -> &mut Vec<RelayedUpdate>,
    ) {
        let mut gathered = self.lock();
        if gathered.len() + told.len() > MAX_GATHERED {
            drop(gathered);
            self.lost(told.len() as u64, "too_many_gathered");
            return;
        }
        place(&mut gathered).extend(told);
        drop(gathered);
        self.wake.notify_one();
    }

    /// Counts messages that were lost on their way through this replica.
    fn lost(&self, messages: u64, reason: &'static str) {
        self.metrics.relayed_lost.inc_by(messages);
        log::warn!("event=router_news_lost messages={messages} reason={reason}");
    }

    /// Passes on what comes, for ever.
    pub(crate) async fn run(&self, peers: &PeerLinks, view: &ReplicaView) {
        loop {
            self.wake.notified().await;
            sleep(GATHER_TIME).await;
            let Gathered { from_routers, from_replicas } = std::mem::take(&mut *self.lock());
            if !from_routers.is_empty() {
                let payload = encode(&Message::RelayedUpdate(from_routers.clone()));
                other_replicas(view).for_each(|node| peers.send_encoded(node, payload.clone()));
            }
            let mut all = from_routers;
            all.extend(from_replicas);
            self.metrics.relayed.inc_by(all.len() as u64);
            // Nobody may listen at the moment.
            let _ = self.frames.send(Arc::new(encode(&Message::RelayedUpdate(all))));
        }
    }

    /// What is passed on from now on.
    pub(crate) fn listen(&self) -> RelayListener<'_> {
        RelayListener { relay: self, frames: self.frames.subscribe() }
    }
}

fn other_replicas(view: &ReplicaView) -> impl Iterator<Item = NodeId> + use<> {
    let status = view.status.borrow();
    let own = status.id.node;
    let members = status.membership.members.iter().map(|member| member.id.node);
    members.filter(|node| *node != own).collect::<Vec<_>>().into_iter()
}

/// What one listener is sent.
pub(crate) struct RelayListener<'a> {
    relay: &'a NewsRelay,
    frames: broadcast::Receiver<SharedFrame>,
}

impl RelayListener<'_> {
    /// The next message; `None` once the replica has ended. What a slow listener has missed
    /// is lost for it.
    pub(crate) async fn next(&mut self) -> Option<SharedFrame> {
        loop {
            match self.frames.recv().await {
                Ok(frame) => return Some(frame),
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    self.relay.lost(missed, "slow_listener");
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }
}
