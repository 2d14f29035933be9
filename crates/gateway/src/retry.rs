//! Rules for sending a request to another server.

/// Attempts beyond the route's maximum, allowed if earlier servers stated that they had not run the
/// request.
const EXTRA_ATTEMPTS: u32 = 2;

/// Maximum number of unreachable servers, which don't count as attempts.
const MAX_UNREACHABLE: u32 = 3;

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Servers that the request was sent to.
    pub sent: u32,
    /// Servers that may have run the request.
    pub may_have_run: u32,
    /// Servers that could not be connected to.
    pub unreachable: u32,
}

impl Progress {
    /// Whether the search ended because no server could be connected to.
    pub(crate) fn has_found_no_path(self) -> bool {
        self.unreachable > MAX_UNREACHABLE
    }
}

/// Inputs of the decision on another attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryCheck {
    pub progress: Progress,
    /// Whether the request may run again after it may have run once.
    pub repeatable: bool,
    pub max_attempts: u32,
}

impl RetryCheck {
    /// Whether the route's rules allow another attempt. The retry budget is checked separately.
    pub(crate) fn is_allowed(&self) -> bool {
        let Progress { sent, may_have_run, unreachable } = self.progress;
        let max_attempts = self.max_attempts.max(1);
        if may_have_run > 0 && !self.repeatable {
            return false;
        }
        may_have_run < max_attempts
            && sent < max_attempts.saturating_add(EXTRA_ATTEMPTS)
            && unreachable <= MAX_UNREACHABLE
    }
}
