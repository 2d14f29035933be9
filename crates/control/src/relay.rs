//! Relay of updates between routers.
//!
//! A router sends its updates to the replica that it is subscribed to. That replica forwards them
//! once to each other replica, and every replica to its own subscribers. An update thus crosses to
//! each zone once, whatever the number of routers there, and the work of a replica grows only with
//! its own subscribers. Updates received within `BATCH_INTERVAL` share one message, encoded once for
//! all subscribers.
//!
//! There are no retransmissions: a lost update costs a cache miss, a failed connection attempt or a
//! stream that can't be resumed.
//!
//! Records of streams go to the replicas only, which keep them in memory for the routers that ask.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{RelayedUpdate, RouterUpdate, encode};
use juniper_protocol::{Message, PeerIdentity};
use juniper_stream_origins::{OriginTable, RecordOutcome, StreamOrigin, StreamRecord};
use juniper_types::{NodeId, StreamKey, Timestamp};
use tokio::sync::{Notify, broadcast};
use tokio::time::sleep;

use crate::metrics::{Metrics, to_gauge};
use crate::peers::PeerLinks;
use crate::renewal_log::SharedFrame;
use crate::replica::ReplicaView;

/// Time for which updates are batched. An update between zones waits twice: on the replica that
/// receives it, and on the one that delivers it.
const BATCH_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum number of pending updates, some seconds' worth at design load; further ones are dropped.
const MAX_PENDING_UPDATES: usize = 8_192;

/// Maximum number of messages queued for a slow subscriber, about one second's worth; older ones
/// are dropped.
const MAX_QUEUED_FRAMES: usize = 64;

/// Updates that wait to be relayed.
#[derive(Debug, Default)]
struct PendingUpdates {
    /// Updates from routers connected to this replica, to be forwarded to the other replicas too.
    from_routers: Vec<RelayedUpdate>,
    /// Updates forwarded by other replicas.
    from_replicas: Vec<RelayedUpdate>,
    /// Records of streams from routers connected to this replica, to be forwarded to the other
    /// replicas only.
    stream_records: Vec<RelayedUpdate>,
}

impl PendingUpdates {
    fn len(&self) -> usize {
        self.from_routers.len() + self.from_replicas.len() + self.stream_records.len()
    }
}

/// Relay of router updates through this replica.
pub struct UpdateRelay {
    pending: Mutex<PendingUpdates>,
    wake: Notify,
    frames: broadcast::Sender<SharedFrame>,
    metrics: Arc<Metrics>,
    /// Origins of the streams that routers have reported to any replica.
    origins: Mutex<OriginTable>,
    started: BootInstant,
}

impl UpdateRelay {
    /// Creates a relay without pending updates.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        UpdateRelay {
            pending: Mutex::default(),
            wake: Notify::new(),
            frames: broadcast::Sender::new(MAX_QUEUED_FRAMES),
            metrics,
            origins: Mutex::default(),
            started: BootInstant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PendingUpdates> {
        self.pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Accepts an update from a router connected to this replica.
    pub(crate) fn accept_router_update(&self, from: &PeerIdentity, mut update: RouterUpdate) {
        let relayed =
            |update| vec![RelayedUpdate { from: from.node, zone: from.zone.clone(), update }];
        if let Some(records) = update.stream_records.take() {
            self.record_origins(&records);
            let stream_records = Some(records);
            let update = RouterUpdate { stream_records, ..RouterUpdate::default() };
            self.add_pending(relayed(update), |pending| &mut pending.stream_records);
        }
        if !update.is_empty() {
            self.add_pending(relayed(update), |pending| &mut pending.from_routers);
        }
    }

    /// Accepts updates forwarded by another replica.
    pub(crate) fn accept_peer_updates(&self, mut updates: Vec<RelayedUpdate>) {
        for relayed in &mut updates {
            self.record_origins(&relayed.update.stream_records.take().unwrap_or_default());
        }
        updates.retain(|relayed| !relayed.update.is_empty());
        if !updates.is_empty() {
            self.add_pending(updates, |pending| &mut pending.from_replicas);
        }
    }

    /// Origin of a stream, if this replica has a record of it.
    pub(crate) fn find_origin(&self, stream: &StreamKey) -> Option<StreamOrigin> {
        self.lock_origins().find(stream).cloned()
    }

    fn lock_origins(&self) -> MutexGuard<'_, OriginTable> {
        self.origins.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn record_origins(&self, records: &[StreamRecord]) {
        let now = Timestamp::ZERO.after(self.started.elapsed());
        let mut origins = self.lock_origins();
        for record in records {
            if origins.record(record, now) == RecordOutcome::Conflicting {
                log::warn!("event=stream_origin_conflicting service={}", record.origin.service);
            }
        }
        self.metrics.stream_origins.set(to_gauge(origins.len() as u64));
    }

    fn add_pending(
        &self,
        updates: Vec<RelayedUpdate>,
        list: impl Fn(&mut PendingUpdates) -> &mut Vec<RelayedUpdate>,
    ) {
        let mut pending = self.lock();
        if pending.len() + updates.len() > MAX_PENDING_UPDATES {
            drop(pending);
            self.record_dropped(updates.len() as u64, "too_many_gathered");
            return;
        }
        list(&mut pending).extend(updates);
        drop(pending);
        self.wake.notify_one();
    }

    /// Counts and logs updates dropped by this replica.
    fn record_dropped(&self, messages: u64, reason: &'static str) {
        self.metrics.relayed_lost.inc_by(messages);
        log::warn!("event=router_news_lost messages={messages} reason={reason}");
    }

    /// Relays updates until cancelled.
    pub(crate) async fn run(&self, peers: &PeerLinks, view: &ReplicaView) {
        loop {
            self.wake.notified().await;
            sleep(BATCH_INTERVAL).await;
            let PendingUpdates { from_routers, from_replicas, stream_records } =
                std::mem::take(&mut *self.lock());
            let mut for_replicas = from_routers.clone();
            for_replicas.extend(stream_records);
            if !for_replicas.is_empty() {
                let payload = encode(&Message::RelayedUpdate(for_replicas));
                other_replicas(view).for_each(|node| peers.send_encoded(node, payload.clone()));
            }
            let mut all = from_routers;
            all.extend(from_replicas);
            if all.is_empty() {
                continue;
            }
            self.metrics.relayed.inc_by(all.len() as u64);
            // Fails if there is no subscriber at the moment.
            let _ = self.frames.send(Arc::new(encode(&Message::RelayedUpdate(all))));
        }
    }

    /// Subscribes to all updates relayed from now on.
    pub(crate) fn subscribe(&self) -> RelaySubscription<'_> {
        RelaySubscription { relay: self, frames: self.frames.subscribe() }
    }
}

fn other_replicas(view: &ReplicaView) -> impl Iterator<Item = NodeId> + use<> {
    let status = view.status.borrow();
    let own = status.id.node;
    let members = status.membership.members.iter().map(|member| member.id.node);
    members.filter(|node| *node != own).collect::<Vec<_>>().into_iter()
}

/// Subscription to relayed updates.
pub(crate) struct RelaySubscription<'a> {
    relay: &'a UpdateRelay,
    frames: broadcast::Receiver<SharedFrame>,
}

impl RelaySubscription<'_> {
    /// Returns the next encoded message, or `None` once the replica has ended. Messages dropped for
    /// a slow subscriber are skipped.
    pub(crate) async fn next(&mut self) -> Option<SharedFrame> {
        loop {
            match self.frames.recv().await {
                Ok(frame) => return Some(frame),
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    self.relay.record_dropped(missed, "slow_listener");
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }
}
