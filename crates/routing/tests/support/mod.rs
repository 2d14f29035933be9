//! Test fixtures: engines, prompts and holders.

use std::time::Duration;

use juniper_prefix_index::Holder;
use juniper_routing::{CostModel, EngineDescriptor, EngineLoad, EngineTable, ServingKey};
use juniper_types::{
    BlockHash, EngineId, Incarnation, ModelName, Timestamp, WeightsVersion, ZoneName,
};

pub fn serving() -> ServingKey {
    let model = ModelName::new("base").expect("valid");
    ServingKey { model, adapter: None, weights: WeightsVersion(1) }
}

pub fn blocks(prompt: u64, count: usize) -> Vec<BlockHash> {
    let first = BlockHash([0; 16]).next(&prompt.to_be_bytes());
    std::iter::successors(Some(first), |block| Some(block.next(b"next"))).take(count).collect()
}

pub fn incarnation(engine: u32) -> Incarnation {
    Incarnation(u64::from(engine) + 1_000)
}

pub fn holder(engine: u32, blocks: u32) -> Holder {
    Holder {
        engine: EngineId(engine),
        incarnation: incarnation(engine),
        blocks,
        predicted: 0,
        computed_by: None,
    }
}

pub fn idle_load(engine: EngineId) -> EngineLoad {
    EngineLoad {
        incarnation: incarnation(engine.0),
        age: Duration::ZERO,
        running: 0,
        waiting: 0,
        waiting_prompt_tokens: 0,
        model: Some(serving().model),
        weights: serving().weights,
        adapters: Vec::new(),
        software: None,
        leaving: false,
    }
}

/// Inserts an engine into `zone-0` (even numbers) or `zone-1` (odd numbers).
pub fn insert(table: &mut EngineTable, engine: EngineId) {
    let zone = ZoneName::new(format!("zone-{}", engine.0 % 2)).expect("valid");
    table.insert(&EngineDescriptor { engine, zone });
}

pub fn table(engines: u32, now: Timestamp) -> EngineTable {
    let mut table = EngineTable::new(CostModel::default());
    for engine in (0..engines).map(EngineId) {
        insert(&mut table, engine);
        table.apply_load_report(engine, &idle_load(engine), now);
    }
    table
}
