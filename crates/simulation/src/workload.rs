//! Client behaviour in a run, and the checks of its results.

use std::fmt::Display;
use std::rc::Rc;

use juniper_control_state::ControlState;
use juniper_types::NodeId;

use crate::network::Zone;
use crate::queue::Micros;
use crate::random::Random;
use crate::request::{Call, Reply, Request};

/// Context of a workload callback: the time, random numbers, and requests and timers to issue.
#[derive(Debug)]
pub struct Bench {
    /// Virtual time.
    pub now: Micros,
    /// Random number generator reserved for the workload.
    pub random: Random,
    /// Nodes of all control machines.
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

    /// Node of a random control machine.
    pub fn any_node(&mut self) -> NodeId {
        let nodes = std::mem::take(&mut self.nodes);
        let node = self.random.pick(&nodes).unwrap_or_default();
        self.nodes = nodes;
        node
    }

    /// Adds a line to the trace; `text` is evaluated only if tracing is enabled.
    pub fn note(&mut self, text: impl FnOnce() -> String) {
        if self.traced {
            self.notes.push(text());
        }
    }
}

/// Clients of a run and the checkers of their results.
pub trait Workload {
    /// Violation reported by this workload's checkers.
    type Violation: Display;

    /// Zones of the clients, indexed by client number.
    fn clients(&self) -> Vec<Zone>;

    /// Called at the start of the run.
    fn start(&mut self, bench: &mut Bench);

    /// Called when a reply arrives, possibly late or duplicated.
    fn on_reply(&mut self, bench: &mut Bench, call: Call, reply: Reply);

    /// Called when a timer expires.
    fn on_timer(&mut self, bench: &mut Bench, call: Call);

    /// Called after the last fault, to complete pending requests and read the final state.
    fn finish(&mut self, bench: &mut Bench);

    /// Whether all client work has finished.
    fn is_finished(&self) -> bool;

    /// Checks the observed replies against the final state of the replicas.
    fn check(&self, state: &Rc<ControlState>) -> Vec<Self::Violation>;
}
