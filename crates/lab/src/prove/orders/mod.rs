//! Area `orders`: holders of fencing tokens give orders to engines.
//!
//! Tokens come out of the replicated log, orders reach the emulated engines late,
//! twice, crossed or never, and engines restart. Several holders are at work at
//! once, because none knows that its token has been succeeded.

mod check;
mod giver;
mod record;
mod target;

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_simulation::{Bench, Call, Planted, Reply, Workload, Zone};

use check::OrderViolation;
use giver::Giver;
use record::Record;
use target::Target;

const GIVERS: usize = 4;
const ENGINES: usize = 2;
const ZONES: u64 = 3;

/// The faults of this area: those of the replicas and those of the engines' side.
pub const ORDER_FAULTS: [&str; 4] = [
    "all faults of the control replicas (see configuration)",
    "orders lost, repeated, crossed and up to six seconds late",
    "engines that crash and come back as another incarnation",
    "several holders at work at once",
];

/// Order-givers and engines.
pub struct Orders {
    givers: Vec<Giver>,
    engines: Vec<Target>,
    record: Record,
}

impl Orders {
    /// All order-givers and engines, with a planted fault if one is given.
    pub fn new(planted: Option<Planted>) -> Self {
        Orders {
            givers: (0..GIVERS).map(|client| Giver::new(client, planted)).collect(),
            engines: (0..ENGINES).map(|number| Target::new(GIVERS + number)).collect(),
            record: Record::default(),
        }
    }
}

impl Workload for Orders {
    type Violation = OrderViolation;

    fn clients(&self) -> Vec<Zone> {
        (0..(GIVERS + ENGINES) as u64).map(|client| client % ZONES).collect()
    }

    fn start(&mut self, bench: &mut Bench) {
        self.givers.iter_mut().for_each(|giver| giver.start(bench));
        self.engines.iter_mut().for_each(|engine| engine.start(bench));
    }

    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply) {
        if let Some(giver) = self.givers.get_mut(call.client) {
            giver.on_reply(bench, call.token, reply, &mut self.record);
        }
    }

    fn on_timer(&mut self, bench: &mut Bench, call: Call) {
        match self.givers.get_mut(call.client) {
            Some(giver) => giver.on_timer(bench, call.token, &mut self.record, &self.engines),
            None => {
                if let Some(engine) = self.engines.get_mut(call.client - GIVERS) {
                    engine.on_timer(bench, call.token, &mut self.record);
                }
            }
        }
    }

    fn finish(&mut self, _bench: &mut Bench) {
        self.givers.iter_mut().for_each(Giver::finish);
    }

    fn is_finished(&self) -> bool {
        self.givers.iter().all(Giver::is_finished)
    }

    fn check(&self, _last: &Rc<ControlState>) -> Vec<OrderViolation> {
        check::check(&self.record, &self.engines)
    }
}
