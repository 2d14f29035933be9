//! Why a search for a server ended without an answer.

use juniper_placement::ChoiceError;

/// Why a search ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchEnd {
    /// Too little time was left to send the request.
    TooLate,
    /// The request is in quarantine.
    Quarantined,
    /// The route allows no further attempt.
    AttemptsSpent,
    /// Too many servers could not be connected to.
    NoPath,
    /// No server runs the software version that began the stream.
    NoSoftware,
    /// The service's retry budget is spent.
    BudgetSpent,
    /// No server may be asked.
    NoServer,
    /// All servers that may be asked were asked.
    AllAsked,
    /// The servers are overloaded, back off or have reached their limits.
    Busy,
}

impl SearchEnd {
    /// Value of `reason` and `not_continued` in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            SearchEnd::TooLate => "too_late",
            SearchEnd::Quarantined => "quarantined",
            SearchEnd::AttemptsSpent => "attempts_spent",
            SearchEnd::NoPath => "no_path",
            SearchEnd::NoSoftware => "no_software",
            SearchEnd::BudgetSpent => "budget_spent",
            SearchEnd::NoServer => "no_server",
            SearchEnd::AllAsked => "all_asked",
            SearchEnd::Busy => "busy",
        }
    }

    pub(crate) fn of(refusal: &ChoiceError) -> Self {
        match refusal {
            ChoiceError::NoServer | ChoiceError::OutdatedWeights => SearchEnd::NoServer,
            ChoiceError::NoSoftware => SearchEnd::NoSoftware,
            ChoiceError::AllExcluded => SearchEnd::AllAsked,
            ChoiceError::Overloaded(_)
            | ChoiceError::BackingOff(_)
            | ChoiceError::LimitReached(_) => SearchEnd::Busy,
        }
    }
}
