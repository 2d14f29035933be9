//! Why an attempt brought no answer, and what that shows.

use std::time::Duration;

use juniper_placement::Outcome;

use crate::pool::ConnectError;

/// Why an attempt brought no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// Nothing was sent.
    #[error("not sent: {0}")]
    NotSent(ConnectError),
    /// Nothing was sent, since the server requested a backoff in the meantime.
    #[error("not sent: the server is backing off for {0:?}")]
    BackingOff(Duration),
    /// Nothing was sent, since the retry was granted too long ago and the budget has no other one.
    #[error("not sent: the retry was granted too long ago")]
    RetryExpired,
    /// Nothing was sent, since the server no longer runs the software version it was chosen for.
    #[error("not sent: the server's software version has changed")]
    SoftwareChanged,
    /// Nothing was sent, since the server has restarted under its name.
    #[error("not sent: the server has restarted")]
    Restarted,
    /// Nothing was sent, since the server didn't state which incarnation it is.
    #[error("not sent: the server did not state when it started")]
    NoStatement,
    /// Nothing was sent, since the request was quarantined while it waited.
    #[error("not sent: the request has been quarantined")]
    Quarantined,
    /// The server stated that it did not run the request.
    #[error("the server did not run the request")]
    NotRun,
    /// Another server now has the address.
    #[error("another server now has the address")]
    WrongServer,
    /// The server no longer has weights of the expected version.
    #[error("the server has no weights of version {0}")]
    WrongVersion(u64),
    /// The connection broke; the request may have run.
    #[error("the connection to the server broke: {0}")]
    Broken(hyper::Error),
    /// The answer doesn't belong to this request, which may have run.
    #[error("the answer has a wrong request id or no seal")]
    InvalidAnswer,
    /// The server didn't answer within the timeout; the request may have run.
    #[error("no answer in time")]
    Timeout,
}

impl AttemptError {
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(
            self,
            AttemptError::Broken(_) | AttemptError::InvalidAnswer | AttemptError::Timeout
        )
    }

    /// Whether nothing was sent.
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(
            self,
            AttemptError::NotSent(_)
                | AttemptError::BackingOff(_)
                | AttemptError::RetryExpired
                | AttemptError::Quarantined
                | AttemptError::SoftwareChanged
                | AttemptError::Restarted
                | AttemptError::NoStatement
        )
    }

    /// What the error shows of the server.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            AttemptError::NotSent(ConnectError::Exhausted) | AttemptError::NotRun => Outcome::Full,
            // A reused connection that the server has closed doesn't show that new ones fail.
            AttemptError::NotSent(ConnectError::Handshake(_)) => Outcome::Interrupted,
            AttemptError::NotSent(_) => Outcome::Unreachable,
            AttemptError::BackingOff(_)
            | AttemptError::RetryExpired
            | AttemptError::Quarantined
            | AttemptError::SoftwareChanged => Outcome::Cancelled,
            AttemptError::WrongServer | AttemptError::Restarted => Outcome::Replaced,
            AttemptError::WrongVersion(version) => Outcome::VersionMismatch(*version),
            AttemptError::Broken(_)
            | AttemptError::InvalidAnswer
            | AttemptError::NoStatement
            | AttemptError::Timeout => Outcome::Interrupted,
        }
    }
}
