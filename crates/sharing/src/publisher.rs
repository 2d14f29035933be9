//! The follower's side: sampled entries of the engines it follows, on their way
//! to the routers that own them.
//!
//! Each owner gets a numbered stream for each engine. The first message of a
//! stream names everything (a resync); later ones only what changed. Whatever
//! may have been lost is repaired by another resync, never by guessing.

use std::collections::{BTreeMap, BTreeSet};

use juniper_prefix_index::coarse::{CheckpointKey, CoarseDelta, CoarseUpdate, KeyList};
use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_types::{BlockHash, EngineId, Incarnation};

use crate::group::{Group, RouterLife};

#[derive(Debug, Default)]
struct EngineKeys {
    incarnation: Incarnation,
    keys: BTreeSet<CheckpointKey>,
}

/// The last change of each key since the last message; true means stored.
type Pending = BTreeMap<CheckpointKey, bool>;

#[derive(Debug)]
struct Stream {
    sequence: u64,
    pending: Pending,
    needs_resync: bool,
}

impl Default for Stream {
    fn default() -> Self {
        Stream { sequence: 0, pending: Pending::new(), needs_resync: true }
    }
}

/// Updates for one owner.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    pub(crate) deltas: Vec<CoarseDelta>,
    pub(crate) resyncs: Vec<CoarseUpdate>,
}

/// Collects cache events into updates for the owners.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    group: Group,
    engines: BTreeMap<EngineId, EngineKeys>,
    streams: BTreeMap<(RouterLife, EngineId), Stream>,
}

impl Publisher {
    /// Moves keys whose owner changed. The old owner is told to drop them, the
    /// new one to keep them, and nobody else hears of it.
    pub(crate) fn set_group(&mut self, group: Group) {
        self.streams.retain(|(owner, _), _| group.members().contains(owner));
        let before = std::mem::replace(&mut self.group, group);
        for (engine, known) in &self.engines {
            for key in &known.keys {
                let (old, new) = (before.owner(key), self.group.owner(key));
                if old == new {
                    continue;
                }
                let old_stream = old.and_then(|owner| self.streams.get_mut(&(owner, *engine)));
                if let Some(stream) = old_stream {
                    stream.pending.insert(*key, false);
                }
                if let Some(owner) = new {
                    let stream = self.streams.entry((owner, *engine)).or_default();
                    stream.pending.insert(*key, true);
                }
            }
        }
    }

    /// Adds events of an engine that this router follows.
    pub(crate) fn apply(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) {
        self.start_incarnation(engine, incarnation);
        for event in events {
            self.change(engine, &event.stored, true);
            self.change(engine, &event.removed, false);
        }
    }

    /// Replaces what is known of an engine.
    pub(crate) fn replace(&mut self, engine: EngineId, snapshot: &Snapshot) {
        self.void(engine);
        self.engines.entry(engine).or_default().incarnation = snapshot.incarnation;
        self.change(engine, &snapshot.blocks, true);
    }

    /// Nothing counts of the engine any more.
    pub(crate) fn void(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.keys.clear();
        }
        for (_, stream) in self.streams_of(engine) {
            stream.pending.clear();
            stream.needs_resync = true;
        }
    }

    /// Another router follows the engine now, and its resyncs replace ours.
    pub(crate) fn unfollow(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
        self.streams.retain(|(_, streamed), _| *streamed != engine);
    }

    /// The owner may have missed messages about every engine.
    pub(crate) fn delivery_failed(&mut self, owner: RouterLife) {
        let streams = self.streams.iter_mut().filter(|((to, _), _)| *to == owner);
        streams.for_each(|(_, stream)| stream.needs_resync = true);
    }

    /// The owner has missed messages about `engine`.
    pub(crate) fn in_doubt(&mut self, owner: RouterLife, engine: EngineId) {
        if let Some(stream) = self.streams.get_mut(&(owner, engine)) {
            stream.needs_resync = true;
        }
    }

    /// Updates since the last call, by owner.
    pub(crate) fn flush(&mut self) -> BTreeMap<RouterLife, Outgoing> {
        let mut outgoing: BTreeMap<RouterLife, Outgoing> = BTreeMap::new();
        for ((owner, engine), stream) in &mut self.streams {
            let Some(known) = self.engines.get(engine) else {
                continue;
            };
            if !stream.needs_resync && stream.pending.is_empty() {
                continue;
            }
            let to_owner = outgoing.entry(*owner).or_default();
            stream.sequence += 1;
            let pending = std::mem::take(&mut stream.pending);
            if std::mem::take(&mut stream.needs_resync) {
                let group = &self.group;
                let owned = known.keys.iter().filter(|key| group.owner(key) == Some(*owner));
                to_owner.resyncs.push(CoarseUpdate {
                    engine: *engine,
                    incarnation: known.incarnation,
                    sequence: stream.sequence,
                    stored: KeyList::new(owned.copied()),
                    removed: KeyList::default(),
                });
            } else {
                to_owner.deltas.push(CoarseDelta {
                    engine: *engine,
                    sequence: stream.sequence,
                    stored: keys_with(&pending, true),
                    removed: keys_with(&pending, false),
                });
            }
        }
        outgoing
    }

    /// Sampled entries held.
    pub(crate) fn keys(&self) -> usize {
        self.engines.values().map(|known| known.keys.len()).sum()
    }

    /// A new life starts with nothing, and its streams with a resync.
    fn start_incarnation(&mut self, engine: EngineId, incarnation: Incarnation) {
        let known = self.engines.entry(engine).or_default();
        if known.incarnation == incarnation {
            return;
        }
        known.incarnation = incarnation;
        self.void(engine);
    }

    fn change(&mut self, engine: EngineId, blocks: &[BlockHash], is_stored: bool) {
        let Some(known) = self.engines.get_mut(&engine) else {
            return;
        };
        for key in blocks.iter().filter_map(CheckpointKey::of) {
            let changed = match is_stored {
                true => known.keys.insert(key),
                false => known.keys.remove(&key),
            };
            let owner = self.group.owner(&key).filter(|_| changed);
            if let Some(owner) = owner {
                let stream = self.streams.entry((owner, engine)).or_default();
                stream.pending.insert(key, is_stored);
            }
        }
    }

    fn streams_of(
        &mut self,
        engine: EngineId,
    ) -> impl Iterator<Item = (&(RouterLife, EngineId), &mut Stream)> {
        self.streams.iter_mut().filter(move |((_, streamed), _)| *streamed == engine)
    }
}

fn keys_with(pending: &Pending, wanted: bool) -> KeyList {
    KeyList::new(pending.iter().filter(|(_, stored)| **stored == wanted).map(|(key, _)| *key))
}
