//! The sharing state of one router.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_prefix_index::coarse::{
    Checkpoint, CheckpointHolders, CoarseDelta, CoarseHolder, CoarseShard, CoarseUpdate, KeyList,
    checkpoints, combine,
};
use juniper_prefix_index::{CacheEvent, EventOutcome, IndexFull, Snapshot};
use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

use crate::group::{Group, RouterLife};
use crate::loads::LoadPublisher;
use crate::message::{LoadDigest, ServingDigest, ShareMessage};
use crate::publisher::Publisher;

/// Shortest time between two rounds. Other routers look a prefix up this long
/// after its engine reported it; until then each knows its own requests.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two rounds for each member of the group: ten messages a second.
const ROUND_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(100);

/// How much a router keeps for sharing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharingSize {
    /// Sampled entries of the engines that it follows.
    pub published_keys: usize,
    /// Sampled entries that it owns.
    pub owned_keys: usize,
}

/// The keys of one prompt that one router owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Who is to be asked.
    pub owner: RouterLife,
    /// The keys.
    pub keys: KeyList,
    positions: Vec<usize>,
}

/// One prompt's checkpoints, as questions to their owners.
#[derive(Clone, Debug)]
pub struct Questions {
    checkpoints: Vec<Checkpoint>,
    answers: Vec<Option<CheckpointHolders>>,
    /// What has to be asked of other routers; own keys are answered already.
    pub remote: Vec<Question>,
}

impl Questions {
    /// Takes over an owner's answer; one of the wrong length is left out.
    pub fn answer(&mut self, question: &Question, holders: Vec<CheckpointHolders>) {
        if holders.len() != question.positions.len() {
            return;
        }
        for (position, holders) in question.positions.iter().zip(holders) {
            self.answers[*position] = Some(holders);
        }
    }

    /// The engines that hold the start of the prompt, as far as answered.
    pub fn holders(&self) -> Vec<CoarseHolder> {
        combine(&self.checkpoints, &self.answers)
    }
}

/// What one router shares with the others of its zone.
#[derive(Debug)]
pub struct Sharing {
    own: RouterLife,
    group: Group,
    publisher: Publisher,
    loads: LoadPublisher,
    shard: CoarseShard,
    /// Whose resync the shard's entries of an engine come from. Sequence numbers
    /// mean something only within one sender's stream.
    senders: BTreeMap<EngineId, RouterLife>,
}

impl Sharing {
    /// A router alone in its group.
    pub fn new(own: RouterLife) -> Self {
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

    /// Time until the next round. It grows with the group, so that the messages
    /// of one router in a second stay the same.
    pub fn round_interval(&self) -> Duration {
        let members = u32::try_from(self.group.members().len()).unwrap_or(u32::MAX);
        ROUND_INTERVAL_PER_MEMBER.saturating_mul(members).max(MIN_ROUND_INTERVAL)
    }

    /// Who shares with whom.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Takes over a new view of the group.
    pub fn set_group(&mut self, group: Group) {
        if group == self.group {
            return;
        }
        self.group = group.clone();
        self.publisher.set_group(group);
    }

    /// Adds cache events of an engine that this router follows.
    pub fn cache_events(
        &mut self,
        engine: EngineId,
        incarnation: Incarnation,
        events: &[CacheEvent],
    ) {
        self.publisher.apply(engine, incarnation, events);
    }

    /// Replaces the cache of an engine that this router follows.
    pub fn cache_snapshot(&mut self, engine: EngineId, snapshot: &Snapshot) {
        self.publisher.replace(engine, snapshot);
    }

    /// Voids the cache of an engine that this router follows.
    pub fn void_cache(&mut self, engine: EngineId) {
        self.publisher.void(engine);
    }

    /// Notes a load report of an engine that this router follows.
    pub fn load(&mut self, serving: ServingDigest, load: LoadDigest, now: Timestamp) {
        self.loads.note(serving, load, now);
    }

    /// An engine that this router follows doesn't answer.
    pub fn mark_down(&mut self, engine: EngineId) {
        self.loads.mark_down(engine);
        self.publisher.void(engine);
    }

    /// Another router follows the engine from now on.
    pub fn unfollow(&mut self, engine: EngineId) {
        self.loads.unfollow(engine);
        self.publisher.unfollow(engine);
    }

    /// Forgets an engine that left the settings.
    pub fn remove_engine(&mut self, engine: EngineId) {
        self.unfollow(engine);
        self.senders.remove(&engine);
        self.shard.remove_engine(engine);
    }

    /// One round: a message for every router that has to hear something. Own
    /// keys are applied at once.
    ///
    /// # Errors
    /// [`IndexFull`] when the own shard has no room for another engine.
    pub fn flush(&mut self, now: Timestamp) -> Result<Vec<(RouterLife, ShareMessage)>, IndexFull> {
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

    /// Applies another router's updates to the own shard. Returns the engines
    /// whose stream has a gap; the sender has to resync them.
    ///
    /// # Errors
    /// [`IndexFull`] when the shard has no room for another engine.
    pub fn receive(
        &mut self,
        from: RouterLife,
        message: &ShareMessage,
    ) -> Result<Vec<EngineId>, IndexFull> {
        self.apply(from, &message.deltas, &message.resyncs)
    }

    fn apply(
        &mut self,
        from: RouterLife,
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

    /// The receiver named engines whose stream has a gap.
    pub fn in_doubt(&mut self, owner: RouterLife, engines: &[EngineId]) {
        for engine in engines {
            self.publisher.in_doubt(owner, *engine);
        }
    }

    /// A message was not confirmed.
    pub fn delivery_failed(&mut self, to: RouterLife) {
        self.publisher.delivery_failed(to);
        self.loads.delivery_failed(to);
    }

    /// The engines that hold each of `keys`, in their order, from the own shard.
    pub fn lookup(&self, keys: &KeyList, now: Timestamp) -> Vec<CheckpointHolders> {
        self.shard.lookup(keys, now)
    }

    /// Splits the checkpoints of a prompt by owner.
    pub fn questions(&self, blocks: &[BlockHash], now: Timestamp) -> Questions {
        let checkpoints = checkpoints(blocks);
        let mut by_owner: BTreeMap<RouterLife, Vec<usize>> = BTreeMap::new();
        for (position, checkpoint) in checkpoints.iter().enumerate() {
            if let Some(owner) = self.group.owner(&checkpoint.key) {
                by_owner.entry(owner).or_default().push(position);
            }
        }
        let answers = vec![None; checkpoints.len()];
        let mut questions = Questions { checkpoints, answers, remote: Vec::new() };
        for (owner, positions) in by_owner {
            let keys = positions.iter().map(|position| questions.checkpoints[*position].key);
            let question = Question { owner, keys: KeyList::new(keys), positions };
            if owner == self.own {
                let holders = self.lookup(&question.keys, now);
                questions.answer(&question, holders);
            } else {
                questions.remote.push(question);
            }
        }
        questions
    }

    /// How much is kept.
    pub fn size(&self) -> SharingSize {
        SharingSize { published_keys: self.publisher.keys(), owned_keys: self.shard.size().entries }
    }
}
