//! What routers asked, were told and ran.

use juniper_control_state::Answer;
use juniper_types::ClaimKey;

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
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// What was asked.
    pub asked: Asked,
    /// The answer; `None` while it isn't known.
    pub answered: Option<Answer>,
}

/// One end of an operation, by its place among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The first sending.
    Call(usize),
    /// The answer.
    Response(usize),
}

/// Everything the routers did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The operations.
    pub operations: Vec<Operation>,
    /// Their ends in order of time.
    pub ends: Vec<End>,
    /// Keys that callers have used.
    pub keys: Vec<ClaimKey>,
    /// Requests that reached a back end, by key and attempt.
    pub runs: Vec<(ClaimKey, u64)>,
    /// Attempts of which the caller was told that they did not run.
    pub refused: Vec<(ClaimKey, u64)>,
}

impl Record {
    /// An operation begins; returns its place.
    pub fn call(&mut self, asked: Asked) -> usize {
        self.operations.push(Operation { asked, answered: None });
        let place = self.operations.len() - 1;
        self.ends.push(End::Call(place));
        place
    }

    /// An operation has its answer.
    pub fn response(&mut self, place: usize, answered: Answer) {
        self.ends.push(End::Response(place));
        if let Some(operation) = self.operations.get_mut(place) {
            operation.answered = Some(answered);
        }
    }
}
