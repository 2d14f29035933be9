//! Links to the replicas that are followed, and to those that are only called.

use std::collections::BTreeSet;
use std::time::Duration;

use juniper_limits::rank_owners;
use juniper_protocol::PeerRole;
use juniper_types::NodeId;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::actor::FeedActor;
use crate::follow::{FollowRequest, FollowScope, MAX_FULLY_FOLLOWED};
use crate::link::{self, LinkCommand, LinkContext};
use crate::relay::select_relay;

/// Time for which an unreachable replica is followed only if no others are left.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(5);

/// Time without any confirmation after which more replicas are followed; longer than two
/// confirmation intervals.
pub(crate) const UNCONFIRMED_AFTER: Duration = Duration::from_millis(1_700);

/// Idle time after which a connection that was made for calls only is closed.
const CALL_LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Link to one replica.
pub(crate) struct Link {
    commands: mpsc::UnboundedSender<LinkCommand>,
    task: AbortHandle,
    scope: watch::Sender<FollowScope>,
    /// Time of the latest call to a replica that isn't followed.
    called_at: Instant,
}

impl FeedActor {
    pub(crate) fn send_command(&self, node: NodeId, command: LinkCommand) {
        if let Some(link) = self.links.get(&node) {
            // Sending fails if the link has just ended; the command is dropped then.
            let _ = link.commands.send(command);
        }
    }

    /// Sends a call to a replica, over a new connection if the replica isn't followed.
    pub(crate) fn call_replica(&mut self, node: NodeId, command: LinkCommand) {
        if !self.links.contains_key(&node) {
            let link = self.spawn_link(node, FollowScope::Nothing);
            self.links.insert(node, link);
        }
        if let Some(link) = self.links.get_mut(&node) {
            link.called_at = Instant::now();
        }
        self.send_command(node, command);
    }

    /// Replica at `rank` in the order in which replicas own `subject`, which is an account or a
    /// request. All routers have to agree on the order: in a group of which each router follows
    /// only a part, all reachable members are candidates.
    pub(crate) fn owner_at(&self, subject: &str, rank: usize) -> Option<NodeId> {
        let members = self.view_builder.members();
        let candidates: Vec<NodeId> = match members.len() > MAX_FULLY_FOLLOWED {
            true => {
                let unreachable = self.unreachable_nodes();
                members.into_iter().filter(|node| !unreachable.contains(node)).collect()
            }
            false => self.zones.keys().copied().collect(),
        };
        rank_owners(candidates, subject).get(rank).copied()
    }

    fn unreachable_nodes(&self) -> BTreeSet<NodeId> {
        let is_recent = |(_, at): &(&NodeId, &Instant)| at.elapsed() < UNREACHABLE_RETENTION;
        self.unreachable.iter().filter(is_recent).map(|(node, _)| *node).collect()
    }

    /// Selects the relay of this router again, and moves the subscription to updates of other
    /// routers if it changed.
    pub(crate) fn update_relay(&mut self) {
        if self.settings.own.role != PeerRole::Router {
            return;
        }
        let preferred = self.followed.iter().find(|node| self.zones.contains_key(node)).copied();
        let relay = match self.follows_subset() {
            true => preferred,
            false => select_relay(&self.zones, &self.settings.own.zone),
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
            self.send_command(former, LinkCommand::SubscribeRouters(false));
        }
        if let Some(relay) = relay {
            self.send_command(relay, LinkCommand::SubscribeRouters(true));
        }
        self.relay_changes.send_replace(relay);
    }

    /// Whether this router follows only a part of the group.
    fn follows_subset(&self) -> bool {
        self.settings.own.role == PeerRole::Router
            && self.view_builder.members().len() > MAX_FULLY_FOLLOWED
    }

    /// Whether no replica has confirmed anything recently.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let confirmation = self.view_builder.confirmation();
        confirmation.is_none_or(|latest| latest.at.elapsed() > UNCONFIRMED_AFTER)
    }

    /// Replicas to follow, in order of preference.
    fn replicas_to_follow(&self) -> Vec<NodeId> {
        let members = self.view_builder.member_zones();
        if members.is_empty() {
            let seeds = self.settings.seeds.iter().chain(self.links.keys());
            return seeds.copied().collect::<BTreeSet<_>>().into_iter().collect();
        }
        if !self.follows_subset() {
            return members.into_keys().collect();
        }
        let request = FollowRequest {
            router: self.settings.own.node,
            zone: &self.settings.own.zone,
            members: &members,
            unreachable: &self.unreachable_nodes(),
            is_unconfirmed: !self.zones.is_empty() && self.is_unconfirmed(),
        };
        request.select()
    }

    /// Scope of the updates that the replica has to push. In a small group each replica pushes its
    /// own observations; in a large one a few replicas push fleet-wide state, and one of them the
    /// servers too.
    fn scope_of(&self, node: NodeId) -> FollowScope {
        match self.follows_subset() {
            true => FollowScope::Fleet { servers: self.relay == Some(node) },
            false => FollowScope::Own,
        }
    }

    /// Opens and closes links so that the selected members are followed, or the seeds as long as no
    /// replica has named the members. A link to a replica that isn't followed any more is closed
    /// after its idle timeout.
    pub(crate) fn update_links(&mut self) {
        self.followed = self.replicas_to_follow();
        self.update_relay();
        let wanted: BTreeSet<NodeId> = self.followed.iter().copied().collect();
        let is_used_for_calls = |link: &Link| {
            let is_for_calls = *link.scope.borrow() == FollowScope::Nothing;
            is_for_calls && link.called_at.elapsed() < CALL_LINK_IDLE_TIMEOUT
        };
        let is_obsolete =
            |(node, link): &(&NodeId, &Link)| !(wanted.contains(node) || is_used_for_calls(link));
        let unwanted: BTreeSet<NodeId> =
            self.links.iter().filter(is_obsolete).map(|(node, _)| *node).collect();
        for node in unwanted {
            if let Some(link) = self.links.remove(&node) {
                link.task.abort();
                self.zones.remove(&node);
                self.update_relay();
                self.view_builder.set_connected(node, false);
            }
        }
        for node in wanted {
            self.follow_replica(node);
        }
    }

    fn follow_replica(&mut self, node: NodeId) {
        let scope = self.scope_of(node);
        let Some(link) = self.links.get(&node) else {
            let link = self.spawn_link(node, scope);
            self.links.insert(node, link);
            return;
        };
        let former = link.scope.send_replace(scope);
        if former == FollowScope::Nothing {
            // A link for calls only never reports `Connected`; a new one does.
            link.task.abort();
            let link = self.spawn_link(node, scope);
            self.links.insert(node, link);
        } else if former != scope && self.zones.contains_key(&node) {
            self.send_command(node, LinkCommand::Follow(scope));
        }
    }

    fn spawn_link(&self, node: NodeId, scope: FollowScope) -> Link {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (scope, scope_receiver) = watch::channel(scope);
        let context = LinkContext {
            scope: scope_receiver,
            has_connected: false,
            node,
            address: self.settings.addresses.get(&node).copied(),
            key: self.settings.key.clone(),
            own: self.settings.own.clone(),
            feed: self.self_ref.clone(),
            started: self.started_boot,
            confirmed_view: self.confirmed_view.subscribe(),
            commands: receiver,
        };
        let task = tokio::spawn(link::run(context)).abort_handle();
        Link { commands, task, scope, called_at: Instant::now() }
    }
}
