//! A handle to a running feed.

use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{ChargeAnswer, LimitCharge, QuarantineRequest, RouterUpdate};
use juniper_types::{NodeId, RequestFingerprint};
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::sync::{broadcast, oneshot, watch};
use tokio::time::Instant;

use crate::actor::{
    FeedActor, FeedArguments, FeedSettings, Published, RelayedBatch, SetSeeds, TellRouters,
};
use crate::charge::{ChargeError, PendingCharge};
use crate::replica_calls::{ChargeLimit, GiveBack, RecordQuarantine, RecordRelease};
use crate::view::FleetView;

/// Events that wait for the actor; links wait beyond that.
const MAILBOX_CAPACITY: usize = 64;

/// Routers that are assumed until a replica has told their number. More is the
/// safe side: each keeps to a smaller part of what they share.
const UNKNOWN_ROUTERS: u32 = 32;

/// Batches of news that wait for whoever listens; older ones are lost.
const WAITING_NEWS: usize = 64;

/// A running feed.
#[derive(Clone)]
pub struct Feed {
    actor: ActorRef<FeedActor>,
    started: Instant,
    view: watch::Receiver<Arc<FleetView>>,
    confirmed_at: watch::Receiver<Option<BootInstant>>,
    routers: watch::Receiver<u32>,
    news: broadcast::Sender<RelayedBatch>,
}

impl Feed {
    /// Starts to follow the replicas.
    pub fn start(settings: FeedSettings) -> Self {
        let started = Instant::now();
        let (view_sender, view) = watch::channel(Arc::default());
        let (confirmed_sender, confirmed_at) = watch::channel(None);
        let news = broadcast::Sender::new(WAITING_NEWS);
        let (routers_sender, routers) = watch::channel(UNKNOWN_ROUTERS);
        let published = Published {
            view: view_sender,
            confirmed_at: confirmed_sender,
            routers: routers_sender,
            news: news.clone(),
        };
        let arguments = FeedArguments { settings, started, published };
        let actor = FeedActor::spawn_with_mailbox(arguments, mailbox::bounded(MAILBOX_CAPACITY));
        Feed { actor, started, view, confirmed_at, routers, news }
    }

    /// What the node knows of the fleet.
    pub fn view(&self) -> watch::Receiver<Arc<FleetView>> {
        self.view.clone()
    }

    /// The latest view.
    pub fn latest(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Time since a quorum confirmed that the view was complete, if ever; suspensions count.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.borrow().map(|at| at.elapsed())
    }

    /// Tells of confirmations.
    pub fn confirmations(&self) -> watch::Receiver<Option<BootInstant>> {
        self.confirmed_at.clone()
    }

    /// Routers that follow the replicas.
    pub fn routers(&self) -> u32 {
        *self.routers.borrow()
    }

    /// The origin of the times in the view.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// What other routers tell.
    pub fn news(&self) -> broadcast::Receiver<RelayedBatch> {
        self.news.subscribe()
    }

    /// Tells the other routers.
    pub async fn tell(&self, news: RouterUpdate) {
        // A feed that has ended reaches nobody.
        let _ = self.actor.tell(TellRouters(news)).await;
    }

    /// Has a request recorded as one that is sent to no server any more. `rank` says which replica
    /// is asked; whoever asks again takes the next one. The view tells when it is recorded.
    pub async fn record_quarantine(&self, call: QuarantineRequest, rank: usize) {
        // A feed that has ended reaches nobody.
        let _ = self.actor.tell(RecordQuarantine { call, rank }).await;
    }

    /// Has it recorded that a request may be sent again.
    pub async fn record_release(&self, request: RequestFingerprint) {
        // A feed that has ended reaches nobody.
        let _ = self.actor.tell(RecordRelease(request)).await;
    }

    /// Has a request counted by the replica that owns its account: the connected one that
    /// comes at `rank` in the account's order. The caller bounds the wait.
    ///
    /// # Errors
    /// Fails when there is no such replica, or it doesn't answer.
    pub async fn charge(
        &self,
        charge: LimitCharge,
        rank: usize,
    ) -> Result<ChargeAnswer, ChargeError> {
        let (answer, answered) = oneshot::channel();
        let message = ChargeLimit { pending: PendingCharge { charge, answer }, rank };
        // A feed that has ended drops the sender, which the wait below notices.
        let _ = self.actor.tell(message).await;
        answered.await.unwrap_or(Err(ChargeError::Disconnected))
    }

    /// Tells the owner of the account that no server has run what was counted. If it
    /// can't be told, the next requests are admitted a little later.
    pub async fn give_back(&self, account: String, units: f64) {
        // A feed that has ended reaches nobody.
        let _ = self.actor.tell(GiveBack { account, units }).await;
    }

    /// Takes over the seeds of settings that have changed.
    pub async fn set_seeds(&self, seeds: Vec<NodeId>) {
        // A feed that has ended follows nobody.
        let _ = self.actor.tell(SetSeeds(seeds)).await;
    }
}
