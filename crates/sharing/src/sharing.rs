//! Sharing state of one router.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_prefix_index::coarse::{
    Checkpoint, CheckpointHolders, CoarseDelta, CoarseHolder, CoarseShard, CoarseUpdate, KeyList,
    checkpoints, combine,
};
use juniper_prefix_index::{CacheEvent, EventOutcome, IndexFull, Snapshot};
use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

use crate::group::{Group, RouterIncarnation};
use crate::loads::LoadPublisher;
use crate::message::{LoadDigest, ServingDigest, ShareMessage};
use crate::publisher::Publisher;

/// Minimum time between two rounds. Other routers find a cached prefix with up to
/// this delay; until then each router relies on predictions from its own requests.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds per member of the group, which limits a router to ten
/// messages per second.
const ROUND_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(100);

/// Number of entries that a router keeps for sharing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharingSize {
    /// Sampled entries of the engines that the router follows.
    pub published_keys: usize,
    /// Sampled entries that the router owns.
    pub owned_keys: usize,
}

/// Query for the keys of one prompt that one router owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerQuery {
    /// Router to query.
    pub owner: RouterIncarnation,
    /// Keys to look up.
    pub keys: KeyList,
    positions: Vec<usize>,
}

/// Lookup of one prompt's checkpoints, split into queries to their owners.
#[derive(Clone, Debug)]
pub struct PrefixQuery {
    checkpoints: Vec<Checkpoint>,
    answers: Vec<Option<CheckpointHolders>>,
    /// Queries to other routers. Keys of this router are answered already.
    pub remote: Vec<OwnerQuery>,
}

impl PrefixQuery {
    /// Records an owner's answer. An answer of the wrong length is ignored.
    pub fn answer(&mut self, owner_query: &OwnerQuery, holders: Vec<CheckpointHolders>) {
        if holders.len() != owner_query.positions.len() {
            return;
        }
        for (position, holders) in owner_query.positions.iter().zip(holders) {
            self.answers[*position] = Some(holders);
        }
    }

    /// Engines with cached leading blocks of the prompt, according to the answers
    /// so far.
    pub fn holders(&self) -> Vec<CoarseHolder> {
        combine(&self.checkpoints, &self.answers)
    }
}

/// State machine of one router that shares engine state within its zone.
#[derive(Debug)]
pub struct Sharing {
    own: RouterIncarnation,
    group: Group,
    publisher: Publisher,
    loads: LoadPublisher,
    shard: CoarseShard,
    /// Sender of the last resync of each engine. Sequence numbers are comparable
    /// only within one sender's stream.
    senders: BTreeMap<EngineId, RouterIncarnation>,
}

impl Sharing {
    /// Creates the state of a router that is alone in its group.
    pub fn new(own: RouterIncarnation) -> Self {
        let mut sharing = Sharing {
            own,
            group: Group::default(),
            publisher: Publisher::default(),
            loads: LoadPublisher::default(),
            shard: CoarseShard::default(),
            senders: BTreeMap::new(),
        };
        sharing.set_group(Group::new([own]));
        sharing
    }

    /// Time until the next round. Proportional to the size of the group, which
    /// keeps a router's message rate constant.
    pub fn round_interval(&self) -> Duration {
        let members = u32::try_from(self.group.members().len()).unwrap_or(u32::MAX);
        ROUND_INTERVAL_PER_MEMBER.saturating_mul(members).max(MIN_ROUND_INTERVAL)
    }

    /// Routers of the zone.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Sets the routers of the zone and reassigns keys accordingly.
    pub fn set_group(&mut self, group: Group) {
        if group == self.group {
            return;
        }
        self.group = group.clone();
        self.publisher.set_group(group);
    }

    /// Applies cache events of an engine that this router follows.
    pub fn apply_cache_events(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) {
        self.publisher.apply(engine, incarnation, events);
    }

    /// Applies a cache snapshot of an engine that this router follows.
    pub fn apply_cache_snapshot(&mut self, engine: EngineId, snapshot: &Snapshot) {
        self.publisher.replace(engine, snapshot);
    }

    /// Clears the cache entries of an engine that this router follows.
    pub fn clear_cache(&mut self, engine: EngineId) {
        self.publisher.clear(engine);
    }

    /// Records a load report of an engine that this router follows.
    pub fn record_load(&mut self, serving: ServingDigest, load: LoadDigest, now: Timestamp) {
        self.loads.record(serving, load, now);
    }

    /// Marks an engine that this router follows as unreachable.
    pub fn mark_down(&mut self, engine: EngineId) {
        self.loads.mark_down(engine);
        self.publisher.clear(engine);
    }

    /// Stops publishing for an engine that another router follows from now on.
    pub fn unfollow(&mut self, engine: EngineId) {
        self.loads.unfollow(engine);
        self.publisher.unfollow(engine);
    }

    /// Removes an engine that is no longer in the settings.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.unfollow(engine);
        self.senders.remove(&engine);
        self.shard.remove_engine(engine);
    }

    /// Ends a round: returns a message for every router with pending updates, and
    /// applies the updates of keys that this router owns.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if this router's shard has no room for another engine.
    pub fn flush(
        &mut self,
        now: Timestamp,
    ) -> Result<Vec<(RouterIncarnation, ShareMessage)>, IndexFull> {
        let mut outgoing = self.publisher.flush();
        if let Some(own) = outgoing.remove(&self.own) {
            self.apply(self.own, &own.deltas, &own.resyncs)?;
        }
        let mut messages = Vec::new();
        for member in self.group.members().iter().copied().filter(|member| *member != self.own) {
            let cache = outgoing.remove(&member).unwrap_or_default();
            let (serving, loads) = self.loads.digests_for(member, now);
            let message =
                ShareMessage { serving, loads, deltas: cache.deltas, resyncs: cache.resyncs };
            if !message.is_empty() {
                messages.push((member, message));
            }
        }
        self.loads.end_round(&self.group, now);
        Ok(messages)
    }

    /// Applies another router's updates to this router's shard. Returns the engines
    /// whose stream has a gap, which the sender has to resync.
    ///
    /// # Errors
    /// Returns [`IndexFull`] if the shard has no room for another engine.
    pub fn receive(
        &mut self,
        from: RouterIncarnation,
        message: &ShareMessage,
    ) -> Result<Vec<EngineId>, IndexFull> {
        self.apply(from, &message.deltas, &message.resyncs)
    }

    fn apply(
        &mut self,
        from: RouterIncarnation,
        deltas: &[CoarseDelta],
        resyncs: &[CoarseUpdate],
    ) -> Result<Vec<EngineId>, IndexFull> {
        for resync in resyncs {
            self.shard.resync(resync)?;
            self.senders.insert(resync.engine, from);
        }
        let mut in_doubt = Vec::new();
        for delta in deltas {
            if self.senders.get(&delta.engine) != Some(&from) {
                in_doubt.push(delta.engine);
                continue;
            }
            let outcome = self.shard.apply_delta(delta)?;
            if matches!(outcome, EventOutcome::Gap { .. } | EventOutcome::AwaitingSnapshot) {
                in_doubt.push(delta.engine);
            }
        }
        Ok(in_doubt)
    }

    /// Schedules resyncs of the engines whose stream has a gap at `owner`.
    pub fn request_resyncs(&mut self, owner: RouterIncarnation, engines: &[EngineId]) {
        for engine in engines {
            self.publisher.request_resync(owner, *engine);
        }
    }

    /// Schedules resyncs for a router that didn't acknowledge a message.
    pub fn delivery_failed(&mut self, to: RouterIncarnation) {
        self.publisher.delivery_failed(to);
        self.loads.delivery_failed(to);
    }

    /// Looks up the engines that hold each of `keys` in this router's shard, in the
    /// order of the keys.
    pub fn lookup(&self, keys: &KeyList, now: Timestamp) -> Vec<CheckpointHolders> {
        self.shard.lookup(keys, now)
    }

    /// Starts the lookup of a prompt: answers this router's keys and splits the
    /// others by owner.
    pub fn prefix_query(&self, blocks: &[BlockHash], now: Timestamp) -> PrefixQuery {
        let checkpoints = checkpoints(blocks);
        let mut by_owner: BTreeMap<RouterIncarnation, Vec<usize>> = BTreeMap::new();
        for (position, checkpoint) in checkpoints.iter().enumerate() {
            if let Some(owner) = self.group.owner(&checkpoint.key) {
                by_owner.entry(owner).or_default().push(position);
            }
        }
        let answers = vec![None; checkpoints.len()];
        let mut query = PrefixQuery { checkpoints, answers, remote: Vec::new() };
        for (owner, positions) in by_owner {
            let keys = positions.iter().map(|position| query.checkpoints[*position].key);
            let owner_query = OwnerQuery { owner, keys: KeyList::new(keys), positions };
            if owner == self.own {
                let holders = self.lookup(&owner_query.keys, now);
                query.answer(&owner_query, holders);
            } else {
                query.remote.push(owner_query);
            }
        }
        query
    }

    /// Number of entries kept.
    pub fn size(&self) -> SharingSize {
        SharingSize {
            published_keys: self.publisher.key_count(),
            owned_keys: self.shard.size().entries,
        }
    }
}
