//! Area `configuration`: writers write concurrently, resend and roll back, while
//! routers poll the settings.

mod check;
mod linear;
mod record;
mod router;
mod writer;

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_simulation::{Bench, Call, Planted, Reply, Workload, Zone};
use juniper_types::Revision;

use check::ConfigurationViolation;
use record::{Record, highest_accepted};
use router::PollingRouter;
use writer::Writer;

const WRITERS: usize = 4;
const ROUTERS: usize = 3;
const ZONES: u64 = 3;

/// Workload of writers and routers, with a record of the writers' operations.
pub struct Configuration {
    writers: Vec<Writer>,
    routers: Vec<PollingRouter>,
    record: Record,
}

impl Configuration {
    /// Creates all writers and routers, with a planted fault if one is given.
    pub fn new(planted: Option<Planted>) -> Self {
        let router = |number| PollingRouter::new(WRITERS + number, planted);
        Configuration {
            writers: (0..WRITERS).map(Writer::new).collect(),
            routers: (0..ROUTERS).map(router).collect(),
            record: Record::default(),
        }
    }

    fn highest_accepted(&self) -> Revision {
        highest_accepted(&self.record)
    }
}

impl Workload for Configuration {
    type Violation = ConfigurationViolation;

    fn clients(&self) -> Vec<Zone> {
        (0..(WRITERS + ROUTERS) as u64).map(|client| client % ZONES).collect()
    }

    fn start(&mut self, bench: &mut Bench) {
        self.writers.iter_mut().for_each(|writer| writer.start(bench));
        self.routers.iter_mut().for_each(|router| router.start(bench));
    }

    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply) {
        match self.writers.get_mut(call.client) {
            Some(writer) => writer.on_reply(bench, call.token, reply, &mut self.record),
            None => {
                if let Some(router) = self.routers.get_mut(call.client - WRITERS) {
                    router.on_reply(bench, call.token, reply);
                }
            }
        }
    }

    fn on_timer(&mut self, bench: &mut Bench, call: Call) {
        match self.writers.get_mut(call.client) {
            Some(writer) => writer.on_timer(bench, call.token, &mut self.record),
            None => {
                if let Some(router) = self.routers.get_mut(call.client - WRITERS) {
                    router.on_timer(bench);
                }
            }
        }
    }

    fn finish(&mut self, _bench: &mut Bench) {
        self.writers.iter_mut().for_each(Writer::finish);
    }

    fn is_finished(&self) -> bool {
        let accepted = self.highest_accepted();
        self.writers.iter().all(Writer::is_finished)
            && self.routers.iter().all(|router| router.in_force() >= accepted)
    }

    fn check(&self, last: &Rc<ControlState>) -> Vec<ConfigurationViolation> {
        let applied: Vec<_> = self.routers.iter().map(PollingRouter::applied).collect();
        check::check(&self.record, &applied, last)
    }
}
