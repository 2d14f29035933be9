//! Shared helpers of the engine tests.

use std::sync::Arc;

use juniper_emulators::engine::{Engine, EngineConfig, EngineRequest, EventFaults, Output};
use juniper_types::{
    BLOCK_TOKENS, BlockHash, CacheScope, Incarnation, ModelName, RequestId, TenantName, Timestamp,
    WeightsVersion,
};
use quickcheck::{Gen, QuickCheck, Testable};

const GENERATOR_SIZE: usize = 60;
const GENERATOR_SEED: u64 = 20_261;

pub const INCARNATION: Incarnation = Incarnation(7);

pub fn model() -> ModelName {
    ModelName::new("base").unwrap()
}

pub fn scope(tenant: &str) -> CacheScope {
    CacheScope {
        tenant: TenantName::new(tenant).unwrap(),
        model: model(),
        adapter: None,
        weights: WeightsVersion(1),
    }
}

/// Builds a chain of block hashes; each number determines the content of one block.
pub fn chain(scope: &CacheScope, contents: &[u32]) -> Arc<[BlockHash]> {
    let mut previous = scope.seed();
    let link = |content: &u32| {
        previous = previous.next(&content.to_be_bytes());
        previous
    };
    contents.iter().map(link).collect()
}

/// Builds a request of tenant `acme` whose prompt ends one token after its last full block.
pub fn request(id: u128, contents: &[u32], output_tokens: u32) -> EngineRequest {
    let scope = scope("acme");
    EngineRequest {
        id: RequestId(id),
        owner: scope.tenant.clone(),
        blocks: chain(&scope, contents),
        prompt_tokens: contents.len() as u32 * BLOCK_TOKENS + 1,
        output_tokens,
        resume_from: 0,
        priority: 5,
        deadline: None,
        incarnation: Some(INCARNATION),
        expected_blocks: 0,
        scope,
    }
}

pub fn config(cache_blocks: u32) -> EngineConfig {
    let mut config = EngineConfig::reference(model(), WeightsVersion(1), 1);
    config.cache_blocks = cache_blocks;
    config
}

/// Event settings without delay or loss.
pub fn no_event_faults() -> EventFaults {
    EventFaults {
        delay_min: std::time::Duration::ZERO,
        delay_max: std::time::Duration::ZERO,
        loss: 0.0,
    }
}

pub fn engine(cache_blocks: u32) -> Engine {
    let mut config = config(cache_blocks);
    config.events = no_event_faults();
    Engine::new(config, INCARNATION, Timestamp::ZERO)
}

/// Runs until the engine is idle; returns the outputs and the end time.
pub fn run_to_idle(engine: &mut Engine) -> (Vec<Output>, Timestamp) {
    let mut outputs = Vec::new();
    let mut now = Timestamp::ZERO;
    while let Some(next) = engine.next_event_time() {
        now = next;
        outputs.extend(engine.advance(now));
    }
    outputs.extend(engine.advance(now));
    (outputs, now)
}

/// Indexes of the output tokens of one request, in the order of generation.
pub fn indexes(outputs: &[Output], wanted: RequestId) -> Vec<u32> {
    let mut indexes = Vec::new();
    for output in outputs {
        match output {
            Output::FirstToken { id, index, .. } if *id == wanted => indexes.push(*index),
            Output::Tokens { id, index, count, .. } if *id == wanted => {
                indexes.extend(*index..index + count);
            }
            _ => {}
        }
    }
    indexes
}

/// Checks `property` with a fixed seed.
pub fn check<P: Testable>(property: P) {
    let generator = Gen::from_size_and_seed(GENERATOR_SIZE, GENERATOR_SEED);
    QuickCheck::new().rng(generator).quickcheck(property);
}
