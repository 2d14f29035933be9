//! Idempotency keys of requests that must run at most once.
//!
//! A key names the second in which its caller made it: `<unix seconds>-<suffix>`.
//! Claims may therefore be forgotten safely: the replicated state keeps a
//! horizon that only grows, drops claims older than it, and refuses every key
//! older than it. A key that has been forgotten can never be granted again.

use std::fmt;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

/// Longest accepted suffix, in bytes.
pub const MAX_SUFFIX_BYTES: usize = 64;

/// Why a text is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "an idempotency key reads <unix seconds>-<1 to {MAX_SUFFIX_BYTES} visible ASCII characters>"
)]
pub struct ClaimKeyError;

/// A parsed idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    made_at: u64,
    suffix: String,
}

impl ClaimKey {
    /// Makes a key from its parts. `made_at` is in seconds since the Unix epoch.
    pub fn new(made_at: u64, suffix: impl Into<String>) -> Result<Self, ClaimKeyError> {
        let suffix = suffix.into();
        let in_bounds = (1..=MAX_SUFFIX_BYTES).contains(&suffix.len());
        if in_bounds && suffix.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self { made_at, suffix })
        } else {
            Err(ClaimKeyError)
        }
    }

    /// When the caller made the key, in seconds since the Unix epoch.
    pub fn made_at(&self) -> u64 {
        self.made_at
    }
}

impl std::str::FromStr for ClaimKey {
    type Err = ClaimKeyError;

    fn from_str(text: &str) -> Result<Self, ClaimKeyError> {
        let (seconds, suffix) = text.split_once('-').ok_or(ClaimKeyError)?;
        let made_at = seconds.parse().map_err(|_| ClaimKeyError)?;
        Self::new(made_at, suffix)
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.made_at, self.suffix)
    }
}

impl<C> Encode<C> for ClaimKey {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.array(2)?.u64(self.made_at)?.str(&self.suffix)?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for ClaimKey {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        decoder.array()?;
        let made_at = decoder.u64()?;
        let suffix = decoder.str()?;
        Self::new(made_at, suffix).map_err(DecodeError::custom)
    }
}

/// What a claim came to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The attempt may run the request, now and never again.
    #[n(0)]
    Granted,
    /// Another attempt ran it and this is its outcome.
    #[n(1)]
    Settled(#[n(0)] ClaimOutcome),
    /// Another attempt holds the claim and its outcome isn't known.
    #[n(2)]
    OutcomeUnknown,
    /// The key was used for a different request.
    #[n(3)]
    KeyReused,
    /// The key was made before the horizon below which claims are forgotten.
    #[n(4)]
    Expired {
        /// The horizon, in seconds since the Unix epoch.
        #[n(0)]
        horizon: u64,
    },
    /// The key's time lies too far in the future.
    #[n(5)]
    TooEarly,
}

/// What came of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct ClaimOutcome {
    /// HTTP status of the back end's answer.
    #[n(0)]
    pub status: u16,
    /// Content type of the answer.
    #[n(1)]
    pub content_type: String,
    /// The answer, cut to the size that the control replicas keep.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Whether the kept body is the whole answer.
    #[n(3)]
    pub whole: bool,
}
