//! Exact index: failure cases and comparison with a simple model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use juniper_prefix_index::{
    CacheEvent, EventOutcome, Holder, PREDICTION_LIFETIME, PredictionSource, PrefixIndex, Snapshot,
    SnapshotOutcome,
};
use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENGINE: EngineId = EngineId(7);
const INCARNATION: Incarnation = Incarnation(70);
const NOW: Timestamp = Timestamp(0);
const SOURCE: PredictionSource = PredictionSource(5);

fn block(number: u64) -> BlockHash {
    BlockHash([0; 16]).next(&number.to_be_bytes())
}

fn blocks(numbers: impl IntoIterator<Item = u64>) -> Vec<BlockHash> {
    numbers.into_iter().map(block).collect()
}

fn stored(sequence: u64, numbers: impl IntoIterator<Item = u64>) -> CacheEvent {
    CacheEvent { sequence, stored: blocks(numbers), removed: Vec::new() }
}

fn removed(sequence: u64, numbers: impl IntoIterator<Item = u64>) -> CacheEvent {
    CacheEvent { sequence, stored: Vec::new(), removed: blocks(numbers) }
}

fn holder(blocks: u32, predicted: u32) -> Holder {
    let computed_by = (predicted > 0).then_some(SOURCE);
    Holder { engine: ENGINE, incarnation: INCARNATION, blocks, predicted, computed_by }
}

fn index_with_ten_blocks() -> PrefixIndex {
    let mut index = PrefixIndex::new();
    let outcome = index.apply_events(ENGINE, INCARNATION, &[stored(1, 0..10)]);
    assert_eq!(outcome, Ok(EventOutcome::Applied));
    index
}

#[test]
fn lookup_counts_leading_blocks_up_to_an_evicted_one() {
    let mut index = index_with_ten_blocks();
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(10, 0)]);
    index.apply_events(ENGINE, INCARNATION, &[removed(2, [4])]).unwrap();
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(4, 0)]);
}

#[test]
fn gap_invalidates_all_entries_until_a_snapshot() {
    let mut index = index_with_ten_blocks();
    let outcome = index.apply_events(ENGINE, INCARNATION, &[stored(3, [10])]);
    assert_eq!(outcome, Ok(EventOutcome::Gap { missing: 2 }));
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
    assert_eq!(index.awaiting_snapshot().collect::<Vec<_>>(), [(ENGINE, INCARNATION)]);
    let outcome = index.apply_events(ENGINE, INCARNATION, &[stored(2, [10])]);
    assert_eq!(outcome, Ok(EventOutcome::AwaitingSnapshot));
    let snapshot = Snapshot { incarnation: INCARNATION, sequence: 5, blocks: blocks(0..3) };
    assert_eq!(index.apply_snapshot(ENGINE, &snapshot), Ok(SnapshotOutcome::Applied));
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(3, 0)]);
    index.apply_events(ENGINE, INCARNATION, &[stored(6, 3..5)]).unwrap();
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(5, 0)]);
}

#[test]
fn outdated_snapshot_is_ignored() {
    let mut index = index_with_ten_blocks();
    index.apply_events(ENGINE, INCARNATION, &[removed(2, 5..10), stored(3, [5])]).unwrap();
    let snapshot = Snapshot { incarnation: INCARNATION, sequence: 1, blocks: blocks(0..10) };
    assert_eq!(index.apply_snapshot(ENGINE, &snapshot), Ok(SnapshotOutcome::Outdated));
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(6, 0)]);
}

#[test]
fn new_incarnation_invalidates_the_old_one_despite_late_reports() {
    let mut index = index_with_ten_blocks();
    let next = Incarnation(71);
    assert_eq!(index.start_incarnation(ENGINE, next), Ok(true));
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
    let late = index.apply_events(ENGINE, INCARNATION, &[stored(2, [10])]);
    assert_eq!(late, Ok(EventOutcome::StaleIncarnation));
    let snapshot = Snapshot { incarnation: INCARNATION, sequence: 9, blocks: blocks(0..10) };
    assert_eq!(index.apply_snapshot(ENGINE, &snapshot), Ok(SnapshotOutcome::StaleIncarnation));
    index.predict(ENGINE, INCARNATION, &blocks(0..10), SOURCE, NOW);
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
    assert_eq!(index.position(ENGINE), Some((next, 0)));
}

#[test]
fn wrongly_removed_engine_needs_a_snapshot() {
    let mut index = index_with_ten_blocks();
    index.remove_engine(ENGINE);
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
    let outcome = index.apply_events(ENGINE, INCARNATION, &[stored(2, [10])]);
    assert_eq!(outcome, Ok(EventOutcome::Gap { missing: 1 }));
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
}

#[test]
fn invalidation_removes_every_entry() {
    let mut index = index_with_ten_blocks();
    index.invalidate(ENGINE).unwrap();
    assert!(index.lookup(&blocks(0..20), NOW).is_empty());
    assert_eq!(index.awaiting_snapshot().count(), 1);
}

#[test]
fn predictions_count_until_confirmed_or_expired() {
    let mut index = index_with_ten_blocks();
    index.predict(ENGINE, INCARNATION, &blocks(0..15), SOURCE, NOW);
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(15, 5)]);
    index.apply_events(ENGINE, INCARNATION, &[stored(2, 10..12)]).unwrap();
    assert_eq!(index.lookup(&blocks(0..20), NOW), [holder(15, 3)]);
    let later = NOW.after(PREDICTION_LIFETIME);
    assert_eq!(index.lookup(&blocks(0..20), later), [holder(12, 0)]);
    index.maintain(later);
    assert_eq!(index.size().predictions, 0);
}

#[test]
fn prediction_keeps_the_first_request_as_its_source() {
    let mut index = index_with_ten_blocks();
    let second = PredictionSource(6);
    index.predict(ENGINE, INCARNATION, &blocks(0..15), SOURCE, NOW);
    index.predict(ENGINE, INCARNATION, &blocks(0..18), second, NOW);
    assert_eq!(index.lookup(&blocks(0..15), NOW), [holder(15, 5)]);
    let deeper = Holder { computed_by: Some(second), ..holder(18, 8) };
    assert_eq!(index.lookup(&blocks(0..20), NOW), [deeper]);
}

#[test]
fn extended_prediction_outlives_its_first_expiry() {
    let mut index = index_with_ten_blocks();
    index.predict(ENGINE, INCARNATION, &blocks(0..11), SOURCE, NOW);
    let second = NOW.after(PREDICTION_LIFETIME / 2);
    index.predict(ENGINE, INCARNATION, &blocks(0..11), SOURCE, second);
    let after_first = NOW.after(PREDICTION_LIFETIME + Duration::from_millis(1));
    index.maintain(after_first);
    assert_eq!(index.lookup(&blocks(0..20), after_first), [holder(11, 1)]);
}

#[test]
fn eviction_event_keeps_the_prediction() {
    let mut index = PrefixIndex::new();
    index.start_incarnation(ENGINE, INCARNATION).unwrap();
    index.predict(ENGINE, INCARNATION, &blocks(0..2), SOURCE, NOW);
    index.apply_events(ENGINE, INCARNATION, &[removed(1, 0..2)]).unwrap();
    assert_eq!(index.lookup(&blocks(0..2), NOW), [holder(2, 2)]);
}

#[test]
fn predicted_blocks_beyond_a_missing_one_are_not_counted() {
    let mut index = PrefixIndex::new();
    index.start_incarnation(ENGINE, INCARNATION).unwrap();
    index.apply_events(ENGINE, INCARNATION, &[stored(1, [0])]).unwrap();
    index.predict(ENGINE, INCARNATION, &blocks([2, 3]), SOURCE, NOW);
    assert_eq!(index.lookup(&blocks(0..4), NOW), [holder(1, 0)]);
}

#[test]
fn slots_of_ended_incarnations_are_reused() {
    let mut index = PrefixIndex::new();
    for incarnation in 0..70_000 {
        index.apply_events(ENGINE, Incarnation(incarnation), &[stored(1, 0..2)]).unwrap();
    }
    let found = index.lookup(&blocks(0..2), NOW);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].incarnation, Incarnation(69_999));
    for _ in 0..64 {
        index.maintain(NOW);
    }
    assert_eq!(index.size().entries, 2);
}

/// Step of a random history.
#[derive(Clone, Debug)]
enum Step {
    Stored(u8, Vec<u8>),
    Removed(u8, Vec<u8>),
    Lost(u8),
    Snapshot(u8),
    Restart(u8),
    Remove(u8),
    Maintain,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let engine = u8::arbitrary(g) % 6;
        let numbers = Vec::<u8>::arbitrary(g).into_iter().map(|n| n % 12).collect();
        match u8::arbitrary(g) % 16 {
            0..=6 => Step::Stored(engine, numbers),
            7..=9 => Step::Removed(engine, numbers),
            10 => Step::Lost(engine),
            11..=12 => Step::Snapshot(engine),
            13 => Step::Restart(engine),
            14 => Step::Remove(engine),
            _ => Step::Maintain,
        }
    }
}

/// Actual state of an engine and the expected state of a reader.
#[derive(Default)]
struct ModelEngine {
    incarnation: u64,
    sequence: u64,
    cache: BTreeSet<u8>,
    trusted: bool,
    /// Whether the reader lost an event that the next one reveals.
    lost_event: bool,
}

#[derive(Default)]
struct Model {
    engines: BTreeMap<u8, ModelEngine>,
    index: PrefixIndex,
}

impl Model {
    fn engine(&mut self, number: u8) -> &mut ModelEngine {
        self.engines.entry(number).or_insert_with(|| ModelEngine {
            incarnation: u64::from(number) * 1_000_000,
            trusted: true,
            ..ModelEngine::default()
        })
    }

    fn send(&mut self, number: u8, change: impl FnOnce(&mut ModelEngine) -> CacheEvent) {
        let engine = self.engine(number);
        engine.sequence += 1;
        let event = CacheEvent { sequence: engine.sequence, ..change(engine) };
        engine.trusted &= !engine.lost_event;
        let id = EngineId(u32::from(number));
        self.index
            .apply_events(id, Incarnation(self.engines[&number].incarnation), &[event])
            .unwrap();
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Stored(number, blocks_) => self.send(*number, |engine| {
                engine.cache.extend(blocks_);
                stored(0, blocks_.iter().map(|n| u64::from(*n)))
            }),
            Step::Removed(number, blocks_) => self.send(*number, |engine| {
                engine.cache.retain(|n| !blocks_.contains(n));
                removed(0, blocks_.iter().map(|n| u64::from(*n)))
            }),
            Step::Lost(number) => {
                let engine = self.engine(*number);
                engine.sequence += 1;
                engine.lost_event = true;
                engine.cache.clear();
            }
            Step::Snapshot(number) => self.snapshot(*number),
            Step::Restart(number) => self.restart(*number),
            Step::Remove(number) => {
                let engine = self.engine(*number);
                engine.trusted = false;
                engine.lost_event = true;
                engine.sequence += 1;
                self.index.remove_engine(EngineId(u32::from(*number)));
            }
            Step::Maintain => self.index.maintain(NOW),
        }
    }

    fn snapshot(&mut self, number: u8) {
        let engine = self.engine(number);
        engine.trusted = true;
        engine.lost_event = false;
        let snapshot = Snapshot {
            incarnation: Incarnation(engine.incarnation),
            sequence: engine.sequence,
            blocks: blocks(engine.cache.iter().map(|n| u64::from(*n))),
        };
        self.index.apply_snapshot(EngineId(u32::from(number)), &snapshot).unwrap();
    }

    fn restart(&mut self, number: u8) {
        let engine = self.engine(number);
        *engine = ModelEngine {
            incarnation: engine.incarnation + 1,
            trusted: true,
            ..ModelEngine::default()
        };
        let incarnation = Incarnation(engine.incarnation);
        self.index.start_incarnation(EngineId(u32::from(number)), incarnation).unwrap();
    }

    /// Whether the reader lost an event of `engine` without noticing yet.
    fn has_unnoticed_loss(&self, engine: EngineId) -> bool {
        self.engines
            .get(&(engine.0 as u8))
            .is_some_and(|engine| engine.trusted && engine.lost_event)
    }

    /// Expected leading blocks of each trusted engine without lost events.
    fn expected(&self) -> BTreeMap<EngineId, u32> {
        let held = |engine: &ModelEngine| (0..12).take_while(|n| engine.cache.contains(n)).count();
        let known = self.engines.iter().filter(|(_, engine)| engine.trusted && !engine.lost_event);
        known
            .map(|(number, engine)| (EngineId(u32::from(*number)), held(engine) as u32))
            .filter(|(_, blocks)| *blocks > 0)
            .collect()
    }
}

fn index_matches_simple_model(steps: Vec<Step>) -> bool {
    let mut model = Model::default();
    steps.iter().all(|step| {
        model.step(step);
        let found = model.index.lookup(&blocks(0..12), NOW);
        let known = found.iter().filter(|holder| !model.has_unnoticed_loss(holder.engine));
        let known: BTreeMap<_, _> = known.map(|holder| (holder.engine, holder.blocks)).collect();
        known == model.expected()
    })
}

#[test]
fn random_histories_match_a_simple_model() {
    let generator = Gen::from_size_and_seed(100, 5);
    let property = index_matches_simple_model as fn(Vec<Step>) -> bool;
    QuickCheck::new().rng(generator).tests(400).quickcheck(property);
}
