//! Claims of at-most-once requests, with their outcomes.
//!
//! Safety: a claim is granted only if its key is absent from the table and not older than
//! the horizon. A key is removed only when the horizon passes it, and the horizon never
//! decreases. Therefore no key is granted to two attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, TenantName};
use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

use crate::answer::{Answer, SettleAnswer};

/// Maximum number of retained claims: with a retention of a day, 23 per second on average.
pub const MAX_CLAIMS: usize = 2_000_000;

/// Maximum size of a retained outcome body, in bytes.
pub const MAX_OUTCOME_BODY_BYTES: usize = 16 << 10;

/// Maximum total size of the retained bodies, in bytes. Further outcomes are retained without
/// a body.
pub const MAX_TOTAL_BODY_BYTES: usize = 128 << 20;

/// Maximum length of a retained content type, in bytes.
pub const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// Maximum time that a key may lie in the future, in seconds, to tolerate wrong callers' clocks.
pub const MAX_KEY_LEAD_SECONDS: u64 = 300;

/// Claim with its outcome, if settled.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct Claim {
    #[n(0)]
    fingerprint: BlockHash,
    #[n(1)]
    attempt: u64,
    #[n(2)]
    outcome: Option<ClaimOutcome>,
}

/// Request of a router for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimRequest {
    pub tenant: TenantName,
    pub key: ClaimKey,
    pub fingerprint: BlockHash,
    pub attempt: u64,
    pub now: u64,
}

/// Time range of the keys in one bucket, in seconds. At 23 claims per second a bucket holds about
/// 1,400.
const BUCKET_SECONDS: u64 = 60;

/// Claims with keys created within the same time range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Bucket(Arc<BTreeMap<(ClaimKey, TenantName), Claim>>);

impl Bucket {
    /// Returns the claims for modification, copied first if a clone of the state shares them.
    fn claims_mut(&mut self) -> &mut BTreeMap<(ClaimKey, TenantName), Claim> {
        Arc::make_mut(&mut self.0)
    }
}

impl<C> Encode<C> for Bucket {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        self.0.as_ref().encode(encoder, context)
    }
}

impl<'b, C> Decode<'b, C> for Bucket {
    fn decode(decoder: &mut Decoder<'b>, context: &mut C) -> Result<Self, DecodeError> {
        Ok(Bucket(Arc::new(BTreeMap::decode(decoder, context)?)))
    }
}

/// Claim table, ordered by the creation time of the keys, so that expired claims form a
/// prefix. Clones share the buckets, which are copied on write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Claims {
    #[n(0)]
    buckets: BTreeMap<u64, Bucket>,
    #[n(3)]
    count: u64,
    #[n(1)]
    horizon: u64,
    #[n(2)]
    body_bytes: u64,
}

impl Claims {
    /// Number of retained claims.
    pub fn len(&self) -> usize {
        usize::try_from(self.count).unwrap_or(usize::MAX)
    }

    /// Whether no claims are retained.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Horizon, in seconds since the Unix epoch. Keys created earlier are rejected permanently.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    pub(crate) fn claim(&mut self, request: ClaimRequest) -> Answer {
        if request.key.made_at() < self.horizon {
            return Answer::Claim(ClaimAnswer::Expired { horizon: self.horizon });
        }
        if request.key.made_at() > request.now.saturating_add(MAX_KEY_LEAD_SECONDS) {
            return Answer::Claim(ClaimAnswer::TooEarly);
        }
        let ClaimRequest { tenant, key, fingerprint, attempt, .. } = request;
        let bucket_number = key.made_at() / BUCKET_SECONDS;
        let claim_id = (key, tenant);
        let known = self.buckets.get(&bucket_number).and_then(|bucket| bucket.0.get(&claim_id));
        if let Some(claim) = known {
            return Answer::Claim(claim.answer(&fingerprint, attempt));
        }
        if self.len() >= MAX_CLAIMS {
            return Answer::ClaimsFull;
        }
        let bucket = self.buckets.entry(bucket_number).or_default().claims_mut();
        bucket.insert(claim_id, Claim { fingerprint, attempt, outcome: None });
        self.count += 1;
        Answer::Claim(ClaimAnswer::Granted)
    }

    pub(crate) fn settle(
        &mut self,
        tenant: TenantName,
        key: ClaimKey,
        attempt: u64,
        outcome: ClaimOutcome,
    ) -> SettleAnswer {
        if key.made_at() < self.horizon {
            return SettleAnswer::Expired { horizon: self.horizon };
        }
        let available = (MAX_TOTAL_BODY_BYTES as u64).saturating_sub(self.body_bytes);
        let Some(bucket) = self.buckets.get_mut(&(key.made_at() / BUCKET_SECONDS)) else {
            return SettleAnswer::NotHeld;
        };
        let Some(claim) = bucket.claims_mut().get_mut(&(key, tenant)) else {
            return SettleAnswer::NotHeld;
        };
        if claim.attempt != attempt {
            return SettleAnswer::NotHeld;
        }
        if claim.outcome.is_none() {
            let outcome = truncate_outcome(outcome, available);
            self.body_bytes += outcome.body.len() as u64;
            claim.outcome = Some(outcome);
        }
        SettleAnswer::Recorded
    }

    pub(crate) fn advance_horizon(&mut self, to: u64) -> u64 {
        while let Some(mut oldest) = self.buckets.first_entry() {
            if oldest.key() * BUCKET_SECONDS >= to {
                break;
            }
            let (removed, bytes) = remove_claims_before(oldest.get_mut(), to);
            self.count -= removed;
            self.body_bytes -= bytes;
            if !oldest.get().0.is_empty() {
                break;
            }
            oldest.remove();
        }
        self.horizon = self.horizon.max(to);
        self.horizon
    }
}

impl Claim {
    /// Answer to a claim request whose key is in the table.
    fn answer(&self, fingerprint: &BlockHash, attempt: u64) -> ClaimAnswer {
        if self.fingerprint != *fingerprint {
            return ClaimAnswer::KeyReused;
        }
        match &self.outcome {
            Some(outcome) => ClaimAnswer::Settled(outcome.clone()),
            None if self.attempt == attempt => ClaimAnswer::Granted,
            None => ClaimAnswer::OutcomeUnknown,
        }
    }
}

/// Removes claims with keys created before `to`. Returns their number and the total size of
/// their bodies, in bytes.
fn remove_claims_before(bucket: &mut Bucket, to: u64) -> (u64, u64) {
    let claims = bucket.claims_mut();
    let (mut count, mut bytes) = (0, 0);
    while let Some(oldest) = claims.first_entry() {
        if oldest.key().0.made_at() >= to {
            break;
        }
        let claim = oldest.remove();
        count += 1;
        bytes += claim.outcome.map_or(0, |outcome| outcome.body.len() as u64);
    }
    (count, bytes)
}

/// Truncates an outcome to the limits. A body of more than `available` bytes is removed.
fn truncate_outcome(mut outcome: ClaimOutcome, available: u64) -> ClaimOutcome {
    let limit = if outcome.body.len() as u64 > available { 0 } else { MAX_OUTCOME_BODY_BYTES };
    if outcome.body.len() > limit {
        outcome.body.truncate(limit);
        outcome.whole = false;
    }
    outcome.body.shrink_to_fit();
    if outcome.content_type.len() > MAX_CONTENT_TYPE_BYTES {
        outcome.content_type.clear();
    }
    outcome
}
