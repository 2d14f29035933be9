//! Record of the operations and executions of routers.

use juniper_control_state::Answer;
use juniper_types::ClaimKey;

use crate::prove::history::History;

/// Arguments of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Claims the right to execute the request with this key.
    Claim {
        /// Key of the request.
        key: ClaimKey,
        /// Random id of the attempt.
        attempt: u64,
    },
    /// Stores the outcome of the request.
    Settle {
        /// Key of the request.
        key: ClaimKey,
        /// Random id of the attempt.
        attempt: u64,
    },
    /// Moves the horizon, which expires older keys.
    Advance {
        /// New horizon, in seconds since the Unix epoch.
        to: u64,
    },
}

/// Operation of one router.
pub type Operation = crate::prove::history::Operation<Invocation, Answer>;

/// Operations and executions of all routers.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Operations on the replicated state.
    pub history: History<Invocation, Answer>,
    /// Keys that were generated, oldest first.
    pub keys: Vec<ClaimKey>,
    /// Key and attempt of each request that reached a back end.
    pub executions: Vec<(ClaimKey, u64)>,
    /// Key and attempt of each request that was reported as not run.
    pub refused: Vec<(ClaimKey, u64)>,
}
