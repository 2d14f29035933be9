//! Measures the duration of one routing decision at several fleet sizes.
//!
//! `cargo run --release -p juniper-routing --example decision_time`
//!
//! Three cases: no engine has the prompt cached; eight engines have part of it
//! cached; every engine has its leading blocks cached, as with a prefix shared by
//! all requests. Between decisions the table records dispatches and load
//! reports, as in a router.

use std::time::{Duration, Instant};

use juniper_prefix_index::Holder;
use juniper_routing::{
    CostModel, CostWeights, DispatchId, DispatchedWork, EngineDescriptor, EngineLoad, EngineTable,
    RouteRequest, ServingKey, decide,
};
use juniper_types::{
    BlockHash, EngineId, Incarnation, ModelName, NameError, Timestamp, WeightsVersion, ZoneName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINE_COUNTS: [u32; 4] = [100, 400, 1_000, 1_500];
const DECISIONS: usize = 50_000;
const PROMPT_BLOCKS: usize = 60;
const PROMPT_TOKENS: u32 = 3_900;
const ZONES: u32 = 14;

/// Time between two prompts per engine, in microseconds: twice the time of a
/// full prefill.
const ENGINE_INTERVAL_US: u64 = 2_600_000;

/// Distribution of the cached prompt over the engines.
#[derive(Clone, Copy)]
enum Case {
    NoHolder,
    EightHolders,
    AllHold,
}

impl Case {
    const ALL: [(Case, &'static str); 3] =
        [(Case::NoHolder, "nobody"), (Case::EightHolders, "eight"), (Case::AllHold, "everybody")];

    fn holders(self, engines: u32, random: &mut ChaCha8Rng) -> Vec<Holder> {
        match self {
            Case::NoHolder => Vec::new(),
            Case::EightHolders => {
                let first = random.random_range(0..engines);
                (0..8).map(|place| holder((first + place * 13) % engines, 20 + place)).collect()
            }
            Case::AllHold => (0..engines).map(|engine| holder(engine, 13)).collect(),
        }
    }
}

fn incarnation_of(engine: u32) -> Incarnation {
    Incarnation(u64::from(engine) + 1)
}

fn holder(engine: u32, blocks: u32) -> Holder {
    let incarnation = incarnation_of(engine);
    Holder { engine: EngineId(engine), incarnation, blocks, predicted: 0, computed_by: None }
}

fn serving() -> Result<ServingKey, NameError> {
    Ok(ServingKey { model: ModelName::new("base")?, adapter: None, weights: WeightsVersion(1) })
}

fn load(engine: u32, serving: &ServingKey, random: &mut ChaCha8Rng) -> EngineLoad {
    EngineLoad {
        incarnation: incarnation_of(engine),
        age: Duration::from_millis(200),
        running: random.random_range(0..12),
        waiting: 0,
        waiting_prompt_tokens: 0,
        model: Some(serving.model.clone()),
        weights: serving.weights,
        adapters: Vec::new(),
        software: None,
        leaving: false,
    }
}

fn table(
    engines: u32,
    serving: &ServingKey,
    random: &mut ChaCha8Rng,
) -> Result<EngineTable, NameError> {
    let mut table = EngineTable::new(CostModel::default());
    for engine in 0..engines {
        let zone = ZoneName::new(format!("zone-{}", engine % ZONES))?;
        table.set_round_trip(&zone, Duration::from_micros(u64::from(engine % ZONES) * 200));
        table.insert(&EngineDescriptor { engine: EngineId(engine), zone });
        table.apply_load_report(EngineId(engine), &load(engine, serving, random), Timestamp::ZERO);
    }
    Ok(table)
}

fn measure(engines: u32, case: Case) -> Result<Vec<u64>, NameError> {
    let random = &mut ChaCha8Rng::seed_from_u64(7);
    let serving = serving()?;
    let mut table = table(engines, &serving, random)?;
    let first = BlockHash([7; 16]);
    let blocks: Vec<BlockHash> =
        std::iter::successors(Some(first), |block| Some(block.next(b"next")))
            .take(PROMPT_BLOCKS)
            .collect();
    let mut nanos = Vec::with_capacity(DECISIONS);
    for number in 0..DECISIONS {
        let now = Timestamp::from_micros(number as u64 * ENGINE_INTERVAL_US / u64::from(engines));
        let holders = case.holders(engines, random);
        let request = RouteRequest {
            serving: &serving,
            blocks: &blocks,
            tokens: PROMPT_TOKENS,
            importable_blocks: 0,
            first_token_within: Duration::from_secs(10),
            excluded: &[],
            begun: false,
            weights: CostWeights { latency: 1.0, waste: 1.0 },
        };
        let started = Instant::now();
        let decision = decide(&table, &holders, &request, now, random);
        nanos.push(started.elapsed().as_nanos() as u64);
        if let Ok(decision) = decision {
            let prefill_tokens = request.prefill_tokens(decision.expected_blocks);
            let work = DispatchedWork { prompt_tokens: PROMPT_TOKENS, prefill_tokens };
            let id = DispatchId(number as u64);
            table.record_dispatch(decision.engine, id, work, now);
            table.record_end(decision.engine, DispatchId(number.saturating_sub(500) as u64), now);
        }
        let reporting = number as u32 % engines;
        table.apply_load_report(EngineId(reporting), &load(reporting, &serving, random), now);
    }
    nanos.sort_unstable();
    Ok(nanos)
}

fn main() -> Result<(), NameError> {
    println!(
        "{:>8} {:>10} {:>9} {:>9} {:>9}",
        "engines", "holders", "p50 us", "p99 us", "p99.9 us"
    );
    for engines in ENGINE_COUNTS {
        for (case, name) in Case::ALL {
            let nanos = measure(engines, case)?;
            let at = |share: f64| nanos[(share * (nanos.len() - 1) as f64) as usize] as f64 / 1e3;
            let (p50, p99, p999) = (at(0.5), at(0.99), at(0.999));
            println!("{engines:>8} {name:>10} {p50:>9.2} {p99:>9.2} {p999:>9.2}");
        }
    }
    Ok(())
}
