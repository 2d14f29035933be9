//! What clients do in a run, and what they may expect.

use std::fmt::Display;
use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_types::NodeId;

use crate::network::Zone;
use crate::queue::Micros;
use crate::random::Random;
use crate::request::{Call, Reply, Request};

/// What a workload can see and do while it is called.
#[derive(Debug)]
pub struct Bench {
    /// The time.
    pub now: Micros,
    /// Random numbers of the workload's own.
    pub random: Random,
    /// All control machines.
    pub nodes: Vec<NodeId>,
    pub(crate) sent: Vec<(NodeId, Call, Request)>,
    pub(crate) timers: Vec<(Micros, Call)>,
    pub(crate) notes: Vec<String>,
    pub(crate) traced: bool,
}

impl Bench {
    /// Sends a request to a control machine.
    pub fn send(&mut self, node: NodeId, call: Call, request: Request) {
        self.sent.push((node, call, request));
    }

    /// Calls [`Workload::on_timer`] after `delay`.
    pub fn wake_after(&mut self, delay: Micros, call: Call) {
        self.timers.push((delay, call));
    }

    /// Any control machine.
    pub fn any_node(&mut self) -> NodeId {
        let nodes = std::mem::take(&mut self.nodes);
        let node = self.random.pick(&nodes).unwrap_or_default();
        self.nodes = nodes;
        node
    }

    /// Writes a line into the trace.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if self.traced {
            self.notes.push(text());
        }
    }
}

/// Clients and their checkers.
pub trait Workload {
    /// What this workload's checkers find.
    type Violation: Display;

    /// Zones of the clients, by their number.
    fn clients(&self) -> Vec<Zone>;

    /// The run begins.
    fn start(&mut self, bench: &mut Bench);

    /// An answer has arrived, perhaps late or twice.
    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply);

    /// A timer is due.
    fn on_timer(&mut self, bench: &mut Bench, call: Call);

    /// Faults are over: finish what is open and look at the end.
    fn finish(&mut self, bench: &mut Bench);

    /// Whether everything is finished.
    fn is_finished(&self) -> bool;

    /// Checks what was seen against the state that the replicas ended with.
    fn check(&self, last: &Rc<ControlState>) -> Vec<Self::Violation>;
}
