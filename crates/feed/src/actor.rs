//! The actor that owns the view and the connections to the replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, RelayedUpdate, RenewalUpdate, RouterUpdate,
};
use juniper_protocol::{ClusterKey, PeerIdentity};
use juniper_registry::{HeardInstance, InstanceName};
use juniper_types::{NodeId, Timestamp, ZoneName};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{broadcast, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::fold::{FleetFold, FoldOutcome};
use crate::following::Link;
use crate::link::LinkCommand;
use crate::view::FleetView;

/// Pace at which a configuration that didn't come is asked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// What several routers told.
pub type RelayedBatch = Arc<Vec<RelayedUpdate>>;

/// What a feed needs.
pub struct FeedSettings {
    /// Secret shared by the daemons.
    pub key: ClusterKey,
    /// Who this node is.
    pub own: PeerIdentity,
    /// Replicas to begin with.
    pub seeds: Vec<NodeId>,
    /// Where replicas are reached whose numbers aren't addresses; the others need no entry.
    pub addresses: BTreeMap<NodeId, SocketAddr>,
}

/// Something that happened on the link to a replica.
pub(crate) struct ReplicaEvent {
    /// The replica.
    pub node: NodeId,
    /// What happened.
    pub event: LinkEvent,
}

/// What can happen on a link.
pub(crate) enum LinkEvent {
    Connected {
        zone: ZoneName,
    },
    Disconnected,
    Told(Vec<RelayedUpdate>),
    News(FleetUpdate),
    Instances {
        heard: Vec<HeardInstance>,
        whole: bool,
        gone: Vec<InstanceName>,
        /// Whether it is what all replicas know, and not what this one has heard itself.
        of_fleet: bool,
    },
    Renewals(RenewalUpdate),
    Catalog(Option<CatalogBody>),
    Confirmed {
        at: BootInstant,
        revision: u64,
        routers: u32,
    },
}

/// Owns the view.
pub(crate) struct FeedActor {
    pub(crate) settings: FeedSettings,
    pub(crate) own_ref: ActorRef<FeedActor>,
    started: Instant,
    /// Origin of the times of confirmations, whose ages count suspensions.
    booted: BootInstant,
    pub(crate) fold: FleetFold,
    pub(crate) links: BTreeMap<NodeId, Link>,
    view: watch::Sender<Arc<FleetView>>,
    pub(crate) confirmed_at: watch::Sender<Option<BootInstant>>,
    routers: watch::Sender<u32>,
    news: broadcast::Sender<RelayedBatch>,
    /// Zones of the replicas that are connected.
    pub(crate) zones: BTreeMap<NodeId, ZoneName>,
    /// The replica through which this router tells others and hears from them.
    pub(crate) relay: Option<NodeId>,
    /// Replicas to follow, the preferred one first.
    pub(crate) followed: Vec<NodeId>,
    /// Replicas that could not be reached, with the time of the latest attempt.
    pub(crate) lost: BTreeMap<NodeId, Instant>,
}

/// What the actor publishes.
pub(crate) struct Published {
    pub(crate) view: watch::Sender<Arc<FleetView>>,
    pub(crate) confirmed_at: watch::Sender<Option<BootInstant>>,
    pub(crate) routers: watch::Sender<u32>,
    pub(crate) news: broadcast::Sender<RelayedBatch>,
}

/// What the actor starts with.
pub(crate) struct FeedArguments {
    pub(crate) settings: FeedSettings,
    pub(crate) started: Instant,
    pub(crate) published: Published,
}

impl Actor for FeedActor {
    type Args = FeedArguments;
    type Error = std::convert::Infallible;

    async fn on_start(
        arguments: FeedArguments,
        actor: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let FeedArguments { settings, started, published } = arguments;
        let mut feed = FeedActor {
            settings,
            own_ref: actor.clone(),
            started,
            booted: BootInstant::now(),
            fold: FleetFold::default(),
            links: BTreeMap::new(),
            view: published.view,
            confirmed_at: published.confirmed_at,
            routers: published.routers,
            news: published.news,
            zones: BTreeMap::new(),
            relay: None,
            followed: Vec::new(),
            lost: BTreeMap::new(),
        };
        feed.follow_members();
        tokio::spawn(keep_retrying(actor));
        Ok(feed)
    }
}

async fn keep_retrying(feed: ActorRef<FeedActor>) {
    let mut ticks = interval(RETRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if feed.tell(RetryFetch).await.is_err() {
            return;
        }
    }
}

impl Message<ReplicaEvent> for FeedActor {
    type Reply = ();

    async fn handle(
        &mut self,
        ReplicaEvent { node, event }: ReplicaEvent,
        _context: &mut Context<Self, ()>,
    ) {
        if !self.links.contains_key(&node) {
            return;
        }
        let now = self.now();
        let outcome = match event {
            LinkEvent::Connected { zone } => {
                self.fold.set_near(node, zone == self.settings.own.zone);
                self.zones.insert(node, zone);
                self.lost.remove(&node);
                self.choose_relay();
                self.fold.set_connected(node, true)
            }
            LinkEvent::Disconnected => {
                self.zones.remove(&node);
                self.lost.insert(node, Instant::now());
                self.choose_relay();
                self.fold.set_connected(node, false)
            }
            LinkEvent::Told(told) => {
                self.hear(told);
                FoldOutcome::default()
            }
            LinkEvent::News(news) => self.fold.news(node, news, now),
            LinkEvent::Instances { heard, whole, gone, of_fleet } => {
                let outcome = self.fold.instances(node, heard, whole, now);
                if of_fleet && whole {
                    // What other replicas said before is in it, or has gone.
                    self.fold.keep_only(node);
                }
                let forgotten = self.fold.forget(node, &gone);
                FoldOutcome { changed: outcome.changed || forgotten.changed, ..outcome }
            }
            LinkEvent::Renewals(news) => self.fold.renewals(node, news),
            LinkEvent::Catalog(body) => match self.fold.catalog(body, now) {
                Ok(outcome) => outcome,
                Err(error) => {
                    log::error!("event=catalog_unreadable replica={node} reason=\"{error}\"");
                    FoldOutcome::default()
                }
            },
            LinkEvent::Confirmed { at, revision, routers } => {
                self.fold.set_routers(node, routers);
                self.routers.send_replace(self.fold.routers());
                let at = Timestamp::ZERO.after(at.since(self.booted));
                self.fold.confirmed(node, at, revision);
                FoldOutcome::default()
            }
        };
        self.act_on(outcome);
    }
}

/// Ask again for a configuration that didn't come.
struct RetryFetch;

impl Message<RetryFetch> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, _retry: RetryFetch, _context: &mut Context<Self, ()>) {
        let now = self.now();
        let gone = self.fold.forget_gone(now);
        let fetch = self.fold.next_fetch(now);
        self.act_on(FoldOutcome { changed: gone.changed, fetch });
    }
}

/// Tell the other routers.
pub(crate) struct TellRouters(pub(crate) RouterUpdate);

impl Message<TellRouters> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: TellRouters, _context: &mut Context<Self, ()>) {
        if let Some(relay) = self.relay {
            self.command(relay, LinkCommand::Tell(message.0));
        }
    }
}

/// Other seeds stand in the settings now.
pub(crate) struct SetSeeds(pub(crate) Vec<NodeId>);

impl Message<SetSeeds> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: SetSeeds, _context: &mut Context<Self, ()>) {
        self.settings.seeds = message.0;
        self.follow_members();
    }
}

impl FeedActor {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Hands on what other routers tell. One message goes to all listeners, so what this
    /// router told comes back to it.
    fn hear(&self, mut told: Vec<RelayedUpdate>) {
        let own = self.settings.own.node;
        told.retain(|told| told.from != own);
        if !told.is_empty() {
            // A node without use for them doesn't listen.
            let _ = self.news.send(Arc::new(told));
        }
    }

    fn act_on(&mut self, outcome: FoldOutcome) {
        if outcome.changed {
            self.publish();
        }
        self.confirmed_at.send_if_modified(|published| {
            let latest = self.fold.confirmed_at();
            let latest = latest.map(|at| self.booted + at.since(Timestamp::ZERO));
            let changed = *published != latest;
            *published = latest;
            changed
        });
        if let Some((node, above)) = outcome.fetch {
            // It is asked for again if the link has just ended.
            self.command(node, LinkCommand::Fetch(above));
        }
        self.follow_members();
    }

    fn publish(&self) {
        let view = self.fold.view();
        let before = self.view.borrow().catalog_version();
        if view.catalog_version() != before {
            let (version, revision) = (view.catalog_version(), view.revision);
            log::info!("event=catalog_in_force version={version} revision={revision}");
        }
        self.view.send_replace(Arc::new(view.clone()));
    }
}
