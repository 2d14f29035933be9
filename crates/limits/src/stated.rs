//! What a server's answer states of the requests that it takes from all routers together.

/// Highest rate that is believed, in requests a second: more than any server can take.
const MAX_PER_SECOND: f64 = 1e6;

/// Lowest rate that is believed, in requests a second. Below it, nothing would be sent for minutes,
/// and nobody would hear that the limit has ended.
const MIN_PER_SECOND: f64 = 0.01;

/// Requests a second, within the range that is believed.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The rate of so many requests a second.
    ///
    /// # Errors
    /// Fails when no server can mean it.
    pub fn of(per_second: f64) -> Result<Self, RateFault> {
        match (MIN_PER_SECOND..=MAX_PER_SECOND).contains(&per_second) {
            true => Ok(RequestRate(per_second)),
            false => Err(RateFault::OutOfRange),
        }
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Why a stated rate can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RateFault {
    /// It is no decimal number.
    #[error("no decimal number")]
    NoNumber,
    /// It is negative, zero, infinite, or too small or large to be meant.
    #[error("out of range")]
    OutOfRange,
    /// Several rates are stated that differ.
    #[error("several rates that differ")]
    Several,
}

/// What one answer of a server states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// No limit.
    #[default]
    Nothing,
    /// It takes so many requests a second from all routers together.
    Rate(RequestRate),
    /// A limit that can't be read. It neither changes nor ends one that is known.
    Unreadable(RateFault),
}

impl StatedLimit {
    /// Reads the values that one answer has; `None` stands for one that is no text.
    pub fn read<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let mut stated = StatedLimit::Nothing;
        for value in values {
            let next = match value.map_or(Err(RateFault::NoNumber), read_rate) {
                Ok(rate) => StatedLimit::Rate(rate),
                Err(fault) => return StatedLimit::Unreadable(fault),
            };
            if stated != StatedLimit::Nothing && stated != next {
                return StatedLimit::Unreadable(RateFault::Several);
            }
            stated = next;
        }
        stated
    }
}

fn read_rate(text: &str) -> Result<RequestRate, RateFault> {
    let per_second = text.trim().parse().map_err(|_| RateFault::NoNumber)?;
    RequestRate::of(per_second)
}
