//! The routers of a zone and the assignment of engines and keys to them.
//!
//! Assignments use rendezvous hashing over the live routers, so routers with the
//! same view agree without communication. While views differ, an engine may
//! temporarily have two followers or none. The sequence numbers of updates ensure
//! that this only delays knowledge of its cache and never corrupts it.

use juniper_prefix_index::coarse::CheckpointKey;
use juniper_prefix_index::rendezvous;
use juniper_types::{EngineId, Incarnation, NodeId};

/// Incarnation of a router process. A restarted router has lost its shard and
/// therefore counts as a different owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterIncarnation {
    /// Node of the router.
    pub node: NodeId,
    /// Random number drawn at each start.
    pub incarnation: Incarnation,
}

/// Live routers of one zone, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    members: Vec<RouterIncarnation>,
}

impl Group {
    /// Creates a group of `members`, given in any order.
    pub fn new(members: impl IntoIterator<Item = RouterIncarnation>) -> Self {
        let mut members: Vec<RouterIncarnation> = members.into_iter().collect();
        members.sort_unstable();
        // Each node is in the group only once.
        members.dedup_by_key(|member| member.node);
        Group { members }
    }

    /// Members in the order of their node numbers.
    pub fn members(&self) -> &[RouterIncarnation] {
        &self.members
    }

    /// Router that owns `key`.
    pub fn owner(&self, key: &CheckpointKey) -> Option<RouterIncarnation> {
        self.find(key.owner(self.nodes())?)
    }

    /// Router that follows `engine`.
    pub fn follower(&self, engine: EngineId) -> Option<RouterIncarnation> {
        self.find(rendezvous::owner(u64::from(engine.0), self.nodes())?)
    }

    fn nodes(&self) -> impl Iterator<Item = u64> {
        self.members.iter().map(|member| member.node.0)
    }

    fn find(&self, node: u64) -> Option<RouterIncarnation> {
        self.members.iter().copied().find(|member| member.node.0 == node)
    }
}

/// Engines that a router reads cache events and loads from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowPlan {
    /// Engines whose cache events and load the router reads.
    pub followed: Vec<EngineId>,
    /// Engines of which the router reads only the load, as additional candidates.
    pub sampled: Vec<EngineId>,
    /// Whether other routers follow the remaining engines.
    pub shared: bool,
}

/// Number of engines of its own zone whose load a router reads until it knows the
/// other routers.
pub const SAMPLED_IN_OWN_ZONE: usize = 8;

/// Number of engines of each other zone whose load a router reads, as a fallback
/// if its own zone has no usable engine.
pub const SAMPLED_PER_OTHER_ZONE: usize = 2;

impl FollowPlan {
    /// Creates the plan of router `own` in `group`. `own_zone` and `other_zones`
    /// list the engines of its zone and of each other zone.
    ///
    /// A router that has just started doesn't know the other routers. Until
    /// `settled`, it follows no engine of a large fleet. Otherwise many routers that
    /// restart together would each read the caches of all engines of the zone.
    pub fn new(
        own: RouterIncarnation,
        group: &Group,
        own_zone: &[EngineId],
        other_zones: &[Vec<EngineId>],
        full_follow_engines: usize,
        settled: bool,
    ) -> Self {
        let total = own_zone.len() + other_zones.iter().map(Vec::len).sum::<usize>();
        if total <= full_follow_engines {
            let followed = own_zone.iter().chain(other_zones.iter().flatten()).copied().collect();
            return FollowPlan { followed, sampled: Vec::new(), shared: false };
        }
        let sampled_far =
            other_zones.iter().flat_map(|zone| sample(own, zone, SAMPLED_PER_OTHER_ZONE));
        if !settled {
            let sampled_near = sample(own, own_zone, SAMPLED_IN_OWN_ZONE);
            let sampled = sampled_near.into_iter().chain(sampled_far).collect();
            return FollowPlan { followed: Vec::new(), sampled, shared: true };
        }
        let is_followed_by_own = |engine: &&EngineId| group.follower(**engine) == Some(own);
        let followed = own_zone.iter().filter(is_followed_by_own).copied().collect();
        FollowPlan { followed, sampled: sampled_far.collect(), shared: true }
    }
}

/// Chooses `count` engines of a zone, different ones for different routers.
fn sample(own: RouterIncarnation, zone: &[EngineId], count: usize) -> Vec<EngineId> {
    let engines = zone.iter().map(|engine| u64::from(engine.0));
    let ranked = rendezvous::ranked(own.node.0, engines);
    let chosen = ranked.into_iter().take(count);
    chosen.filter_map(|engine| u32::try_from(engine).ok().map(EngineId)).collect()
}
