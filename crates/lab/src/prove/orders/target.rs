//! An emulated engine that takes orders.

use juniper_emulators::engine::orders::OrderNumber;
use juniper_emulators::engine::{Engine, EngineConfig};
use juniper_simulation::{Bench, Call, MILLI, SECOND};
use juniper_types::{Incarnation, ModelName, Timestamp, WeightsVersion};

use super::record::Record;

/// Timer at which the engine crashes and starts again.
const RESTART: u64 = u64::MAX;

/// One engine and what took effect on it.
pub struct Target {
    client: usize,
    engine: Engine,
    /// Orders that took effect: the number and who gave it.
    applied: Vec<(OrderNumber, usize)>,
}

impl Target {
    /// The engine that is client number `client`.
    pub fn new(client: usize) -> Self {
        let model = ModelName::new("base");
        let model = model.unwrap_or_else(|error| unreachable!("a valid name: {error}"));
        let config = EngineConfig::reference(model, WeightsVersion(1), client as u64);
        let engine = Engine::new(config, Incarnation(1), Timestamp::ZERO);
        Target { client, engine, applied: Vec::new() }
    }

    /// Begins.
    pub fn start(&self, bench: &mut Bench) {
        let time = bench.random.between(SECOND, 8 * SECOND);
        bench.wake_after(time, Call { client: self.client, token: RESTART });
    }

    /// The current life.
    pub fn incarnation(&self) -> Incarnation {
        self.engine.incarnation()
    }

    /// The engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Orders that took effect, in order.
    pub fn applied(&self) -> &[(OrderNumber, usize)] {
        &self.applied
    }

    /// Sends the order at `place` of the record through a network that loses,
    /// repeats, crosses and delays.
    pub fn send(&self, bench: &mut Bench, place: usize) {
        let copies = match bench.random.between(0, 99) {
            0..15 => 0,
            15..30 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = bench.random.chance(150);
            let longest = if late { 6 * SECOND } else { 400 * MILLI };
            let time = bench.random.between(MILLI, longest);
            bench.wake_after(time, Call { client: self.client, token: place as u64 });
        }
    }

    /// An order arrives, or the engine crashes and starts again.
    pub fn on_timer(&mut self, bench: &mut Bench, token: u64, record: &mut Record) {
        let now = Timestamp(bench.now);
        if token == RESTART {
            let next = Incarnation(self.engine.incarnation().0 + 1);
            bench.note(|| format!("engine {} crashes and starts as {next}", self.client));
            self.engine.crash(now);
            self.engine.start(next, now);
            return self.start(bench);
        }
        let place = usize::try_from(token).unwrap_or(usize::MAX);
        let Some(sent) = record.orders.get_mut(place) else { return };
        let answer = self.engine.order(&sent.order, now);
        bench.note(|| format!("engine {}: {:?}: {answer:?}", self.client, sent.order.number));
        match answer {
            Ok(answer) if !answer.repeated => self.applied.push((sent.order.number, sent.giver)),
            Ok(_) => {}
            Err(refusal) => sent.refusal = Some(refusal),
        }
    }
}
