//! Claims of at-most-once requests, as the router makes them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::http::HeaderMap;
use juniper_protocol::{ClaimAnswer, ClaimOutcome, Refusal, Reply, Request};
use juniper_types::{BlockHash, ClaimKey, TenantName};

use crate::control_client::{ControlCallError, ControlClient};
use crate::error::RequestError;

/// Header with the caller's idempotency key; the answer carries it too.
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest wait for a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the outcome of a request that has run is offered to the replicas.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Suggested pause when no quorum answers, in milliseconds.
const NO_QUORUM_RETRY_MS: u64 = 2_000;

/// Largest body kept with an outcome, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 16 << 10;

/// One attempt to run a request at most once.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Whose request it is.
    pub tenant: TenantName,
    /// The idempotency key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: BlockHash,
    /// Drawn for this attempt.
    pub attempt: u64,
}

/// What a claim allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// Run the request now.
    Granted,
    /// Answer with the kept outcome.
    Settled(ClaimOutcome),
}

/// The caller's key, or a new one stamped with the present second.
pub fn key_of(headers: &HeaderMap) -> Result<ClaimKey, RequestError> {
    let malformed = |error: juniper_types::ClaimKeyError| {
        RequestError::Malformed(format!("{KEY_HEADER}: {error}"))
    };
    match headers.get(KEY_HEADER) {
        Some(value) => value.to_str().unwrap_or_default().parse().map_err(malformed),
        None => {
            let seconds = SystemTime::now().duration_since(UNIX_EPOCH);
            let random: u128 = rand::random();
            let made_at = seconds.map_or(0, |elapsed| elapsed.as_secs());
            ClaimKey::new(made_at, format!("{random:032x}")).map_err(malformed)
        }
    }
}

/// Hash of everything that makes the request what it is.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> BlockHash {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    BlockHash(hash)
}

impl Claim {
    /// Claims the request through a quorum. An error means that nothing ran
    /// in this attempt, and that nothing will.
    pub async fn take(&self, control: &ControlClient) -> Result<Claimed, RequestError> {
        let request = Request::Claim {
            tenant: self.tenant.clone(),
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            attempt: self.attempt,
        };
        match control.call(request, CLAIM_TIMEOUT).await {
            Ok(Reply::Claim(answer)) => read_answer(answer),
            Err(ControlCallError::Refused(Refusal::Overloaded { retry_after_ms })) => {
                Err(RequestError::Overloaded { retry_after_ms })
            }
            Ok(_) | Err(_) => Err(RequestError::NoQuorum { retry_after_ms: NO_QUORUM_RETRY_MS }),
        }
    }

    /// Keeps the outcome, so that a repeat gets it. Failing is harmless: the
    /// repeat then gets "outcome unknown".
    pub async fn settle(&self, control: &ControlClient, outcome: ClaimOutcome) {
        let request = Request::Settle {
            tenant: self.tenant.clone(),
            key: self.key.clone(),
            attempt: self.attempt,
            outcome,
        };
        if let Err(error) = control.call(request, SETTLE_TIMEOUT).await {
            log::warn!(
                "event=settle_failed tenant={} key={} reason=\"{error}\"",
                self.tenant,
                self.key
            );
        }
    }
}

fn read_answer(answer: ClaimAnswer) -> Result<Claimed, RequestError> {
    match answer {
        ClaimAnswer::Granted => Ok(Claimed::Granted),
        ClaimAnswer::Settled(outcome) => Ok(Claimed::Settled(outcome)),
        ClaimAnswer::OutcomeUnknown => Err(RequestError::OutcomeUnknown),
        ClaimAnswer::KeyReused => Err(RequestError::KeyReused),
        ClaimAnswer::Expired { .. } | ClaimAnswer::TooEarly => Err(RequestError::KeyOutOfRange),
    }
}
