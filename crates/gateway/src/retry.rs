//! Whether a request may be sent to another server.

/// Servers beyond the route's most that may be asked when the ones before said
/// that they did not run the request.
const SPARE_ASKS: u32 = 2;

/// Servers that may be tried to connect to beyond that. Nothing was sent to them.
const SPARE_CONNECTS: u32 = 3;

/// How far the sendings of one request have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Servers that it was sent to.
    pub sent: u32,
    /// Servers that may have run it.
    pub may_have_run: u32,
    /// Servers that could not be connected to.
    pub unreachable: u32,
}

/// What is asked about another sending.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryQuestion {
    pub progress: Progress,
    /// Whether the request may run a second time after it may have run once.
    pub repeatable: bool,
    pub max_attempts: u32,
}

impl RetryQuestion {
    /// Whether the rules of the route allow another sending. The retry budget is
    /// another matter.
    pub(crate) fn is_allowed(&self) -> bool {
        let Progress { sent, may_have_run, unreachable } = self.progress;
        let most = self.max_attempts.max(1);
        if may_have_run > 0 && !self.repeatable {
            return false;
        }
        may_have_run < most
            && sent < most.saturating_add(SPARE_ASKS)
            && unreachable <= SPARE_CONNECTS
    }
}
