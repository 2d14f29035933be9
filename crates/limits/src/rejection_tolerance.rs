//! How many requests a brittle server may reject per second before it crashes.

use crate::header_value::parse_single;

/// Highest accepted tolerance, in rejections per second: no server rejects more.
const MAX_PER_SECOND: u32 = 1_000_000;

/// Reason why a tolerance is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ToleranceError {
    /// Not a whole number.
    #[error("not a whole number")]
    NotANumber,
    /// Above the highest accepted value.
    #[error("out of range")]
    OutOfRange,
    /// Several different values in one answer.
    #[error("conflicting values")]
    Conflicting,
}

/// Tolerance that one answer of a server states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RejectionTolerance {
    /// The server isn't brittle.
    #[default]
    Nothing,
    /// Rejections per second, of requests from all routers together, above which the server crashes.
    PerSecond(u32),
    /// Invalid value, ignored: a known tolerance neither changes nor ends.
    Invalid(ToleranceError),
}

impl RejectionTolerance {
    /// Parses the values of an answer's header. `None` is a value that isn't text.
    pub fn parse<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let (not_text, conflicting) = (ToleranceError::NotANumber, ToleranceError::Conflicting);
        match parse_single(values, parse_tolerance, not_text, conflicting) {
            Ok(None) => RejectionTolerance::Nothing,
            Ok(Some(value)) => RejectionTolerance::PerSecond(value),
            Err(error) => RejectionTolerance::Invalid(error),
        }
    }
}

fn parse_tolerance(text: &str) -> Result<u32, ToleranceError> {
    let per_second: u64 = text.trim().parse().map_err(|_| ToleranceError::NotANumber)?;
    let per_second = u32::try_from(per_second).map_err(|_| ToleranceError::OutOfRange)?;
    match per_second > MAX_PER_SECOND {
        true => Err(ToleranceError::OutOfRange),
        false => Ok(per_second),
    }
}
