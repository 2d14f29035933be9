//! Idempotency keys of at-most-once requests.
//!
//! A key contains its creation time: `<unix seconds>-<suffix>`. This makes it safe to expire
//! claims: the replicated state keeps a monotonic horizon, removes claims older than the horizon
//! and rejects keys older than the horizon, so that an expired key is never granted again.

use std::fmt;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

/// Longest accepted suffix, in bytes.
pub const MAX_SUFFIX_BYTES: usize = 64;

/// Error for text that is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "an idempotency key reads <unix seconds>-<1 to {MAX_SUFFIX_BYTES} visible ASCII characters>"
)]
pub struct ClaimKeyError;

/// Idempotency key of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    made_at: u64,
    suffix: String,
}

impl ClaimKey {
    /// Creates a key from its creation time, in seconds since the Unix epoch, and a suffix.
    pub fn new(made_at: u64, suffix: impl Into<String>) -> Result<Self, ClaimKeyError> {
        let suffix = suffix.into();
        let has_valid_length = (1..=MAX_SUFFIX_BYTES).contains(&suffix.len());
        if has_valid_length && suffix.bytes().all(|byte| byte.is_ascii_graphic()) {
            Ok(Self { made_at, suffix })
        } else {
            Err(ClaimKeyError)
        }
    }

    /// Creation time, in seconds since the Unix epoch.
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

/// Answer to a claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ClaimAnswer {
    /// The attempt may execute the request, once.
    #[n(0)]
    Granted,
    /// Another attempt executed the request, with this outcome.
    #[n(1)]
    Settled(#[n(0)] ClaimOutcome),
    /// Another attempt holds the claim, with an unknown outcome.
    #[n(2)]
    OutcomeUnknown,
    /// The key is in use for a different request.
    #[n(3)]
    KeyReused,
    /// The key is older than the horizon before which claims are removed.
    #[n(4)]
    Expired {
        /// Horizon, in seconds since the Unix epoch.
        #[n(0)]
        horizon: u64,
    },
    /// The key's creation time is too far in the future.
    #[n(5)]
    TooEarly,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct ClaimOutcome {
    /// HTTP status code of the back end's answer.
    #[n(0)]
    pub status: u16,
    /// Content type of the answer.
    #[n(1)]
    pub content_type: String,
    /// Body of the answer, truncated to the size that control replicas store.
    #[cbor(n(2), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Whether `body` is complete, not truncated.
    #[n(3)]
    pub whole: bool,
}
