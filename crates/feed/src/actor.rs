//! Actor that owns the view and the links to the replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_protocol::message::{
    CatalogBody, FleetUpdate, RelayedUpdate, RenewalUpdate, RouterUpdate, WeightsAge,
};
use juniper_protocol::{ClusterKey, PeerIdentity};
use juniper_registry::{InstanceName, ObservedInstance};
use juniper_types::{NodeId, Timestamp, ZoneName};
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{broadcast, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::confirmation::{ConfirmationFields, ConfirmedView};
use crate::link::LinkCommand;
use crate::links::Link;
use crate::router_count::{RouterCount, RouterCounter};
use crate::view::FleetView;
use crate::view_builder::{FleetViewBuilder, MergeOutcome};

/// Interval between checks whether a missing catalog has to be requested again.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Updates of several routers, as relayed by a replica.
pub type RelayedBatch = Arc<Vec<RelayedUpdate>>;

/// Settings of a [`Feed`](crate::Feed).
pub struct FeedSettings {
    /// Secret shared by all daemons of the cluster.
    pub key: ClusterKey,
    /// Identity of this node.
    pub own: PeerIdentity,
    /// Replicas to follow until they name the members of their group.
    pub seeds: Vec<NodeId>,
    /// Addresses of replicas whose node ids don't encode their addresses; other replicas need no
    /// entry.
    pub addresses: BTreeMap<NodeId, SocketAddr>,
}

/// Event on the link to a replica.
pub(crate) struct ReplicaEvent {
    /// Replica at the other end of the link.
    pub node: NodeId,
    pub event: LinkEvent,
}

/// Kinds of events on a link.
pub(crate) enum LinkEvent {
    Connected {
        zone: ZoneName,
    },
    Disconnected,
    RouterUpdates(Vec<RelayedUpdate>),
    Fleet(FleetUpdate),
    Instances {
        observed: Vec<ObservedInstance>,
        is_complete: bool,
        removed: Vec<InstanceName>,
        /// Whether the servers are those that all replicas know, rather than those that this
        /// replica observed itself.
        is_fleet_wide: bool,
    },
    Renewals(RenewalUpdate),
    Catalog(Option<CatalogBody>),
    Confirmed {
        at: BootInstant,
        revision: u64,
        routers: u32,
        weights: Option<Vec<WeightsAge>>,
    },
}

/// Actor behind [`Feed`](crate::Feed).
pub(crate) struct FeedActor {
    pub(crate) settings: FeedSettings,
    pub(crate) self_ref: ActorRef<FeedActor>,
    /// Origin of the timestamps in the view.
    started: Instant,
    /// Start of this node on the clock of the confirmations.
    pub(crate) started_boot: BootInstant,
    pub(crate) view_builder: FleetViewBuilder,
    pub(crate) links: BTreeMap<NodeId, Link>,
    view: watch::Sender<Arc<FleetView>>,
    pub(crate) confirmed_view: watch::Sender<Option<ConfirmedView>>,
    /// Whether the view was confirmed recently, as logged last.
    is_confirmed_logged: bool,
    router_counter: RouterCounter,
    router_count: watch::Sender<RouterCount>,
    router_updates: broadcast::Sender<RelayedBatch>,
    /// Zones of the connected replicas.
    pub(crate) zones: BTreeMap<NodeId, ZoneName>,
    /// Replica through which this router exchanges updates with the other routers.
    pub(crate) relay: Option<NodeId>,
    /// Announces each connection to a relay.
    pub(crate) relay_changes: watch::Sender<Option<NodeId>>,
    /// Replicas to follow, in order of preference.
    pub(crate) followed: Vec<NodeId>,
    /// Unreachable replicas, with the time of the latest connection loss or failed attempt.
    pub(crate) unreachable: BTreeMap<NodeId, Instant>,
}

/// Sending ends of the channels that the feed publishes on.
pub(crate) struct PublishedChannels {
    pub(crate) view: watch::Sender<Arc<FleetView>>,
    pub(crate) confirmed_view: watch::Sender<Option<ConfirmedView>>,
    pub(crate) router_count: watch::Sender<RouterCount>,
    pub(crate) router_updates: broadcast::Sender<RelayedBatch>,
    pub(crate) relay_changes: watch::Sender<Option<NodeId>>,
}

/// Arguments for starting the actor.
pub(crate) struct FeedArguments {
    pub(crate) settings: FeedSettings,
    pub(crate) started: Instant,
    pub(crate) published: PublishedChannels,
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
            self_ref: actor.clone(),
            started,
            started_boot: BootInstant::now(),
            view_builder: FleetViewBuilder::default(),
            links: BTreeMap::new(),
            view: published.view,
            confirmed_view: published.confirmed_view,
            is_confirmed_logged: false,
            router_counter: RouterCounter::default(),
            router_count: published.router_count,
            router_updates: published.router_updates,
            zones: BTreeMap::new(),
            relay: None,
            relay_changes: published.relay_changes,
            followed: Vec::new(),
            unreachable: BTreeMap::new(),
        };
        feed.update_links();
        tokio::spawn(run_fetch_timer(actor));
        Ok(feed)
    }
}

async fn run_fetch_timer(feed: ActorRef<FeedActor>) {
    let mut ticks = interval(FETCH_RETRY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if feed.tell(RetryCatalogFetch).await.is_err() {
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
                self.view_builder.set_in_own_zone(node, zone == self.settings.own.zone);
                self.zones.insert(node, zone);
                self.unreachable.remove(&node);
                self.update_relay();
                self.view_builder.set_connected(node, true)
            }
            LinkEvent::Disconnected => {
                self.zones.remove(&node);
                self.unreachable.insert(node, Instant::now());
                self.update_relay();
                self.view_builder.set_connected(node, false)
            }
            LinkEvent::RouterUpdates(updates) => {
                self.forward_router_updates(updates);
                MergeOutcome::default()
            }
            LinkEvent::Fleet(update) => {
                self.log_earlier_departures(&update);
                self.view_builder.apply_fleet_update(node, update, now)
            }
            LinkEvent::Instances { observed, is_complete, removed, is_fleet_wide } => {
                let outcome = self.view_builder.apply_instances(node, observed, is_complete, now);
                if is_fleet_wide && is_complete {
                    // A complete fleet-wide list supersedes what other replicas reported before.
                    self.view_builder.retain_only_source(node);
                }
                let removal = self.view_builder.remove_instances(node, &removed);
                MergeOutcome { changed: outcome.changed || removal.changed, ..outcome }
            }
            LinkEvent::Renewals(update) => self.view_builder.apply_renewals(node, update),
            LinkEvent::Catalog(body) => match self.view_builder.apply_catalog(body, now) {
                Ok(outcome) => outcome,
                Err(error) => {
                    log::error!("event=catalog_unreadable replica={node} reason=\"{error}\"");
                    MergeOutcome::default()
                }
            },
            LinkEvent::Confirmed { at, revision, routers, weights } => {
                self.router_counter.record(node, routers, at);
                self.update_router_count();
                self.view_builder.record_confirmation(node, at, revision);
                self.view_builder.apply_weights_ages(weights.unwrap_or_default(), now)
            }
        };
        self.apply_outcome(outcome);
    }
}

/// Requests a missing catalog again, and expires silent servers and outdated reports of the number
/// of routers.
struct RetryCatalogFetch;

impl Message<RetryCatalogFetch> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, _retry: RetryCatalogFetch, _context: &mut Context<Self, ()>) {
        let now = self.now();
        let expiry = self.view_builder.expire_silent_instances(now);
        let fetch = self.view_builder.next_fetch(now);
        self.update_router_count();
        self.apply_outcome(MergeOutcome { changed: expiry.changed, fetch });
    }
}

/// Publishes an update to the other routers.
pub(crate) struct PublishToRouters(pub(crate) RouterUpdate);

impl Message<PublishToRouters> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: PublishToRouters, _context: &mut Context<Self, ()>) {
        if let Some(relay) = self.relay {
            self.send_command(relay, LinkCommand::Publish(message.0));
        }
    }
}

/// Replaces the seeds.
pub(crate) struct SetSeeds(pub(crate) Vec<NodeId>);

impl Message<SetSeeds> for FeedActor {
    type Reply = ();

    async fn handle(&mut self, message: SetSeeds, _context: &mut Context<Self, ()>) {
        self.settings.seeds = message.0;
        self.update_links();
    }
}

impl FeedActor {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Logs departures of earlier incarnations than the listed ones, which stay in use.
    fn log_earlier_departures(&self, update: &FleetUpdate) {
        for departed in update.departed() {
            let listed = self.view_builder.view().instances.get(departed.name());
            let later = listed.filter(|listed| listed.id.started() > departed.started());
            if let Some(listed) = later {
                log::info!(
                    "event=departure_of_earlier_incarnation instance={departed} through={} listed={}",
                    departed.started().unix_ms(),
                    listed.id.started().unix_ms()
                );
            }
        }
    }

    /// Forwards updates of other routers to the subscribers. The relay sends each update to all
    /// routers, so this router's own updates come back and are dropped here.
    fn forward_router_updates(&self, mut updates: Vec<RelayedUpdate>) {
        let own = self.settings.own.node;
        updates.retain(|update| update.from != own);
        if !updates.is_empty() {
            // Sending fails if nothing subscribes, as in a node that doesn't use these updates.
            let _ = self.router_updates.send(Arc::new(updates));
        }
    }

    /// Publishes the number of routers as of now.
    fn update_router_count(&mut self) {
        let members = self.view_builder.members();
        let Some(count) = self.router_counter.count(&members, BootInstant::now()) else {
            return;
        };
        let former = self.router_count.send_replace(count);
        if former != count {
            let RouterCount { estimate, sharing } = count;
            log::info!(
                "event=router_count routers={estimate} sharing={} former={}",
                sharing.unwrap_or(0),
                former.sharing.unwrap_or(0)
            );
        }
    }

    fn apply_outcome(&mut self, outcome: MergeOutcome) {
        if outcome.changed {
            self.publish_view();
        }
        self.publish_confirmed_view();
        self.log_confirmation_state();
        if let Some((node, above)) = outcome.fetch {
            // If the link has just ended, the fetch timer requests the catalog again.
            self.send_command(node, LinkCommand::Fetch(above));
        }
        self.update_links();
    }

    fn publish_confirmed_view(&self) {
        let view = Arc::clone(&self.view.borrow());
        let confirmation = self.view_builder.confirmation();
        let latest = confirmation.map(|confirmation| ConfirmedView { view, confirmation });
        self.confirmed_view.send_if_modified(|published| {
            let is_changed = *published != latest;
            *published = latest;
            is_changed
        });
    }

    /// Logs when confirmations stop and when they come again.
    fn log_confirmation_state(&mut self) {
        let is_confirmed = !self.is_unconfirmed();
        if is_confirmed != self.is_confirmed_logged {
            self.is_confirmed_logged = is_confirmed;
            let process_age_ms = self.started_boot.elapsed().as_millis();
            let confirmation = ConfirmationFields(self.view_builder.confirmation());
            let version = self.view_builder.view().catalog_version();
            log::info!(
                "event=view_confirmed confirmed={is_confirmed} catalog={version} {confirmation} \
                 process_age_ms={process_age_ms}"
            );
        }
    }

    fn publish_view(&self) {
        let view = self.view_builder.view();
        let before = self.view.borrow().catalog_version();
        if view.catalog_version() != before {
            let (version, revision) = (view.catalog_version(), view.revision);
            log::info!("event=catalog_in_force version={version} revision={revision}");
        }
        self.view.send_replace(Arc::new(view.clone()));
    }
}
