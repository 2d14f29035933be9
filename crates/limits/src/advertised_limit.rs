//! Limits that a server's answer advertises for all routers together.

use crate::header_value::parse_single;

/// Highest accepted rate, in requests per second: more than any server can serve.
const MAX_PER_SECOND: f64 = 1e6;

/// Lowest accepted rate, in requests per second. Below it, no request would be sent for minutes,
/// and no router would observe the end of the limit.
const MIN_PER_SECOND: f64 = 0.01;

/// Rate in requests per second, within the accepted range.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate in requests per second.
    ///
    /// # Errors
    /// Fails if the rate is outside the accepted range.
    pub fn new(per_second: f64) -> Result<Self, RateError> {
        match (MIN_PER_SECOND..=MAX_PER_SECOND).contains(&per_second) {
            true => Ok(RequestRate(per_second)),
            false => Err(RateError::OutOfRange),
        }
    }

    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Reason why an advertised rate is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RateError {
    /// Not a decimal number.
    #[error("not a decimal number")]
    NotANumber,
    /// Negative, zero, infinite or outside the accepted range.
    #[error("out of range")]
    OutOfRange,
    /// Several different rates in one answer.
    #[error("conflicting values")]
    Conflicting,
}

/// Limit that one answer of a server advertises.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// No limit.
    #[default]
    Nothing,
    /// Highest rate that the server accepts from all routers together.
    Rate(RequestRate),
    /// Invalid limit, ignored: a known limit neither changes nor ends.
    Invalid(RateError),
}

impl AdvertisedLimit {
    /// Parses the values of an answer's header. `None` is a value that isn't text.
    pub fn parse<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let (not_text, conflicting) = (RateError::NotANumber, RateError::Conflicting);
        match parse_single(values, parse_rate, not_text, conflicting) {
            Ok(None) => AdvertisedLimit::Nothing,
            Ok(Some(value)) => AdvertisedLimit::Rate(value),
            Err(error) => AdvertisedLimit::Invalid(error),
        }
    }
}

fn parse_rate(text: &str) -> Result<RequestRate, RateError> {
    let per_second = text.trim().parse().map_err(|_| RateError::NotANumber)?;
    RequestRate::new(per_second)
}
