//! The routers of a zone, and which of them does what.
//!
//! Rendezvous hashing over the routers that are up answers both questions, so
//! routers with the same view agree without talking. While views differ an
//! engine may have two followers or none for a moment; the sequence numbers of
//! the updates keep that from being more than missing knowledge.

use juniper_prefix_index::coarse::CheckpointKey;
use juniper_prefix_index::rendezvous;
use juniper_types::{EngineId, Incarnation, NodeId};

/// One start of a router process. A restarted router has lost its shard, so it
/// counts as another owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterLife {
    /// The router.
    pub node: NodeId,
    /// Drawn at each start.
    pub life: Incarnation,
}

/// The routers of one zone that are up, this one included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    members: Vec<RouterLife>,
}

impl Group {
    /// A group of `members`, in any order.
    pub fn new(members: impl IntoIterator<Item = RouterLife>) -> Self {
        let mut members: Vec<RouterLife> = members.into_iter().collect();
        members.sort_unstable();
        // A node is in the group once, with its latest view.
        members.dedup_by_key(|member| member.node);
        Group { members }
    }

    /// The routers, by node number.
    pub fn members(&self) -> &[RouterLife] {
        &self.members
    }

    /// The router that keeps `key`.
    pub fn owner(&self, key: &CheckpointKey) -> Option<RouterLife> {
        self.find(key.owner(self.nodes())?)
    }

    /// The router that follows `engine`.
    pub fn follower(&self, engine: EngineId) -> Option<RouterLife> {
        self.find(rendezvous::owner(u64::from(engine.0), self.nodes())?)
    }

    fn nodes(&self) -> impl Iterator<Item = u64> {
        self.members.iter().map(|member| member.node.0)
    }

    fn find(&self, node: u64) -> Option<RouterLife> {
        self.members.iter().copied().find(|member| member.node.0 == node)
    }
}

/// Which engines a router asks for what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowPlan {
    /// Engines whose cache events and load it reads.
    pub followed: Vec<EngineId>,
    /// Engines whose load alone it reads, as candidates in other zones.
    pub sampled: Vec<EngineId>,
    /// Whether other routers follow the rest.
    pub shared: bool,
}

/// Engines of the own zone whose load a router reads while it doesn't know yet
/// which other routers there are.
pub const SAMPLED_OF_OWN_ZONE: usize = 8;

/// Engines of each other zone that a router keeps an eye on, so that it has
/// somewhere to send when its own zone has no engine left.
pub const SAMPLED_PER_ZONE: usize = 2;

impl FollowPlan {
    /// The plan of router `own` in `group`. `own_zone` and `other_zones` name the
    /// engines of its zone and of each other zone.
    ///
    /// A router that has just started takes itself for alone. Until `settled` it
    /// follows no engine of a large fleet: a herd of restarted routers would
    /// otherwise read the cache of every engine of the zone, each for itself.
    pub fn new(
        own: RouterLife,
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
        let foreign = other_zones.iter().flat_map(|zone| sample(own, zone, SAMPLED_PER_ZONE));
        if !settled {
            let near = sample(own, own_zone, SAMPLED_OF_OWN_ZONE);
            let sampled = near.into_iter().chain(foreign).collect();
            return FollowPlan { followed: Vec::new(), sampled, shared: true };
        }
        let mine = |engine: &&EngineId| group.follower(**engine) == Some(own);
        let followed = own_zone.iter().filter(mine).copied().collect();
        FollowPlan { followed, sampled: foreign.collect(), shared: true }
    }
}

/// Spreads the routers over the engines of a zone.
fn sample(own: RouterLife, zone: &[EngineId], count: usize) -> Vec<EngineId> {
    let engines = zone.iter().map(|engine| u64::from(engine.0));
    let ranked = rendezvous::ranked(own.node.0, engines);
    let chosen = ranked.into_iter().take(count);
    chosen.filter_map(|engine| u32::try_from(engine).ok().map(EngineId)).collect()
}
