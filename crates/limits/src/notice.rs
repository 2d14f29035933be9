//! What a server's answer asks of whoever gets it: to send nothing for a while, or nothing any more.

use std::time::Duration;

/// Longest pause that is believed. Beyond it a server would be lost for as long as it lives.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 60 * 60);

/// Why a stated pause can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PauseFault {
    /// It is no decimal number of seconds; dates are none.
    #[error("no decimal number")]
    NoNumber,
    /// It is negative, zero, infinite, or too long to be meant.
    #[error("out of range")]
    OutOfRange,
    /// Several pauses are stated that differ.
    #[error("several pauses that differ")]
    Several,
}

/// The pause that one answer asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedPause {
    /// None.
    #[default]
    Nothing,
    /// Nothing is to be sent for so long.
    For(Duration),
    /// A pause that can't be read. It neither begins nor ends one.
    Unreadable(PauseFault),
}

impl StatedPause {
    /// Reads the values that one answer has, in seconds; `None` stands for one that is no text.
    pub fn read<'a>(values: impl IntoIterator<Item = Option<&'a str>>) -> Self {
        let mut stated = StatedPause::Nothing;
        for value in values {
            let next = match value.map_or(Err(PauseFault::NoNumber), read_pause) {
                Ok(pause) => StatedPause::For(pause),
                Err(fault) => return StatedPause::Unreadable(fault),
            };
            if stated != StatedPause::Nothing && stated != next {
                return StatedPause::Unreadable(PauseFault::Several);
            }
            stated = next;
        }
        stated
    }
}

fn read_pause(text: &str) -> Result<Duration, PauseFault> {
    let seconds: f64 = text.trim().parse().map_err(|_| PauseFault::NoNumber)?;
    let pause = Duration::try_from_secs_f64(seconds).map_err(|_| PauseFault::OutOfRange)?;
    match pause.is_zero() || pause > MAX_PAUSE {
        true => Err(PauseFault::OutOfRange),
        false => Ok(pause),
    }
}

/// What one answer says of the departure of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedDeparture {
    /// Nothing.
    #[default]
    Nothing,
    /// The server is leaving.
    Leaving,
    /// Something that can't be read. It changes nothing.
    Unreadable,
}

/// What one answer asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNotice {
    /// To send nothing for a while.
    pub pause: StatedPause,
    /// To send nothing new any more.
    pub departure: StatedDeparture,
}
