//! Area `orders`: order dispatchers with fencing tokens send orders to engines.
//!
//! Tokens are issued by the replicated log. Orders to the emulated engines are
//! delayed, duplicated, reordered or lost, and engines restart. Several dispatchers
//! are active at once, because none knows that its token was superseded.

mod check;
mod dispatcher;
mod record;
mod target;

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_simulation::{Bench, Call, Planted, Reply, Workload, Zone};

use check::OrderViolation;
use dispatcher::SimulatedDispatcher;
use record::Record;
use target::TargetEngine;

const DISPATCHERS: usize = 4;
const ENGINES: usize = 2;
const ZONES: u64 = 3;

/// Injected faults, of the replicas and of the engines.
pub const ORDER_FAULTS: [&str; 4] = [
    "all faults of the control replicas (see configuration)",
    "orders lost, repeated, crossed and up to six seconds late",
    "engines that crash and come back as another incarnation",
    "several holders at work at once",
];

/// Workload of order dispatchers and engines.
pub struct Orders {
    dispatchers: Vec<SimulatedDispatcher>,
    engines: Vec<TargetEngine>,
    record: Record,
}

impl Orders {
    /// Creates all dispatchers and engines, with a planted fault if one is given.
    pub fn new(planted: Option<Planted>) -> Self {
        Orders {
            dispatchers: (0..DISPATCHERS)
                .map(|client| SimulatedDispatcher::new(client, planted))
                .collect(),
            engines: (0..ENGINES).map(|number| TargetEngine::new(DISPATCHERS + number)).collect(),
            record: Record::default(),
        }
    }
}

impl Workload for Orders {
    type Violation = OrderViolation;

    fn clients(&self) -> Vec<Zone> {
        (0..(DISPATCHERS + ENGINES) as u64).map(|client| client % ZONES).collect()
    }

    fn start(&mut self, bench: &mut Bench) {
        self.dispatchers.iter_mut().for_each(|dispatcher| dispatcher.start(bench));
        self.engines.iter_mut().for_each(|engine| engine.schedule_restart(bench));
    }

    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply) {
        if let Some(dispatcher) = self.dispatchers.get_mut(call.client) {
            dispatcher.on_reply(bench, call.token, reply, &mut self.record);
        }
    }

    fn on_timer(&mut self, bench: &mut Bench, call: Call) {
        match self.dispatchers.get_mut(call.client) {
            Some(dispatcher) => {
                dispatcher.on_timer(bench, call.token, &mut self.record, &self.engines)
            }
            None => {
                if let Some(engine) = self.engines.get_mut(call.client - DISPATCHERS) {
                    engine.on_timer(bench, call.token, &mut self.record);
                }
            }
        }
    }

    fn finish(&mut self, _bench: &mut Bench) {
        self.dispatchers.iter_mut().for_each(SimulatedDispatcher::finish);
    }

    fn is_finished(&self) -> bool {
        self.dispatchers.iter().all(SimulatedDispatcher::is_finished)
    }

    fn check(&self, _last: &Rc<ControlState>) -> Vec<OrderViolation> {
        check::check(&self.record, &self.engines)
    }
}
