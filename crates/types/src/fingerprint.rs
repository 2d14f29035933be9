//! What makes two requests the same one, whatever ids their callers gave them.

use std::fmt;
use std::str::FromStr;

use minicbor::{Decode, Encode};

/// Bytes of a fingerprint. Two different requests of a deployment share one with a chance
/// of 2^-128 each.
const FINGERPRINT_BYTES: usize = 16;

/// Names the content of a request: the same content has the same name at every router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct RequestFingerprint(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; FINGERPRINT_BYTES]);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Why a text is not a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || text.len() != 2 * FINGERPRINT_BYTES {
            return Err(FingerprintError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| FingerprintError)?;
        Ok(RequestFingerprint(number.to_be_bytes()))
    }
}

/// What a fingerprint covers. Ids, deadlines and other headers of one sending are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that was asked for.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's tenant, if it has one.
    pub tenant: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// The secret under which fingerprints are made. Without it a caller can't make a request that
/// has the fingerprint of another caller's request.
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; 32]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey(..)")
    }
}

impl FingerprintKey {
    /// Takes over secret bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        FingerprintKey(bytes)
    }

    /// The fingerprint of a request. It reads the body once, about a nanosecond a byte.
    pub fn fingerprint(&self, content: &RequestContent<'_>) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        update_with_length(&mut hasher, content.method.as_bytes());
        update_with_length(&mut hasher, content.host.to_ascii_lowercase().as_bytes());
        update_with_length(&mut hasher, content.path.as_bytes());
        hasher.update(&[u8::from(content.tenant.is_some())]);
        update_with_length(&mut hasher, content.tenant.unwrap_or("").as_bytes());
        update_with_length(&mut hasher, content.body);
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
        RequestFingerprint(fingerprint)
    }
}

/// Length-prefixes the bytes so that neighbouring fields can't run together.
fn update_with_length(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_be_bytes());
    hasher.update(bytes);
}
