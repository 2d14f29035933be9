//! Notices in a server's answer: a backoff request, or the announcement of a departure.

use std::time::Duration;

use crate::header_value::parse_single;

/// Longest accepted backoff. A longer one could take a server out of service for good.
const MAX_BACKOFF: Duration = Duration::from_secs(24 * 60 * 60);

/// Reason why a requested backoff is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackoffError {
    /// Not a decimal number of seconds. Dates aren't supported.
    #[error("not a decimal number")]
    NotANumber,
    /// Negative, zero, infinite or above the longest accepted backoff.
    #[error("out of range")]
    OutOfRange,
    /// Several different backoffs in one answer.
    #[error("conflicting values")]
    Conflicting,
}

/// Backoff that an answer requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestedBackoff {
    /// No backoff.
    #[default]
    Nothing,
    /// Send nothing to the server for this long.
    For(Duration),
    /// Invalid request, ignored: a backoff neither starts nor ends.
    Invalid(BackoffError),
}

impl RequestedBackoff {
    /// Parses the values of an answer's header, in seconds. `None` is a value that isn't text.
    pub fn parse<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let (not_text, conflicting) = (BackoffError::NotANumber, BackoffError::Conflicting);
        match parse_single(values, parse_backoff, not_text, conflicting) {
            Ok(None) => RequestedBackoff::Nothing,
            Ok(Some(value)) => RequestedBackoff::For(value),
            Err(error) => RequestedBackoff::Invalid(error),
        }
    }
}

fn parse_backoff(text: &str) -> Result<Duration, BackoffError> {
    let seconds: f64 = text.trim().parse().map_err(|_| BackoffError::NotANumber)?;
    let backoff = Duration::try_from_secs_f64(seconds).map_err(|_| BackoffError::OutOfRange)?;
    match backoff.is_zero() || backoff > MAX_BACKOFF {
        true => Err(BackoffError::OutOfRange),
        false => Ok(backoff),
    }
}

/// Announcement of a departure in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DepartureNotice {
    /// No announcement.
    #[default]
    Nothing,
    /// The server is departing.
    Departing,
    /// Invalid announcement, ignored.
    Invalid,
}

/// Notices in one answer of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// Backoff that the server requests.
    pub backoff: RequestedBackoff,
    /// Whether the server announces its departure.
    pub departure: DepartureNotice,
}
