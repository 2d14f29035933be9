//! What routers asked, were told and ran.

use juniper_control_state::Answer;
use juniper_types::ClaimKey;

use crate::prove::history::History;

/// What was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// The right to run the request with this key.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: u64,
    },
    /// To keep the outcome of the request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        attempt: u64,
    },
    /// To forget keys made before this second.
    Advance {
        /// The second since the Unix epoch.
        to: u64,
    },
}

/// One operation of one router.
pub type Operation = crate::prove::history::Operation<Asked, Answer>;

/// Everything the routers did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// What they asked and were told.
    pub history: History<Asked, Answer>,
    /// Keys that callers have used.
    pub keys: Vec<ClaimKey>,
    /// Requests that reached a back end, by key and attempt.
    pub runs: Vec<(ClaimKey, u64)>,
    /// Attempts of which the caller was told that they did not run.
    pub refused: Vec<(ClaimKey, u64)>,
}
