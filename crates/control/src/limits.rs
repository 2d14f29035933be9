//! Limits that this replica owns, for all routers.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use juniper_limits::{ChargeRequest, LimitOwner, RateLimit, Verdict};
use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use juniper_types::Timestamp;

/// Age of the latest confirmation by a quorum beyond which a replica owns nothing: it may be cut
/// off, and routers that don't reach it ask another one 2.1 s after its last word. Replicas ask for
/// confirmations each 0.5 s, so an election of up to two seconds takes no owner away.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// The limits that a replica owns.
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

    /// Counts a request.
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
                ChargeAnswer { refused_for_ms: None, fleet_per_second }
            }
            Verdict::Refused { retry_after, fleet_per_second } => {
                let pause_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                ChargeAnswer { refused_for_ms: Some(pause_ms), fleet_per_second }
            }
        }
    }

    /// Takes back what was counted for a request that no server has run.
    pub fn give_back(&self, account: &str, units: f64) {
        let mut owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner);
        owner.refund(account, units, self.now());
    }
}
