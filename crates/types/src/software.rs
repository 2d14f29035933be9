//! Software versions of servers.

use std::fmt;
use std::sync::Arc;

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

/// Longest software version, in bytes; bounds the memory and the log lines that versions take.
const MAX_BYTES: usize = 128;

/// Version of the software that an incarnation of a server runs: an opaque name without an order. It
/// is independent of the version of the weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates a version from its name; `None` if the name is empty, too long, or contains
    /// characters other than visible ASCII.
    pub fn new(name: &str) -> Option<Self> {
        let is_valid = !name.is_empty()
            && name.len() <= MAX_BYTES
            && name.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| SoftwareVersion(Arc::from(name)))
    }

    /// Name of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl<C> Encode<C> for SoftwareVersion {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.str(&self.0)?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for SoftwareVersion {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        let name = decoder.str()?;
        SoftwareVersion::new(name).ok_or_else(|| DecodeError::message("invalid software version"))
    }
}
