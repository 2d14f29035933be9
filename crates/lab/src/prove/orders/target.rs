//! Emulated engine that receives orders over an unreliable network.

use juniper_emulators::engine::orders::OrderNumber;
use juniper_emulators::engine::{Engine, EngineConfig};
use juniper_simulation::{Bench, Call, MILLI, SECOND};
use juniper_types::{Incarnation, ModelName, Timestamp, WeightsVersion};

use super::record::Record;

/// Token of the timer that crashes and restarts the engine.
const RESTART_TOKEN: u64 = u64::MAX;

/// Emulated engine with the orders that took effect.
pub struct TargetEngine {
    client: usize,
    engine: Engine,
    /// Number and dispatcher of each order that took effect.
    applied: Vec<(OrderNumber, usize)>,
}

impl TargetEngine {
    /// Creates the engine with client number `client`.
    pub fn new(client: usize) -> Self {
        let model = ModelName::new("base");
        let model = model.unwrap_or_else(|error| unreachable!("a valid name: {error}"));
        let config = EngineConfig::reference(model, WeightsVersion(1), client as u64);
        let engine = Engine::new(config, Incarnation(1), Timestamp::ZERO);
        TargetEngine { client, engine, applied: Vec::new() }
    }

    /// Schedules the next crash and restart.
    pub fn schedule_restart(&self, bench: &mut Bench) {
        let time = bench.random.between(SECOND, 8 * SECOND);
        bench.wake_after(time, Call { client: self.client, token: RESTART_TOKEN });
    }

    /// Current incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.engine.incarnation()
    }

    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Number and dispatcher of each order that took effect, in order of execution.
    pub fn applied(&self) -> &[(OrderNumber, usize)] {
        &self.applied
    }

    /// Sends the order at `index` of the record. Copies may be lost, duplicated,
    /// reordered or delayed.
    pub fn send(&self, bench: &mut Bench, index: usize) {
        let copies = match bench.random.between(0, 99) {
            0..15 => 0,
            15..30 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delayed = bench.random.chance(150);
            let max_delay = if delayed { 6 * SECOND } else { 400 * MILLI };
            let time = bench.random.between(MILLI, max_delay);
            bench.wake_after(time, Call { client: self.client, token: index as u64 });
        }
    }

    /// Executes an order that arrived, or crashes and restarts the engine.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        let now = Timestamp::from_micros(bench.now);
        if token == RESTART_TOKEN {
            let next = Incarnation(self.engine.incarnation().0 + 1);
            bench.note(|| format!("engine {} crashes and starts as {next}", self.client));
            self.engine.crash(now);
            self.engine.start(next, now);
            return self.schedule_restart(bench);
        }
        let index = usize::try_from(token).unwrap_or(usize::MAX);
        let Some(sent) = record.orders.get_mut(index) else { return };
        let answer = self.engine.order(&sent.order, now);
        bench.note(|| format!("engine {}: {:?}: {answer:?}", self.client, sent.order.number));
        match answer {
            Ok(answer) if !answer.repeated => {
                self.applied.push((sent.order.number, sent.dispatcher))
            }
            Ok(_) => {}
            Err(refusal) => sent.refusal = Some(refusal),
        }
    }
}
