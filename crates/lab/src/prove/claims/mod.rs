//! Area `claims`: routers claim at-most-once requests, execute and settle them.

mod check;
mod linear;
mod record;
mod router;

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_simulation::{Bench, Call, Planted, Reply, Workload, Zone};

use check::ClaimViolation;
use record::Record;
use router::ClaimingRouter;

const ROUTERS: usize = 5;
const ZONES: u64 = 3;

/// Workload of routers that claim requests, with a record of all operations.
pub struct ClaimsWorkload {
    routers: Vec<ClaimingRouter>,
    record: Record,
}

impl ClaimsWorkload {
    /// Creates all routers, with a planted fault if one is given.
    pub fn new(planted: Option<Planted>) -> Self {
        let routers =
            (0..ROUTERS).map(|client| ClaimingRouter::new(client, ROUTERS, planted)).collect();
        ClaimsWorkload { routers, record: Record::default() }
    }
}

impl Workload for ClaimsWorkload {
    type Violation = ClaimViolation;

    fn clients(&self) -> Vec<Zone> {
        (0..ROUTERS as u64).map(|client| client % ZONES).collect()
    }

    fn start(&mut self, bench: &mut Bench) {
        self.routers.iter_mut().for_each(|router| router.start(bench));
    }

    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply) {
        if let Some(router) = self.routers.get_mut(call.client) {
            router.on_reply(bench, call.token, reply, &mut self.record);
        }
    }

    fn on_timer(&mut self, bench: &mut Bench, call: Call) {
        if let Some(router) = self.routers.get_mut(call.client) {
            router.on_timer(bench, call.token, &mut self.record);
        }
    }

    fn finish(&mut self, _bench: &mut Bench) {
        self.routers.iter_mut().for_each(ClaimingRouter::finish);
    }

    fn is_finished(&self) -> bool {
        self.routers.iter().all(ClaimingRouter::is_finished)
    }

    fn check(&self, _last: &Rc<ControlState>) -> Vec<ClaimViolation> {
        check::check(&self.record)
    }
}
