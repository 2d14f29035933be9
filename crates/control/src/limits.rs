//! Rate limits owned by this replica on behalf of all routers.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use juniper_limits::{ChargeRequest, LimitOwner, RateLimit, Verdict};
use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use juniper_types::Timestamp;

/// Maximum age of the latest quorum confirmation for a replica to own limits. Beyond that it may be
/// partitioned from routers, which switch to another owner after 2.1 s of silence. Confirmations
/// are requested every 0.5 s, so ownership survives elections of up to 2 s.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// Limits owned by a replica.
pub struct OwnedLimits {
    owner: Mutex<LimitOwner>,
    started: Instant,
}

impl Default for OwnedLimits {
    fn default() -> Self {
        OwnedLimits { owner: Mutex::default(), started: Instant::now() }
    }
}

impl OwnedLimits {
    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Charges a request against its limit.
    pub fn charge(&self, charge: &LimitCharge) -> ChargeAnswer {
        let request = ChargeRequest {
            account: &charge.account,
            limit: RateLimit { per_second: charge.per_second, burst: charge.burst },
            version: charge.version,
            units: charge.units,
            is_unconditional: charge.is_certain,
            reserve: charge.reserve.unwrap_or(0.0),
        };
        let mut owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        match owner.charge(&request, self.now(), rand::random()) {
            Verdict::Admitted { fleet_per_second } => {
                ChargeAnswer { retry_after_ms: None, fleet_per_second }
            }
            Verdict::Refused { retry_after, fleet_per_second } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                ChargeAnswer { retry_after_ms: Some(retry_after_ms), fleet_per_second }
            }
        }
    }

    /// Refunds the units of a charged request that no server executed.
    pub fn refund(&self, account: &str, units: f64) {
        let mut owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        owner.refund(account, units, self.now());
    }
}
