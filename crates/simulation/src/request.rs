//! What clients ask a control replica and what it answers.

use std::rc::Rc;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_types::NodeId;

/// A question, as its asker knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// The client.
    pub client: usize,
    /// Chosen by the client.
    pub token: u64,
}

/// What a client asks.
#[derive(Clone, Debug)]
pub enum Request {
    /// Put a command through the log. The replica stamps it with its own clock.
    Propose(Command),
    /// The state, no older than the moment of the question.
    Read,
    /// The state as the replica has it, however old.
    Look,
}

/// What a replica answers.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The answer to a command that was committed.
    Answer(Answer),
    /// The state.
    State(Rc<ControlState>),
    /// Nothing was done; the leader may be elsewhere.
    Refused {
        /// Where the leader may be.
        leader: Option<NodeId>,
    },
}
