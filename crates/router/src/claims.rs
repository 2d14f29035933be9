//! Claims of at-most-once requests at the control replicas.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::http::HeaderMap;
use juniper_protocol::{ClaimAnswer, ClaimOutcome, Refusal, Reply, Request};
use juniper_types::{BlockHash, ClaimKey, TenantName};

use crate::control_client::{ControlCallError, ControlClient};
use crate::error::RequestError;

/// Header with the idempotency key, in requests and responses.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which recording the outcome of an executed request is retried.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Retry delay suggested to callers when no quorum answers, in milliseconds.
const NO_QUORUM_RETRY_MS: u64 = 2_000;

/// Largest body stored with an outcome, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// Claim for one attempt to run an at-most-once request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: ClaimKey,
    /// Hash of the request.
    pub fingerprint: BlockHash,
    /// Random id of this attempt.
    pub attempt: u64,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request may run now.
    Granted,
    /// The request has already run with this outcome.
    Settled(ClaimOutcome),
}

/// Returns the caller's idempotency key, or a new one with the current time in seconds.
pub fn idempotency_key(headers: &HeaderMap) -> Result<ClaimKey, RequestError> {
    let malformed = |error: juniper_types::ClaimKeyError| {
        RequestError::Malformed(format!("{IDEMPOTENCY_KEY_HEADER}: {error}"))
    };
    match headers.get(IDEMPOTENCY_KEY_HEADER) {
        Some(value) => value.to_str().unwrap_or_default().parse().map_err(malformed),
        None => {
            let seconds = SystemTime::now().duration_since(UNIX_EPOCH);
            let random: u128 = rand::random();
            let made_at = seconds.map_or(0, |elapsed| elapsed.as_secs());
            ClaimKey::new(made_at, format!("{random:032x}")).map_err(malformed)
        }
    }
}

/// Hashes the method, path and body of a request.
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
    /// Claims the request through a quorum.
    ///
    /// # Errors
    /// Fails when the claim isn't granted; nothing has run or will run in this attempt.
    pub async fn acquire(&self, control: &ControlClient) -> Result<ClaimResult, RequestError> {
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

    /// Records the outcome for retries of the request. If this fails, a retry gets
    /// [`RequestError::OutcomeUnknown`].
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

fn read_answer(answer: ClaimAnswer) -> Result<ClaimResult, RequestError> {
    match answer {
        ClaimAnswer::Granted => Ok(ClaimResult::Granted),
        ClaimAnswer::Settled(outcome) => Ok(ClaimResult::Settled(outcome)),
        ClaimAnswer::OutcomeUnknown => Err(RequestError::OutcomeUnknown),
        ClaimAnswer::KeyReused => Err(RequestError::KeyReused),
        ClaimAnswer::Expired { .. } | ClaimAnswer::TooEarly => Err(RequestError::KeyOutOfRange),
    }
}
