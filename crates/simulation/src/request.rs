//! Requests of clients to a control replica, and its replies.

use std::rc::Rc;

use juniper_control_state::{Answer, Command, ControlState};
use juniper_types::NodeId;

/// Identity of a client request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// Client number.
    pub client: usize,
    /// Token chosen by the client to match replies to requests.
    pub token: u64,
}

/// Client request.
#[derive(Clone, Debug)]
pub enum Request {
    /// Proposes a command. The replica sets its timestamp.
    Propose(Command),
    /// Linearizable read of the state.
    Read,
    /// Read of the replica's local state, possibly stale.
    Look,
}

/// Reply of a replica.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Result of a committed command.
    Answer(Answer),
    /// Result of a read.
    State(Rc<ControlState>),
    /// Request refused because the replica can't serve it, usually as it isn't the leader.
    Refused {
        /// Node of the presumed leader, if known.
        leader: Option<NodeId>,
    },
}
