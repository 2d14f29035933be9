//! Pushes what the fleet of generic services agrees on, and the servers that
//! this replica hears of, to one node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use juniper_control_state::{FleetState, QuarantineChange};
use juniper_protocol::message::{CatalogBody, FleetUpdate, QuarantineUpdate};
use juniper_protocol::{Message, PeerRole, Push, Reply, Request};
use juniper_types::{NodeId, ZoneName};
use tokio::sync::watch;

use super::InternalFace;
use super::session::{Outgoing, OutgoingSender, Peer};
use crate::renewals::SharedFrame;

/// Replicas that a router follows where it follows a few; `juniper_feed::FOLLOWED`.
const FOLLOWED_BY_ROUTERS: usize = 3;

/// The session ended, or the replica stopped.
struct Ended;

/// Counts a router until it is dropped.
struct Counted(Arc<AtomicU32>);

impl Counted {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(Arc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a follower asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FollowedPart {
    /// What this replica has heard itself.
    Own,
    /// What all replicas know, servers too if they are wanted.
    Fleet { servers: bool },
}

impl FollowedPart {
    /// What a call asks to be pushed, if it does.
    pub(super) fn asked_by(request: &Request) -> Option<Self> {
        match request {
            Request::Follow => Some(FollowedPart::Own),
            Request::FollowFleet { servers } => Some(FollowedPart::Fleet { servers: *servers }),
            _ => None,
        }
    }
}

/// Pushes until the session ends.
pub(super) async fn run(
    face: Arc<InternalFace>,
    peer: Peer,
    sender: OutgoingSender,
    parts: watch::Receiver<FollowedPart>,
) {
    let is_router = peer.identity.role == PeerRole::Router;
    let part = *parts.borrow();
    let counted = is_router.then(|| Counted::new(counter(&face, part)));
    let follower = Follower {
        face,
        sender,
        parts,
        part,
        counted,
        fleet: None,
        instances: None,
        renewals: None,
    };
    let Err(Ended) = follower.push_for_ever().await;
}

/// Where a router that follows a part is counted.
fn counter(face: &InternalFace, part: FollowedPart) -> &Arc<AtomicU32> {
    match part {
        FollowedPart::Own => &face.following_routers,
        FollowedPart::Fleet { .. } => &face.sharing_routers,
    }
}

/// What the node was sent last.
struct SentFleet {
    revision: u64,
    members: Vec<(NodeId, ZoneName)>,
    departures: u64,
    quarantine: u64,
}

struct Follower {
    face: Arc<InternalFace>,
    sender: OutgoingSender,
    parts: watch::Receiver<FollowedPart>,
    part: FollowedPart,
    /// Counts the node while it follows, if it is a router.
    counted: Option<Counted>,
    fleet: Option<SentFleet>,
    /// Number of the latest change of servers that was sent.
    instances: Option<u64>,
    /// Number of the latest change of renewals that was sent.
    renewals: Option<u64>,
}

impl Follower {
    async fn push_for_ever(mut self) -> Result<std::convert::Infallible, Ended> {
        let mut fleet = self.face.view.fleet.clone();
        let mut status = self.face.view.status.clone();
        let mut instances = self.face.board.watch_instances();
        let mut renewals = self.face.board.watch_renewals();
        let mut known = self.face.fleet_board.watch();
        loop {
            // Marked as seen before they are read, so that no change is missed.
            fleet.mark_unchanged();
            status.mark_unchanged();
            instances.mark_unchanged();
            renewals.mark_unchanged();
            known.mark_unchanged();
            self.take_part();
            self.push_fleet().await?;
            self.push_instances().await?;
            self.push_renewals().await?;
            let is_own = self.part == FollowedPart::Own;
            tokio::select! {
                changed = fleet.changed() => changed.map_err(|_| Ended)?,
                changed = status.changed() => changed.map_err(|_| Ended)?,
                changed = self.parts.changed() => changed.map_err(|_| Ended)?,
                changed = instances.changed(), if is_own => changed.map_err(|_| Ended)?,
                changed = renewals.changed(), if is_own => changed.map_err(|_| Ended)?,
                changed = known.changed(), if !is_own => changed.map_err(|_| Ended)?,
            }
        }
    }

    /// Takes over what the node asks for now. What it was sent of another part counts for nothing.
    fn take_part(&mut self) {
        let part = *self.parts.borrow_and_update();
        if part == self.part {
            return;
        }
        let is_other_kind = (self.part == FollowedPart::Own) != (part == FollowedPart::Own);
        self.part = part;
        self.instances = None;
        if is_other_kind {
            self.renewals = None;
            let face = &self.face;
            self.counted = self.counted.as_ref().map(|_| Counted::new(counter(face, part)));
        }
    }

    async fn push_fleet(&mut self) -> Result<(), Ended> {
        let state = Arc::clone(&self.face.view.fleet.borrow());
        let members = self.members();
        let sent = self.fleet.as_ref();
        if sent.is_some_and(|sent| sent.revision == state.revision() && sent.members == members) {
            return Ok(());
        }
        let news = news_after(&state, sent, members.clone());
        let (revision, departures) = (state.revision(), state.departures().total());
        let quarantine = state.quarantine().change_count();
        self.fleet = Some(SentFleet { revision, members, departures, quarantine });
        self.send(Push::Fleet(news)).await
    }

    fn members(&self) -> Vec<(NodeId, ZoneName)> {
        let status = self.face.view.status.borrow();
        let members = status.membership.members.iter();
        members.map(|member| (member.id.node, member.zone.clone())).collect()
    }

    async fn push_instances(&mut self) -> Result<(), Ended> {
        let (revision, frames) = match self.part {
            FollowedPart::Own => return self.push_own_instances().await,
            FollowedPart::Fleet { servers: false } => return Ok(()),
            FollowedPart::Fleet { servers: true } => {
                self.face.fleet_board.servers().frames_after(self.instances)
            }
        };
        self.instances = Some(revision);
        self.send_all(frames).await
    }

    async fn push_own_instances(&mut self) -> Result<(), Ended> {
        let (revision, frame) = self.face.board.instances_after(self.instances);
        if self.instances == Some(revision) {
            return Ok(());
        }
        self.instances = Some(revision);
        self.send_encoded(frame).await
    }

    async fn push_renewals(&mut self) -> Result<(), Ended> {
        let (revision, frames) = match self.part {
            FollowedPart::Own => self.face.board.renewals().frames_after(self.renewals),
            FollowedPart::Fleet { .. } => {
                self.face.fleet_board.renewals().frames_after(self.renewals)
            }
        };
        self.renewals = Some(revision);
        self.send_all(frames).await
    }

    async fn send_all(&self, frames: Vec<SharedFrame>) -> Result<(), Ended> {
        for frame in frames {
            self.send_encoded(frame).await?;
        }
        Ok(())
    }

    async fn send_encoded(&self, frame: SharedFrame) -> Result<(), Ended> {
        self.sender.send(Outgoing::encoded(frame)).await.map_err(|_| Ended)
    }

    async fn send(&self, push: Push) -> Result<(), Ended> {
        self.sender.send(Outgoing::message(&Message::Push(push))).await.map_err(|_| Ended)
    }
}

fn news_after(
    state: &FleetState,
    sent: Option<&SentFleet>,
    members: Vec<(NodeId, ZoneName)>,
) -> FleetUpdate {
    let (members, member_zones) = members.into_iter().unzip();
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
        quarantine: quarantine_after(state, sent.map(|sent| sent.quarantine)),
    }
}

/// What has changed of the quarantine since `sent`; everything for a follower that was sent nothing.
fn quarantine_after(state: &FleetState, sent: Option<u64>) -> Option<QuarantineUpdate> {
    let quarantine = state.quarantine();
    if sent == Some(quarantine.change_count()) {
        return None;
    }
    let QuarantineChange { is_whole, added, released } = quarantine.change_after(sent);
    Some(QuarantineUpdate { is_whole, added, released })
}

/// The configuration in force, for who has an older one.
pub(super) fn catalog(face: &InternalFace, above: u64) -> Reply {
    let state = Arc::clone(&face.view.fleet.borrow());
    let newer = state.catalog().filter(|catalog| catalog.version > above);
    Reply::Catalog(
        newer.map(|catalog| CatalogBody { version: catalog.version, body: catalog.body.clone() }),
    )
}

/// How current this replica is.
pub(super) fn confirmed(face: &InternalFace) -> Reply {
    let confirmed_at = *face.view.confirmed_at.borrow();
    let Some(confirmed_at) = confirmed_at else {
        return Reply::Refused(juniper_protocol::Refusal::NoQuorum);
    };
    let age_ms = u64::try_from(confirmed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    // Read after the time: what was confirmed then is in it.
    let revision = face.view.fleet.borrow().revision();
    Reply::Confirmed { age_ms, revision, routers: routers(face) }
}

/// Routers of the fleet: those that follow all replicas, and an estimate of those that follow a few.
/// They are spread over the replicas evenly but for chance; a router takes the highest of the
/// estimates that it hears, so it errs towards a smaller part of what all of them share.
fn routers(face: &InternalFace) -> u32 {
    let members = face.view.status.borrow().membership.members.len();
    let sharing = f64::from(face.sharing_routers.load(Ordering::Relaxed));
    let estimate = sharing * members as f64 / FOLLOWED_BY_ROUTERS as f64;
    face.following_routers.load(Ordering::Relaxed) + estimate.ceil() as u32
}
