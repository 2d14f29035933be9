//! Measures the memory of a million block entries and the duration of lookups.
//!
//! `cargo run --release -p juniper-prefix-index --example index_size`

use std::time::Instant;

use juniper_prefix_index::coarse::{CoarseUpdate, KeyList, checkpoints};
use juniper_prefix_index::{CacheEvent, PrefixIndex, Snapshot};
use juniper_types::{BlockHash, EngineId, Incarnation, Timestamp};

const INCARNATION: Incarnation = Incarnation(1);
const LOOKUPS: usize = 20_000;
const PROMPT_BLOCKS: usize = 96;

fn prompt(seed: u64, shared: usize) -> Vec<BlockHash> {
    let mut previous = BlockHash([0; 16]).next(&(seed % 8).to_be_bytes());
    let mut blocks = Vec::with_capacity(PROMPT_BLOCKS);
    for depth in 0..PROMPT_BLOCKS {
        let salt = if depth < shared { 0 } else { seed };
        previous = previous.next(&salt.to_be_bytes());
        blocks.push(previous);
    }
    blocks
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split_whitespace().nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0usize) * 4096
}

fn fill(engines: u32, blocks_per_engine: usize) -> PrefixIndex {
    let mut index = PrefixIndex::new();
    let prompts = blocks_per_engine / PROMPT_BLOCKS;
    for engine in 0..engines {
        for (sequence, number) in (1..).zip(0..prompts) {
            let seed = u64::from(engine) * 1_000_000 + number as u64;
            let event = CacheEvent { sequence, stored: prompt(seed, 32), removed: Vec::new() };
            let outcome = index.apply_events(EngineId(engine), INCARNATION, &[event]);
            assert!(outcome.is_ok());
        }
    }
    index
}

fn time_lookups(index: &PrefixIndex, engines: u32, name: &str) {
    let prompts: Vec<_> = (0..LOOKUPS as u64)
        .map(|n| prompt((n % u64::from(engines)) * 1_000_000 + n % 6, 32))
        .collect();
    let mut nanos = Vec::with_capacity(LOOKUPS);
    for blocks in &prompts {
        let start = Instant::now();
        let found = index.lookup(blocks, Timestamp::ZERO);
        nanos.push(start.elapsed().as_nanos() as u64);
        assert!(!found.is_empty());
    }
    nanos.sort_unstable();
    let p50 = nanos[LOOKUPS / 2];
    let p99 = nanos[LOOKUPS * 99 / 100];
    println!("lookup={name} engines={engines} blocks={PROMPT_BLOCKS} p50_ns={p50} p99_ns={p99}");
}

fn measure(engines: u32, blocks_per_engine: usize, name: &str) {
    let before = resident_bytes();
    let index = fill(engines, blocks_per_engine);
    let resident = resident_bytes().saturating_sub(before);
    let size = index.size();
    let per_million = |bytes: usize| bytes as f64 / size.entries as f64;
    println!(
        "memory={name} engines={engines} blocks={} entries={} counted_mb_per_million={:.1} \
         resident_growth_mb_per_million={:.1}",
        size.blocks,
        size.entries,
        per_million(size.heap_bytes),
        per_million(resident),
    );
    time_lookups(&index, engines, name);
}

fn measure_resync(blocks: usize) {
    let mut index = fill(18, blocks);
    let held = (0..blocks as u64 / 96).flat_map(|n| prompt(n, 32)).collect();
    let snapshot = Snapshot { incarnation: INCARNATION, sequence: 1_000_000, blocks: held };
    let start = Instant::now();
    let outcome = index.apply_snapshot(EngineId(0), &snapshot);
    assert!(outcome.is_ok());
    println!("snapshot_blocks={blocks} micros={}", start.elapsed().as_micros());
    let start = Instant::now();
    index.maintain(Timestamp::ZERO);
    println!("sweep_one_shard micros={}", start.elapsed().as_micros());
}

fn measure_messages() {
    for keys in [1, 4, 8, 50] {
        let prompt_checkpoints =
            checkpoints(&(0..keys * 40).flat_map(|n| prompt(n, 0)).collect::<Vec<_>>());
        let update = CoarseUpdate {
            engine: EngineId(1_499),
            incarnation: Incarnation(u64::MAX),
            sequence: 100_000,
            stored: KeyList::new(
                prompt_checkpoints.iter().take(keys as usize).map(|checkpoint| checkpoint.key),
            ),
            removed: KeyList::default(),
        };
        let bytes = minicbor::to_vec(&update).map_or(0, |bytes| bytes.len());
        println!("coarse_update keys={keys} bytes={bytes}");
    }
}

fn main() {
    measure(54, 27_300, "million");
    measure(18, 18_000, "today");
    measure(1_500, 670, "many-engines");
    measure_resync(18_000);
    measure_messages();
}
