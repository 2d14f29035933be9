//! Selection of the replicas that a router follows.
//!
//! In a group of up to [`MAX_FULLY_FOLLOWED`] replicas a router follows all of them, and each
//! pushes its own observations. The number of connections, confirmations and copies is then routers
//! times replicas. In a larger group a router follows [`FOLLOWED_REPLICAS`]: two of its own zone,
//! so that it tolerates the loss of one, and one of another zone, in case the replicas of its zone
//! are partitioned from the rest. One of them pushes all servers.
//!
//! Each router ranks the replicas by rendezvous hashing, so that the replicas of a zone share its
//! routers evenly, and a lost replica's routers spread over all others.

use std::collections::{BTreeMap, BTreeSet};

use juniper_prefix_index::rendezvous;
use juniper_types::{NodeId, ZoneName};

/// Maximum size of a group of which every replica is followed.
pub const MAX_FULLY_FOLLOWED: usize = 9;

/// Number of replicas of its own zone that a router follows in a larger group.
const FOLLOWED_IN_OWN_ZONE: usize = 2;

/// Number of replicas that a router follows in a larger group.
pub const FOLLOWED_REPLICAS: usize = 3;

/// Number of additional replicas followed while none of the selected ones confirms anything: all of
/// them may be partitioned from the quorum.
const ADDITIONAL_WHEN_UNCONFIRMED: usize = 3;

/// Scope of the updates that a replica is asked to push.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowScope {
    /// No updates; the connection is used for calls only.
    Nothing,
    /// Servers that the replica observed itself, and the state that the fleet agrees on.
    Own,
    /// The state that the fleet agrees on, and the servers that all replicas know.
    Fleet {
        /// Whether servers are pushed too.
        servers: bool,
    },
}

/// Input of the selection.
#[derive(Clone, Copy, Debug)]
pub struct FollowRequest<'a> {
    /// Router for which replicas are selected.
    pub router: NodeId,
    /// Zone of the router.
    pub zone: &'a ZoneName,
    /// Members of the group, with their zones as far as known.
    pub members: &'a BTreeMap<NodeId, Option<ZoneName>>,
    /// Replicas that were unreachable recently.
    pub unreachable: &'a BTreeSet<NodeId>,
    /// Whether none of the followed replicas has confirmed anything recently.
    pub is_unconfirmed: bool,
}

impl FollowRequest<'_> {
    /// Whether every replica of the group is followed.
    pub fn follows_all(&self) -> bool {
        self.members.len() <= MAX_FULLY_FOLLOWED
    }

    /// Selects the replicas to follow, in order of preference. Unreachable replicas are selected only
    /// if no others are left.
    pub fn select(&self) -> Vec<NodeId> {
        if self.follows_all() {
            return self.members.keys().copied().collect();
        }
        let is_in_own_zone = |node: &NodeId| {
            self.members.get(node).and_then(Option::as_ref).is_some_and(|zone| zone == self.zone)
        };
        let ranked = self.ranked();
        let (own_zone, other_zones): (Vec<NodeId>, Vec<NodeId>) =
            ranked.into_iter().partition(is_in_own_zone);
        let own_zone_count = own_zone.len().min(FOLLOWED_IN_OWN_ZONE);
        let wanted =
            FOLLOWED_REPLICAS + if self.is_unconfirmed { ADDITIONAL_WHEN_UNCONFIRMED } else { 0 };
        let (first, spare) = own_zone.split_at(own_zone_count);
        first.iter().chain(&other_zones).chain(spare).copied().take(wanted).collect()
    }

    /// All replicas in this router's order of preference, unreachable ones last.
    fn ranked(&self) -> Vec<NodeId> {
        let rank = |node: &NodeId| {
            (self.unreachable.contains(node), rendezvous::score(self.router.0, node.0))
        };
        let mut nodes: Vec<NodeId> = self.members.keys().copied().collect();
        nodes.sort_by_cached_key(rank);
        nodes
    }
}
