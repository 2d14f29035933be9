//! Sampled index: sharded lookups, lost updates and message sizes.

use juniper_prefix_index::coarse::{
    CHECKPOINT_INTERVAL, CheckpointHolders, CoarseShard, CoarseUpdate, KeyList, checkpoints,
    combine,
};
use juniper_prefix_index::{EventOutcome, SnapshotOutcome};
use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

const NOW: Timestamp = Timestamp(0);
const ROUTERS: [u64; 3] = [11, 22, 33];
const INCARNATION: Incarnation = Incarnation(1);

fn prompt(seed: u64, length: usize) -> Vec<BlockHash> {
    let mut previous = BlockHash([0; 16]).next(&seed.to_be_bytes());
    let mut blocks = Vec::new();
    for _ in 0..length {
        previous = previous.next(b"block");
        blocks.push(previous);
    }
    blocks
}

/// Creates the routers' shards with the owned keys of all caches.
fn shards_with(caches: &[(EngineId, &[BlockHash])]) -> Vec<CoarseShard> {
    let mut shards: Vec<CoarseShard> = ROUTERS.iter().map(|_| CoarseShard::default()).collect();
    for (engine, blocks) in caches {
        for (shard, router) in shards.iter_mut().zip(ROUTERS) {
            let prompt_checkpoints = checkpoints(blocks);
            let owned = prompt_checkpoints
                .iter()
                .filter(|checkpoint| checkpoint.key.owner(ROUTERS) == Some(router));
            let update = CoarseUpdate {
                engine: *engine,
                incarnation: INCARNATION,
                sequence: 1,
                stored: KeyList::new(owned.map(|checkpoint| checkpoint.key)),
                removed: KeyList::default(),
            };
            assert_eq!(shard.apply(&update), Ok(EventOutcome::Applied));
        }
    }
    shards
}

fn lookup_all(
    shards: &[CoarseShard],
    blocks: &[BlockHash],
    unreachable: Option<u64>,
) -> Vec<(u32, u32)> {
    let prompt_checkpoints = checkpoints(blocks);
    let answers: Vec<Option<CheckpointHolders>> = prompt_checkpoints
        .iter()
        .map(|checkpoint| {
            let owner = checkpoint.key.owner(ROUTERS).unwrap();
            let shard = ROUTERS.iter().position(|router| *router == owner).unwrap();
            let found = shards[shard].lookup(&KeyList::new([checkpoint.key]), NOW).pop();
            found.filter(|_| unreachable != Some(owner))
        })
        .collect();
    combine(&prompt_checkpoints, &answers)
        .iter()
        .map(|holder| (holder.engine.0, holder.blocks))
        .collect()
}

#[test]
fn one_block_in_sixteen_is_a_checkpoint() {
    let count = checkpoints(&prompt(1, 64_000)).len();
    let expected = 64_000 / usize::from(CHECKPOINT_INTERVAL);
    assert!(count.abs_diff(expected) < expected / 20, "{count}");
}

#[test]
fn lookup_finds_each_engine_up_to_its_last_checkpoint() {
    let blocks = prompt(2, 400);
    let shards = shards_with(&[(EngineId(1), &blocks), (EngineId(2), &blocks[..200])]);
    let last = |length: u32| {
        let prompt_checkpoints = checkpoints(&blocks);
        prompt_checkpoints
            .iter()
            .map(|checkpoint| checkpoint.blocks)
            .filter(|blocks| *blocks <= length)
            .max()
            .unwrap()
    };
    assert_eq!(lookup_all(&shards, &blocks, None), [(1, last(400)), (2, last(200))]);
}

#[test]
fn checkpoints_of_an_unreachable_owner_are_skipped() {
    let blocks = prompt(3, 400);
    let shards = shards_with(&[(EngineId(1), &blocks)]);
    for unreachable in ROUTERS {
        let found = lookup_all(&shards, &blocks, Some(unreachable));
        assert!(found[0].1 > 300, "{found:?} without {unreachable}");
    }
}

#[test]
fn lost_update_needs_a_resync() {
    let blocks = prompt(5, 64);
    let keys = KeyList::new(checkpoints(&blocks).iter().map(|checkpoint| checkpoint.key));
    let update = |sequence| CoarseUpdate {
        engine: EngineId(1),
        incarnation: INCARNATION,
        sequence,
        stored: keys.clone(),
        removed: KeyList::default(),
    };
    let mut shard = CoarseShard::default();
    assert_eq!(shard.apply(&update(2)), Ok(EventOutcome::Gap { missing: 1 }));
    assert!(shard.lookup(&keys, NOW).iter().all(|holders| holders.engines.is_empty()));
    assert_eq!(shard.resync(&update(4)), Ok(SnapshotOutcome::Applied));
    assert!(shard.lookup(&keys, NOW).iter().all(|holders| holders.engines.len() == 1));
}

#[test]
fn resync_of_another_sender_replaces_the_entries() {
    let keys =
        |seed| KeyList::new(checkpoints(&prompt(seed, 64)).iter().map(|checkpoint| checkpoint.key));
    let resync = |sequence, stored: &KeyList| CoarseUpdate {
        engine: EngineId(1),
        incarnation: INCARNATION,
        sequence,
        stored: stored.clone(),
        removed: KeyList::default(),
    };
    let mut shard = CoarseShard::default();
    let (old, new) = (keys(7), keys(8));
    assert_eq!(shard.resync(&resync(900, &old)), Ok(SnapshotOutcome::Applied));
    assert_eq!(shard.resync(&resync(1, &new)), Ok(SnapshotOutcome::Applied));
    assert!(shard.lookup(&old, NOW).iter().all(|holders| holders.engines.is_empty()));
    assert!(shard.lookup(&new, NOW).iter().all(|holders| holders.engines.len() == 1));
}

#[test]
fn update_takes_six_bytes_per_key_and_a_short_header() {
    let keys = checkpoints(&prompt(6, 1_600));
    let update = CoarseUpdate {
        engine: EngineId(1_499),
        incarnation: Incarnation(u64::MAX),
        sequence: 1_000_000,
        stored: KeyList::new(keys.iter().map(|checkpoint| checkpoint.key)),
        removed: KeyList::default(),
    };
    let bytes = minicbor::to_vec(&update).unwrap();
    assert!(bytes.len() <= 6 * keys.len() + 24, "{} bytes, {} keys", bytes.len(), keys.len());
    assert_eq!(minicbor::decode::<CoarseUpdate>(&bytes).unwrap(), update);
}
