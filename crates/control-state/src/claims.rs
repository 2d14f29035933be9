//! Claims: which requests that run at most once were granted, and what came of them.
//!
//! The safety argument: a claim is granted only when its key is absent from the
//! table and not older than the horizon. A key leaves the table only when the
//! horizon passes it, and the horizon never falls. So no key is granted to two
//! attempts, ever.

use std::collections::BTreeMap;
use std::sync::Arc;

use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, TenantName};
use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

use crate::answer::{Answer, SettleAnswer};

/// Most claims kept at once. With a day's retention this is a mean of 23 a second.
pub const MAX_CLAIMS: usize = 2_000_000;

/// Largest kept body of an outcome, in bytes.
pub const MAX_OUTCOME_BODY_BYTES: usize = 16 << 10;

/// Most bytes of kept bodies; outcomes beyond are kept without a body.
pub const MAX_OUTCOME_BYTES: usize = 128 << 20;

/// Longest kept content type, in bytes.
pub const MAX_CONTENT_TYPE_BYTES: usize = 128;

/// How far in the future a key may lie, in seconds: what callers' clocks are off by.
pub const MAX_KEY_LEAD_SECONDS: u64 = 300;

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
struct Claim {
    #[n(0)]
    fingerprint: BlockHash,
    #[n(1)]
    attempt: u64,
    #[n(2)]
    outcome: Option<ClaimOutcome>,
}

/// What a router asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimRequest {
    pub tenant: TenantName,
    pub key: ClaimKey,
    pub fingerprint: BlockHash,
    pub attempt: u64,
    pub now: u64,
}

/// Seconds of keys in one bucket. At 23 claims a second a bucket holds some 1,400.
const BUCKET_SECONDS: u64 = 60;

/// Claims whose keys were made within the same minute.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Bucket(Arc<BTreeMap<(ClaimKey, TenantName), Claim>>);

impl Bucket {
    /// The claims, to change them; copied first if a clone of the state shares them.
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

/// The claim table. It is ordered by the time of the key, so that expiry is a
/// prefix, and shared by buckets, so that a copy to write a snapshot from costs
/// one counter a bucket; a bucket is copied when it changes meanwhile.
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
    /// Claims kept.
    pub fn len(&self) -> usize {
        usize::try_from(self.count).unwrap_or(usize::MAX)
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Keys made before this second since the Unix epoch are refused for ever.
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
        let number = key.made_at() / BUCKET_SECONDS;
        let place = (key, tenant);
        let known = self.buckets.get(&number).and_then(|bucket| bucket.0.get(&place));
        if let Some(claim) = known {
            return Answer::Claim(claim.answer(&fingerprint, attempt));
        }
        if self.len() >= MAX_CLAIMS {
            return Answer::ClaimsFull;
        }
        let bucket = self.buckets.entry(number).or_default().claims_mut();
        bucket.insert(place, Claim { fingerprint, attempt, outcome: None });
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
        let room = (MAX_OUTCOME_BYTES as u64).saturating_sub(self.body_bytes);
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
            let outcome = bounded(outcome, room);
            self.body_bytes += outcome.body.len() as u64;
            claim.outcome = Some(outcome);
        }
        SettleAnswer::Kept
    }

    pub(crate) fn advance_horizon(&mut self, to: u64) -> u64 {
        while let Some(mut oldest) = self.buckets.first_entry() {
            if oldest.key() * BUCKET_SECONDS >= to {
                break;
            }
            let (forgotten, bytes) = forget_before(oldest.get_mut(), to);
            self.count -= forgotten;
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
    /// The answer to a claim whose key is in the table.
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

/// Removes the claims made before `to`; returns how many and their bodies' bytes.
fn forget_before(bucket: &mut Bucket, to: u64) -> (u64, u64) {
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

/// Cuts an outcome to the bounds; a body that doesn't fit `room` is left out.
fn bounded(mut outcome: ClaimOutcome, room: u64) -> ClaimOutcome {
    let limit = if outcome.body.len() as u64 > room { 0 } else { MAX_OUTCOME_BODY_BYTES };
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
