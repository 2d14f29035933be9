//! Area `claims`: routers claim requests that run at most once, run and settle them.

mod caller;
mod check;
mod linear;
mod record;

use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_simulation::{Bench, Call, Planted, Reply, Workload, Zone};

use caller::Caller;
use check::ClaimViolation;
use record::Record;

const CALLERS: usize = 5;
const ZONES: u64 = 3;

/// Routers that claim, and what they saw and ran.
pub struct ClaimsWorkload {
    callers: Vec<Caller>,
    record: Record,
}

impl ClaimsWorkload {
    /// All routers, with a planted fault if one is given.
    pub fn new(planted: Option<Planted>) -> Self {
        let callers = (0..CALLERS).map(|client| Caller::new(client, CALLERS, planted)).collect();
        ClaimsWorkload { callers, record: Record::default() }
    }
}

impl Workload for ClaimsWorkload {
    type Violation = ClaimViolation;

    fn clients(&self) -> Vec<Zone> {
        (0..CALLERS as u64).map(|client| client % ZONES).collect()
    }

    fn start(&mut self, bench: &mut Bench) {
        self.callers.iter_mut().for_each(|caller| caller.start(bench));
    }

    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply) {
        if let Some(caller) = self.callers.get_mut(call.client) {
            caller.on_reply(bench, call.token, reply, &mut self.record);
        }
    }

    fn on_timer(&mut self, bench: &mut Bench, call: Call) {
        if let Some(caller) = self.callers.get_mut(call.client) {
            caller.on_timer(bench, call.token, &mut self.record);
        }
    }

    fn finish(&mut self, _bench: &mut Bench) {
        self.callers.iter_mut().for_each(Caller::finish);
    }

    fn is_finished(&self) -> bool {
        self.callers.iter().all(Caller::is_finished)
    }

    fn check(&self, _last: &Rc<ControlState>) -> Vec<ClaimViolation> {
        check::check(&self.record)
    }
}
