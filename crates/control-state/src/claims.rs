//! Claims: which requests that run at most once were granted, and what came of them.
//!
//! The safety argument: a claim is granted only when its key is absent from the
//! table and not older than the horizon. A key leaves the table only when the
//! horizon passes it, and the horizon never falls. So no key is granted to two
//! attempts, ever.

use std::collections::BTreeMap;

use juniper_types::{BlockHash, ClaimAnswer, ClaimKey, ClaimOutcome, TenantName};
use minicbor::{Decode, Encode};

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

/// The claim table, ordered by the time of the key so that expiry is a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Claims {
    #[n(0)]
    table: BTreeMap<(ClaimKey, TenantName), Claim>,
    #[n(1)]
    horizon: u64,
    #[n(2)]
    body_bytes: u64,
}

impl Claims {
    /// Claims kept.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
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
        let place = (key, tenant);
        if let Some(claim) = self.table.get(&place) {
            return Answer::Claim(claim.answer(&fingerprint, attempt));
        }
        if self.table.len() >= MAX_CLAIMS {
            return Answer::ClaimsFull;
        }
        self.table.insert(place, Claim { fingerprint, attempt, outcome: None });
        Answer::Claim(ClaimAnswer::Granted)
    }

    pub(crate) fn settle(
        &mut self,
        tenant: TenantName,
        key: ClaimKey,
        attempt: u64,
        outcome: ClaimOutcome,
    ) -> SettleAnswer {
        let room = (MAX_OUTCOME_BYTES as u64).saturating_sub(self.body_bytes);
        let Some(claim) = self.table.get_mut(&(key, tenant)) else {
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
        while let Some(oldest) = self.table.first_entry() {
            if oldest.key().0.made_at() >= to {
                break;
            }
            let claim = oldest.remove();
            self.body_bytes -= claim.outcome.map_or(0, |outcome| outcome.body.len() as u64);
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
