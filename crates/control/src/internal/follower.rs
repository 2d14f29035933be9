//! Pushes of fleet state, servers and rollout state to one subscribed node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use juniper_clock::BootInstant;
use juniper_control_state::{FleetState, QuarantineChange};
use juniper_protocol::message::{CatalogBody, FleetUpdate, QuarantineUpdate};
use juniper_protocol::{Message, PeerRole, Push, Reply, Request};
use juniper_types::{NodeId, ZoneName};
use tokio::sync::watch;

use super::InternalApi;
use super::session::{Outgoing, OutgoingSender, Peer};
use crate::renewal_log::SharedFrame;
use crate::replica::WeightsLog;

/// Number of replicas that a router subscribes to if not to all; equals `juniper_feed::FOLLOWED_REPLICAS`.
const FOLLOWED_REPLICAS: usize = 3;

/// Marker that the session has ended or the replica has stopped.
struct SessionEnded;

/// Guard that counts a router until dropped.
struct RouterCountGuard(Arc<AtomicU32>);

impl RouterCountGuard {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        RouterCountGuard(Arc::clone(count))
    }
}

impl Drop for RouterCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Scope of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowScope {
    /// Servers and rollout state of this replica.
    Replica,
    /// Rollout state of the whole fleet, and the servers observed by any replica if requested.
    Fleet { servers: bool },
}

impl FollowScope {
    /// Scope requested by a call, if the call is a subscription.
    pub(super) fn from_request(request: &Request) -> Option<Self> {
        match request {
            Request::Follow => Some(FollowScope::Replica),
            Request::FollowFleet { servers } => Some(FollowScope::Fleet { servers: *servers }),
            _ => None,
        }
    }
}

/// Pushes updates until the session ends.
pub(super) async fn run(
    api: Arc<InternalApi>,
    peer: Peer,
    sender: OutgoingSender,
    scopes: watch::Receiver<FollowScope>,
) {
    let is_router = peer.identity.role == PeerRole::Router;
    let scope = *scopes.borrow();
    let count_guard = is_router.then(|| RouterCountGuard::new(router_counter(&api, scope)));
    let follower = Follower {
        api,
        sender,
        scopes,
        scope,
        count_guard,
        fleet: None,
        instances: None,
        renewals: None,
    };
    let Err(SessionEnded) = follower.push_until_ended().await;
}

/// Counter of the routers subscribed with `scope`.
fn router_counter(api: &InternalApi, scope: FollowScope) -> &Arc<AtomicU32> {
    match scope {
        FollowScope::Replica => &api.full_followers,
        FollowScope::Fleet { .. } => &api.partial_followers,
    }
}

/// Fleet state last sent to the node.
struct SentFleet {
    revision: u64,
    members: Vec<(NodeId, ZoneName)>,
    /// Total number of departures up to then.
    departures: u64,
    /// Number of quarantine changes up to then.
    quarantine: u64,
}

struct Follower {
    api: Arc<InternalApi>,
    sender: OutgoingSender,
    scopes: watch::Receiver<FollowScope>,
    scope: FollowScope,
    /// Counts the node while subscribed; `None` unless the node is a router.
    count_guard: Option<RouterCountGuard>,
    fleet: Option<SentFleet>,
    /// Latest revision of the servers sent.
    instances: Option<u64>,
    /// Latest revision of the rollout state sent.
    renewals: Option<u64>,
}

impl Follower {
    async fn push_until_ended(mut self) -> Result<std::convert::Infallible, SessionEnded> {
        let mut fleet = self.api.view.fleet.clone();
        let mut status = self.api.view.status.clone();
        let mut instances = self.api.instance_publisher.watch_instances();
        let mut renewals = self.api.instance_publisher.watch_renewals();
        let mut fleet_published = self.api.fleet_publisher.watch();
        loop {
            // Mark changes as seen before reading the state, so that none is missed.
            fleet.mark_unchanged();
            status.mark_unchanged();
            instances.mark_unchanged();
            renewals.mark_unchanged();
            fleet_published.mark_unchanged();
            self.apply_scope();
            self.push_fleet().await?;
            self.push_instances().await?;
            self.push_renewals().await?;
            let is_replica_scope = self.scope == FollowScope::Replica;
            tokio::select! {
                changed = fleet.changed() => changed.map_err(|_| SessionEnded)?,
                changed = status.changed() => changed.map_err(|_| SessionEnded)?,
                changed = self.scopes.changed() => changed.map_err(|_| SessionEnded)?,
                changed = instances.changed(), if is_replica_scope => changed.map_err(|_| SessionEnded)?,
                changed = renewals.changed(), if is_replica_scope => changed.map_err(|_| SessionEnded)?,
                changed = fleet_published.changed(), if !is_replica_scope => changed.map_err(|_| SessionEnded)?,
            }
        }
    }

    /// Applies the scope that the node requested last. Revisions sent in another scope are reset.
    fn apply_scope(&mut self) {
        let scope = *self.scopes.borrow_and_update();
        if scope == self.scope {
            return;
        }
        let is_other_kind = (self.scope == FollowScope::Replica) != (scope == FollowScope::Replica);
        self.scope = scope;
        self.instances = None;
        if is_other_kind {
            self.renewals = None;
            let api = &self.api;
            self.count_guard = self
                .count_guard
                .as_ref()
                .map(|_| RouterCountGuard::new(router_counter(api, scope)));
        }
    }

    async fn push_fleet(&mut self) -> Result<(), SessionEnded> {
        let state = Arc::clone(&self.api.view.fleet.borrow());
        let members = self.members();
        let sent = self.fleet.as_ref();
        if sent.is_some_and(|sent| sent.revision == state.revision() && sent.members == members) {
            return Ok(());
        }
        let weights_log = self.api.view.weights_log.borrow().clone();
        let update = update_since(&state, sent, members.clone(), &weights_log);
        let (revision, departures) = (state.revision(), state.departures().total());
        let quarantine = state.quarantine().change_count();
        self.fleet = Some(SentFleet { revision, members, departures, quarantine });
        self.send(Push::Fleet(update)).await
    }

    fn members(&self) -> Vec<(NodeId, ZoneName)> {
        let status = self.api.view.status.borrow();
        let members = status.membership.members.iter();
        members.map(|member| (member.id.node, member.zone.clone())).collect()
    }

    async fn push_instances(&mut self) -> Result<(), SessionEnded> {
        let (revision, frames) = match self.scope {
            FollowScope::Replica => return self.push_replica_instances().await,
            FollowScope::Fleet { servers: false } => return Ok(()),
            FollowScope::Fleet { servers: true } => {
                self.api.fleet_publisher.servers().frames_after(self.instances)
            }
        };
        self.instances = Some(revision);
        self.send_all(frames).await
    }

    async fn push_replica_instances(&mut self) -> Result<(), SessionEnded> {
        let (revision, frame) = self.api.instance_publisher.instances_after(self.instances);
        if self.instances == Some(revision) {
            return Ok(());
        }
        self.instances = Some(revision);
        self.send_encoded(frame).await
    }

    async fn push_renewals(&mut self) -> Result<(), SessionEnded> {
        let (revision, frames) = match self.scope {
            FollowScope::Replica => {
                self.api.instance_publisher.renewals().frames_after(self.renewals)
            }
            FollowScope::Fleet { .. } => {
                self.api.fleet_publisher.renewals().frames_after(self.renewals)
            }
        };
        self.renewals = Some(revision);
        self.send_all(frames).await
    }

    async fn send_all(&self, frames: Vec<SharedFrame>) -> Result<(), SessionEnded> {
        for frame in frames {
            self.send_encoded(frame).await?;
        }
        Ok(())
    }

    async fn send_encoded(&self, frame: SharedFrame) -> Result<(), SessionEnded> {
        self.sender.send(Outgoing::encoded(frame)).await.map_err(|_| SessionEnded)
    }

    async fn send(&self, push: Push) -> Result<(), SessionEnded> {
        self.sender.send(Outgoing::message(&Message::Push(push))).await.map_err(|_| SessionEnded)
    }
}

/// Builds the update from the state last sent to `state`; complete if nothing was sent.
fn update_since(
    state: &FleetState,
    sent: Option<&SentFleet>,
    members: Vec<(NodeId, ZoneName)>,
    weights_log: &WeightsLog,
) -> FleetUpdate {
    let (members, member_zones) = members.into_iter().unzip();
    let is_first = sent.is_none();
    let weights_ages = is_first.then(|| weights_log.ages(BootInstant::now()));
    let departures_sent = sent.map_or(0, |sent| sent.departures);
    let departed = state.departures().after(departures_sent);
    let departed = departed.map(|departure| (departure.name.clone(), departure.through));
    let (departures, departed_through) = departed.unzip();
    FleetUpdate {
        revision: state.revision(),
        catalog_version: state.catalog().map_or(0, |catalog| catalog.version),
        weights: state.weights().clone(),
        departures,
        departed_through,
        member_zones,
        members,
        weights_ages: weights_ages.filter(|ages| !ages.is_empty()),
        quarantine: quarantine_since(state, sent.map(|sent| sent.quarantine)),
    }
}

/// Builds the update of quarantined requests since change `sent`; complete if nothing was sent.
fn quarantine_since(state: &FleetState, sent: Option<u64>) -> Option<QuarantineUpdate> {
    let quarantine = state.quarantine();
    if sent == Some(quarantine.change_count()) {
        return None;
    }
    let QuarantineChange { is_whole, added, released } = quarantine.change_after(sent);
    Some(QuarantineUpdate { is_complete: is_whole, added, released })
}

/// Replies with the configuration in force if its version is above `above`.
pub(super) fn catalog_reply(api: &InternalApi, above: u64) -> Reply {
    let state = Arc::clone(&api.view.fleet.borrow());
    let newer = state.catalog().filter(|catalog| catalog.version > above);
    Reply::Catalog(
        newer.map(|catalog| CatalogBody { version: catalog.version, body: catalog.body.clone() }),
    )
}

/// Replies with the freshness of this replica's state.
pub(super) fn confirmation_reply(api: &InternalApi) -> Reply {
    let confirmed_at = *api.view.confirmed_at.borrow();
    let Some(confirmed_at) = confirmed_at else {
        return Reply::Refused(juniper_protocol::Refusal::NoQuorum);
    };
    let age_ms = u64::try_from(confirmed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    // Read after the confirmation time, so that the revision covers what was confirmed then.
    let revision = api.view.fleet.borrow().revision();
    let weights = api.view.weights_log.borrow().recent_ages(BootInstant::now());
    Reply::Confirmed { age_ms, revision, routers: estimate_routers(api), weights }
}

/// Estimates the number of routers in the fleet: those subscribed to all replicas, plus those
/// subscribed to a few, extrapolated from this replica. A router uses the highest estimate of its
/// replicas, so that random imbalance makes its share of a common budget too small rather than too
/// large.
fn estimate_routers(api: &InternalApi) -> u32 {
    let members = api.view.status.borrow().membership.members.len();
    let partial = f64::from(api.partial_followers.load(Ordering::Relaxed));
    let estimate = partial * members as f64 / FOLLOWED_REPLICAS as f64;
    api.full_followers.load(Ordering::Relaxed) + estimate.ceil() as u32
}
