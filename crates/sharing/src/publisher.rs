//! Publication of followed engines' sampled index entries to their owners.
//!
//! Each pair of owner and engine has a numbered stream. The first message of a
//! stream lists all entries (a resync), later ones list changes. After a possible
//! loss the next message is another resync.

use std::collections::{BTreeMap, BTreeSet};

use juniper_prefix_index::coarse::{CheckpointKey, CoarseDelta, CoarseUpdate, KeyList};
use juniper_prefix_index::{CacheEvent, Snapshot};
use juniper_types::{BlockHash, EngineId, Incarnation};

use crate::group::{Group, RouterIncarnation};

#[derive(Debug, Default)]
struct EngineKeys {
    incarnation: Incarnation,
    keys: BTreeSet<CheckpointKey>,
}

/// Last change of each key since the last message: true if stored, false if
/// removed.
type PendingChanges = BTreeMap<CheckpointKey, bool>;

#[derive(Debug)]
struct Stream {
    sequence: u64,
    pending: PendingChanges,
    needs_resync: bool,
}

impl Default for Stream {
    fn default() -> Self {
        Stream { sequence: 0, pending: PendingChanges::new(), needs_resync: true }
    }
}

/// Updates to send to one owner.
#[derive(Debug, Default)]
pub(crate) struct Outgoing {
    pub(crate) deltas: Vec<CoarseDelta>,
    pub(crate) resyncs: Vec<CoarseUpdate>,
}

/// Collector of cache events that batches them into updates for the owners.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    group: Group,
    engines: BTreeMap<EngineId, EngineKeys>,
    streams: BTreeMap<(RouterIncarnation, EngineId), Stream>,
}

impl Publisher {
    /// Sets the group and reassigns keys whose owner changed: queues a removal for
    /// the old owner and an insertion for the new one.
    pub(crate) fn set_group(&mut self, group: Group) {
        self.streams.retain(|(owner, _), _| group.members().contains(owner));
        let before = std::mem::replace(&mut self.group, group);
        for (engine, known) in &self.engines {
            for key in &known.keys {
                let (old_owner, new_owner) = (before.owner(key), self.group.owner(key));
                if old_owner == new_owner {
                    continue;
                }
                let old_stream =
                    old_owner.and_then(|owner| self.streams.get_mut(&(owner, *engine)));
                if let Some(stream) = old_stream {
                    stream.pending.insert(*key, false);
                }
                if let Some(owner) = new_owner {
                    let stream = self.streams.entry((owner, *engine)).or_default();
                    stream.pending.insert(*key, true);
                }
            }
        }
    }

    /// Applies cache events of an engine that this router follows.
    pub(crate) fn apply(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) {
        self.start_incarnation(engine, incarnation);
        for event in events {
            self.apply_change(engine, &event.stored, true);
            self.apply_change(engine, &event.removed, false);
        }
    }

    /// Replaces the entries of an engine by a snapshot.
    pub(crate) fn replace(&mut self, engine: EngineId, snapshot: &Snapshot) {
        self.clear(engine);
        self.engines.entry(engine).or_default().incarnation = snapshot.incarnation;
        self.apply_change(engine, &snapshot.blocks, true);
    }

    /// Removes all entries of the engine and schedules resyncs.
    pub(crate) fn clear(&mut self, engine: EngineId) {
        if let Some(known) = self.engines.get_mut(&engine) {
            known.keys.clear();
        }
        for (_, stream) in self.streams_of(engine) {
            stream.pending.clear();
            stream.needs_resync = true;
        }
    }

    /// Removes an engine that another router follows now. Resyncs of the new
    /// follower replace the entries at the owners.
    pub(crate) fn unfollow(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
        self.streams.retain(|(_, streamed), _| *streamed != engine);
    }

    /// Schedules resyncs of every engine for an owner that may have missed messages.
    pub(crate) fn delivery_failed(&mut self, owner: RouterIncarnation) {
        let streams = self.streams.iter_mut().filter(|((to, _), _)| *to == owner);
        streams.for_each(|(_, stream)| stream.needs_resync = true);
    }

    /// Schedules a resync of `engine` for an owner that has missed messages.
    pub(crate) fn request_resync(&mut self, owner: RouterIncarnation, engine: EngineId) {
        if let Some(stream) = self.streams.get_mut(&(owner, engine)) {
            stream.needs_resync = true;
        }
    }

    /// Takes the updates since the last call, by owner.
    pub(crate) fn flush(&mut self) -> BTreeMap<RouterIncarnation, Outgoing> {
        let mut outgoing: BTreeMap<RouterIncarnation, Outgoing> = BTreeMap::new();
        for ((owner, engine), stream) in &mut self.streams {
            let Some(known) = self.engines.get(engine) else {
                continue;
            };
            if !stream.needs_resync && stream.pending.is_empty() {
                continue;
            }
            let updates = outgoing.entry(*owner).or_default();
            stream.sequence += 1;
            let pending = std::mem::take(&mut stream.pending);
            if std::mem::take(&mut stream.needs_resync) {
                let group = &self.group;
                let owned = known.keys.iter().filter(|key| group.owner(key) == Some(*owner));
                updates.resyncs.push(CoarseUpdate {
                    engine: *engine,
                    incarnation: known.incarnation,
                    sequence: stream.sequence,
                    stored: KeyList::new(owned.copied()),
                    removed: KeyList::default(),
                });
            } else {
                updates.deltas.push(CoarseDelta {
                    engine: *engine,
                    sequence: stream.sequence,
                    stored: keys_with(&pending, true),
                    removed: keys_with(&pending, false),
                });
            }
        }
        outgoing
    }

    /// Number of sampled entries of all followed engines.
    pub(crate) fn key_count(&self) -> usize {
        self.engines.values().map(|known| known.keys.len()).sum()
    }

    /// Starts a new incarnation without entries; its streams begin with a resync.
    fn start_incarnation(&mut self, engine: EngineId, incarnation: Incarnation) {
        let known = self.engines.entry(engine).or_default();
        if known.incarnation == incarnation {
            return;
        }
        known.incarnation = incarnation;
        self.clear(engine);
    }

    fn apply_change(&mut self, engine: EngineId, blocks: &[BlockHash], is_stored: bool) {
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
    ) -> impl Iterator<Item = (&(RouterIncarnation, EngineId), &mut Stream)> {
        self.streams.iter_mut().filter(move |((_, streamed), _)| *streamed == engine)
    }
}

fn keys_with(pending: &PendingChanges, wanted: bool) -> KeyList {
    KeyList::new(pending.iter().filter(|(_, stored)| **stored == wanted).map(|(key, _)| *key))
}
