//! Handle to a running feed.

use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::message::{ChargeAnswer, LimitCharge, QuarantineRequest, RouterUpdate};
use juniper_protocol::{ClusterKey, PeerIdentity};
use juniper_types::{NodeId, RequestFingerprint};
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::{broadcast, oneshot, watch};
use tokio::time::Instant;

use crate::actor::{
    FeedActor, FeedArguments, FeedSettings, PublishToRouters, PublishedChannels, RelayedBatch,
    SetSeeds,
};
use crate::charge::{ChargeError, PendingCharge};
use crate::confirmation::{Confirmation, ConfirmedView};
use crate::replica_calls::{ChargeLimit, RecordQuarantine, RecordRelease, RefundCharge};
use crate::router_count::RouterCount;
use crate::view::FleetView;

/// Capacity of the actor's mailbox; links wait when it is full.
const MAILBOX_CAPACITY: usize = 64;

/// Number of routers assumed until a replica has reported it. A high value is the safe one: each
/// router takes a smaller share of common limits.
const DEFAULT_ROUTER_COUNT: RouterCount = RouterCount { estimate: 32, sharing: None };

/// Capacity of the channel of router updates, in batches; a slow receiver loses the oldest ones.
const ROUTER_UPDATE_CAPACITY: usize = 64;

/// Cloneable handle to the actor that follows the replicas.
#[derive(Clone)]
pub struct Feed {
    actor: ActorRef<FeedActor>,
    key: ClusterKey,
    own: PeerIdentity,
    started: Instant,
    view: watch::Receiver<Arc<FleetView>>,
    confirmed_view: watch::Receiver<Option<ConfirmedView>>,
    router_count: watch::Receiver<RouterCount>,
    router_updates: broadcast::Sender<RelayedBatch>,
    relay_changes: watch::Receiver<Option<NodeId>>,
}

impl Feed {
    /// Starts following the replicas.
    pub fn start(mut settings: FeedSettings) -> Self {
        settings.own.incarnation.get_or_insert_with(rand::random);
        let started = Instant::now();
        let (view_sender, view) = watch::channel(Arc::default());
        let (confirmed_sender, confirmed_view) = watch::channel(None);
        let router_updates = broadcast::Sender::new(ROUTER_UPDATE_CAPACITY);
        let (router_count_sender, router_count) = watch::channel(DEFAULT_ROUTER_COUNT);
        let (relay_sender, relay_changes) = watch::channel(None);
        let published = PublishedChannels {
            view: view_sender,
            confirmed_view: confirmed_sender,
            router_count: router_count_sender,
            router_updates: router_updates.clone(),
            relay_changes: relay_sender,
        };
        let (key, own) = (settings.key.clone(), settings.own.clone());
        let arguments = FeedArguments { settings, started, published };
        let actor = FeedActor::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX_CAPACITY));
        Feed {
            actor,
            key,
            own,
            started,
            view,
            confirmed_view,
            router_count,
            router_updates,
            relay_changes,
        }
    }

    /// Secret shared by all daemons of the cluster.
    pub fn cluster_key(&self) -> &ClusterKey {
        &self.key
    }

    /// Identity of this node.
    pub fn identity(&self) -> &PeerIdentity {
        &self.own
    }

    /// Watches the view of the fleet.
    pub fn view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// Current view of the fleet.
    pub fn latest(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Time since a quorum confirmed that the view was complete, including time in which the host
    /// was suspended; `None` if it has never been confirmed.
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.confirmation().map(|confirmation| confirmation.at.elapsed())
    }

    /// Latest confirmation of the view.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmed_view.borrow().as_ref().map(|confirmed| confirmed.confirmation)
    }

    /// View of the fleet with its latest confirmation; `None` if it has never been confirmed.
    pub fn confirmed_view(&self) -> Option<ConfirmedView> {
        self.confirmed_view.borrow().clone()
    }

    /// Watches the confirmed view.
    pub fn confirmations(&self) -> watch::Receiver<Option<ConfirmedView>> {
        self.confirmed_view.clone()
    }

    /// Best estimate of the number of routers.
    pub fn router_count(&self) -> u32 {
        self.router_count.borrow().estimate
    }

    /// Number of routers by which a common budget may be divided, so that all routers together stay
    /// within it; `None` while this router may not use any share.
    pub fn sharing_router_count(&self) -> Option<u32> {
        self.router_count.borrow().sharing
    }

    /// Origin of the timestamps in the view.
    pub fn time_origin(&self) -> Instant {
        self.started
    }

    /// Subscribes to the updates of other routers.
    pub fn subscribe_router_updates(&self) -> broadcast::Receiver<RelayedBatch> {
        self.router_updates.subscribe()
    }

    /// Watches the replica that receives the published updates; `None` while there is none. Each new
    /// connection to one counts as a change, since the replica may have lost what it knew.
    pub fn relay_changes(&self) -> watch::Receiver<Option<NodeId>> {
        self.relay_changes.clone()
    }

    /// Sends a message to the actor.
    pub(crate) async fn send<M: Send + 'static>(&self, message: M)
    where
        FeedActor: kameo::message::Message<M>,
    {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(message).await;
    }

    /// Publishes an update to the other routers.
    pub async fn publish(&self, update: RouterUpdate) {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(PublishToRouters(update)).await;
    }

    /// Asks a replica to record a request as quarantined. `rank` selects the replica; callers retry
    /// with the next rank. The view shows when the quarantine is recorded.
    pub async fn record_quarantine(&self, call: QuarantineRequest, rank: usize) {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(RecordQuarantine { call, rank }).await;
    }

    /// Asks a replica to record the release of a request from quarantine.
    pub async fn record_release(&self, request: RequestFingerprint) {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(RecordRelease(request)).await;
    }

    /// Charges a request at the replica that owns its account: the connected one of the given
    /// `rank` in the account's owner order. The caller sets the timeout.
    ///
    /// # Errors
    /// Fails when there is no such replica, or when it doesn't answer.
    pub async fn charge(
        &self,
        charge: LimitCharge,
        rank: usize,
    ) -> Result<ChargeAnswer, ChargeError> {
        let (answer, answered) = oneshot::channel();
        let message = ChargeLimit { pending: PendingCharge { charge, answer }, rank };
        // A stopped actor drops the sender, which the wait below reports.
        let _ = self.actor.tell(message).await;
        answered.await.unwrap_or(Err(ChargeError::Disconnected))
    }

    /// Refunds units at the owner of the account because no server executed the request. If the
    /// owner can't be reached, later requests are admitted somewhat later.
    pub async fn refund_charge(&self, account: String, units: f64) {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(RefundCharge { account, units }).await;
    }

    /// Replaces the seeds after a change of the settings.
    pub async fn set_seeds(&self, seeds: Vec<NodeId>) {
        // Sending fails only if the actor has stopped.
        let _ = self.actor.tell(SetSeeds(seeds)).await;
    }
}
