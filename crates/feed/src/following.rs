//! Keeps links to the replicas that are to be followed, and to those that calls are made to.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_limits::rank_owners;
use juniper_protocol::PeerRole;
use juniper_types::NodeId;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::actor::FeedActor;
use crate::follow::{FOLLOWED_WHOLE, FollowQuestion, FollowedPart};
use crate::link::{self, LinkCommand, LinkParts};
use crate::relay::relay_among;

/// Time for which a replica that could not be reached is followed only where there are no others.
const LOST_FOR: Duration = Duration::from_secs(5);

/// Time without any confirmation after which replicas besides those that are followed are asked: more
/// than two questions in a row.
const DOUBT_AFTER: Duration = Duration::from_millis(1_700);

/// Time for which a connection is kept that was made for calls alone.
const CALLS_KEPT_FOR: Duration = Duration::from_secs(10);

/// The link to one replica.
pub(crate) struct Link {
    commands: mpsc::UnboundedSender<LinkCommand>,
    task: AbortHandle,
    part: watch::Sender<FollowedPart>,
    /// When a call was last made to a replica that isn't followed.
    called_at: Instant,
}

impl FeedActor {
    pub(crate) fn command(&self, node: NodeId, command: LinkCommand) {
        if let Some(link) = self.links.get(&node) {
            // A link that has just ended carries nothing out; its replica is chosen no more.
            let _ = link.commands.send(command);
        }
    }

    /// Makes a call to a replica, which need not be one that is followed.
    pub(crate) fn call(&mut self, node: NodeId, command: LinkCommand) {
        if !self.links.contains_key(&node) {
            let link = self.spawn_link(node, FollowedPart::Nothing);
            self.links.insert(node, link);
        }
        if let Some(link) = self.links.get_mut(&node) {
            link.called_at = Instant::now();
        }
        self.command(node, command);
    }

    /// The replica that comes at `rank` in the order in which replicas own `subject`: an
    /// account, or a request. All routers have to name the same one, so where each follows a
    /// few, those that it doesn't follow count too.
    pub(crate) fn owner(&self, subject: &str, rank: usize) -> Option<NodeId> {
        let members = self.fold.members();
        let candidates: Vec<NodeId> = match members.len() > FOLLOWED_WHOLE {
            true => {
                let lost = self.lost_nodes();
                members.into_iter().filter(|node| !lost.contains(node)).collect()
            }
            false => self.zones.keys().copied().collect(),
        };
        rank_owners(candidates, subject).get(rank).copied()
    }

    fn lost_nodes(&self) -> BTreeSet<NodeId> {
        let fresh = |(_, at): &(&NodeId, &Instant)| at.elapsed() < LOST_FOR;
        self.lost.iter().filter(fresh).map(|(node, _)| *node).collect()
    }

    /// Chooses anew the replica that this router tells and listens to.
    pub(crate) fn choose_relay(&mut self) {
        if self.settings.own.role != PeerRole::Router {
            return;
        }
        let preferred = self.followed.iter().find(|node| self.zones.contains_key(node)).copied();
        let relay = match self.follows_few() {
            true => preferred,
            false => relay_among(&self.zones, &self.settings.own.zone),
        };
        if relay == self.relay {
            return;
        }
        let former = std::mem::replace(&mut self.relay, relay);
        log::info!(
            "event=relay_chosen replica={} former={}",
            relay.map_or(0, |node| node.0),
            former.map_or(0, |node| node.0)
        );
        if let Some(former) = former.filter(|node| self.zones.contains_key(node)) {
            self.command(former, LinkCommand::Listen(false));
        }
        if let Some(relay) = relay {
            self.command(relay, LinkCommand::Listen(true));
        }
    }

    /// Whether the group is so large that this router follows a part of it.
    fn follows_few(&self) -> bool {
        self.settings.own.role == PeerRole::Router && self.fold.members().len() > FOLLOWED_WHOLE
    }

    /// Whether no replica has confirmed anything of late, though some are connected.
    fn is_in_doubt(&self) -> bool {
        let confirmed_at = *self.confirmed_at.borrow();
        let age = confirmed_at.map_or(Duration::MAX, |at| at.elapsed());
        !self.zones.is_empty() && age > DOUBT_AFTER
    }

    /// Replicas to follow, the preferred one first.
    fn wanted(&self) -> Vec<NodeId> {
        let members = self.fold.member_zones();
        if members.is_empty() {
            let seeds = self.settings.seeds.iter().chain(self.links.keys());
            return seeds.copied().collect::<BTreeSet<_>>().into_iter().collect();
        }
        if !self.follows_few() {
            return members.into_keys().collect();
        }
        let question = FollowQuestion {
            own: self.settings.own.node,
            zone: &self.settings.own.zone,
            members: &members,
            lost: &self.lost_nodes(),
            in_doubt: self.is_in_doubt(),
        };
        question.answer()
    }

    /// What the replica is to push: all of them what they have heard themselves, or a few what all
    /// of them know, and one of those what is known of servers.
    fn part_of(&self, node: NodeId) -> FollowedPart {
        match self.follows_few() {
            true => FollowedPart::Fleet { servers: self.relay == Some(node) },
            false => FollowedPart::Own,
        }
    }

    /// Follows the members that replicas name, or some of them, and the seeds while no replica is
    /// connected. A link to a replica that isn't followed any more is ended, once no call has been
    /// made on it for a while.
    pub(crate) fn follow_members(&mut self) {
        self.followed = self.wanted();
        self.choose_relay();
        let wanted: BTreeSet<NodeId> = self.followed.iter().copied().collect();
        let is_called = |link: &Link| {
            let is_for_calls = *link.part.borrow() == FollowedPart::Nothing;
            is_for_calls && link.called_at.elapsed() < CALLS_KEPT_FOR
        };
        let ends = |(node, link): &(&NodeId, &Link)| !(wanted.contains(node) || is_called(link));
        let unwanted: BTreeSet<NodeId> =
            self.links.iter().filter(ends).map(|(node, _)| *node).collect();
        for node in unwanted {
            if let Some(link) = self.links.remove(&node) {
                link.task.abort();
                self.zones.remove(&node);
                self.choose_relay();
                self.fold.set_connected(node, false);
            }
        }
        for node in wanted {
            self.follow(node);
        }
    }

    fn follow(&mut self, node: NodeId) {
        let part = self.part_of(node);
        let Some(link) = self.links.get(&node) else {
            let link = self.spawn_link(node, part);
            self.links.insert(node, link);
            return;
        };
        let former = link.part.send_replace(part);
        if former == FollowedPart::Nothing {
            // Its connection was made for calls; another one says that the replica is followed.
            link.task.abort();
            let link = self.spawn_link(node, part);
            self.links.insert(node, link);
        } else if former != part && self.zones.contains_key(&node) {
            self.command(node, LinkCommand::Follow(part));
        }
    }

    fn spawn_link(&self, node: NodeId, part: FollowedPart) -> Link {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (part, part_receiver) = watch::channel(part);
        let parts = LinkParts {
            part: part_receiver,
            has_connected: false,
            node,
            address: self.settings.addresses.get(&node).copied(),
            key: self.settings.key.clone(),
            own: self.settings.own.clone(),
            feed: self.own_ref.clone(),
            confirmed_at: self.confirmed_at.subscribe(),
            commands: receiver,
        };
        let task = tokio::spawn(link::run(parts)).abort_handle();
        Link { commands, task, part, called_at: Instant::now() }
    }
}
