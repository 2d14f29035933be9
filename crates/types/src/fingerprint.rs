//! Keyed fingerprints that identify requests by content, independent of their request ids.

use std::fmt;
use std::str::FromStr;

use minicbor::{Decode, Encode};

/// Length of a fingerprint in bytes. Two different requests collide with a probability of 2^-128.
const FINGERPRINT_BYTES: usize = 16;

/// Fingerprint of a request's content, or of a shared part of prompts; equal content has the same
/// fingerprint at every router.
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

/// Key of a stream: of its caller's tenant and of the caller's id of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct StreamKey(#[cbor(n(0), with = "minicbor::bytes")] pub [u8; FINGERPRINT_BYTES]);

/// Separates stream keys from fingerprints of requests, which begin with an HTTP method.
const STREAM_CONTEXT: &[u8] = b"stream key";

/// Separates fingerprints of prompt parts from those of requests, which begin with an HTTP method.
const PART_CONTEXT: &[u8] = b"prompt part";

/// Error for text that is not a fingerprint.
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

/// Parts of a request that a fingerprint covers. Headers are excluded, since request ids and
/// deadlines differ between attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Requested host; case is ignored.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Tenant of the caller, if any.
    pub tenant: Option<&'a str>,
    /// Complete request body.
    pub body: &'a [u8],
}

/// Secret key for fingerprints, which prevents callers from crafting a request that collides
/// with another caller's.
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; 32]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey(..)")
    }
}

impl FingerprintKey {
    /// Creates a key from secret bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        FingerprintKey(bytes)
    }

    /// Computes the fingerprint of a request in one pass over its body.
    pub fn fingerprint(&self, content: &RequestContent<'_>) -> RequestFingerprint {
        self.fingerprint_in_blocks(content, std::iter::empty())
    }

    /// Computes the fingerprint of a request whose body is continued in blocks; the same as with the
    /// body in one piece.
    pub fn fingerprint_in_blocks<'a>(
        &self,
        content: &RequestContent<'_>,
        blocks: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        update_with_length(&mut hasher, content.method.as_bytes());
        update_with_length(&mut hasher, content.host.to_ascii_lowercase().as_bytes());
        update_with_length(&mut hasher, content.path.as_bytes());
        hasher.update(&[u8::from(content.tenant.is_some())]);
        update_with_length(&mut hasher, content.tenant.unwrap_or("").as_bytes());
        let length = content.body.len() + blocks.clone().map(<[u8]>::len).sum::<usize>();
        hasher.update(&(length as u64).to_be_bytes());
        hasher.update(content.body);
        blocks.for_each(|block| {
            hasher.update(block);
        });
        RequestFingerprint(truncated_hash(&hasher))
    }

    /// Computes the fingerprint of a prompt part, which is the same for all models, services and
    /// tenants.
    pub fn part_fingerprint(&self, part: u64) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        update_with_length(&mut hasher, PART_CONTEXT);
        update_with_length(&mut hasher, &part.to_be_bytes());
        RequestFingerprint(truncated_hash(&hasher))
    }

    /// Computes the key of the stream that a tenant's request with this id began.
    pub fn stream_key(&self, tenant: Option<&str>, request_id: &[u8]) -> StreamKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        update_with_length(&mut hasher, STREAM_CONTEXT);
        hasher.update(&[u8::from(tenant.is_some())]);
        update_with_length(&mut hasher, tenant.unwrap_or("").as_bytes());
        update_with_length(&mut hasher, request_id);
        StreamKey(truncated_hash(&hasher))
    }
}

fn truncated_hash(hasher: &blake3::Hasher) -> [u8; FINGERPRINT_BYTES] {
    let mut truncated = [0; FINGERPRINT_BYTES];
    truncated.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
    truncated
}

/// Hashes the bytes with a length prefix, so that adjacent fields are unambiguous.
fn update_with_length(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_be_bytes());
    hasher.update(bytes);
}
