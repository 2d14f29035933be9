//! Charges retries against the retry budget, and reports its use.

use std::time::Duration;

use juniper_clock::BootInstant;

use crate::call::Call;
use crate::gateway::Gateway;

/// Time for which a retry may be sent after it was granted. The budget bounds retries at servers
/// only if they arrive soon; a process or machine may stand still in between.
const MAX_GRANT_AGE: Duration = Duration::from_millis(200);

/// Longest time from the head of a request until it is served for which the request earns retries. The
/// caller may have sent a request that took longer, such as for its body, in an earlier window.
const MAX_EARNING_DELAY: Duration = Duration::from_millis(500);

/// A retry that the budget has granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedRetry {
    granted_at: BootInstant,
}

impl GrantedRetry {
    /// Whether the retry has to be taken from the budget again before it is sent.
    pub(crate) fn has_expired(self) -> bool {
        self.granted_at.elapsed() > MAX_GRANT_AGE
    }
}

impl Gateway {
    /// Counts a caller's request towards the retry budget of its service.
    pub(crate) fn record_request(&self, call: &Call) {
        if call.arrived.elapsed() <= MAX_EARNING_DELAY {
            let now = self.now_with_suspensions();
            self.retry_budget().record_request(&call.service, now);
        }
    }

    /// Takes one retry of the request from its service's budget. `None` if it may not be sent.
    pub(crate) fn take_retry(&self, call: &Call) -> Option<GrantedRetry> {
        let now = self.now_with_suspensions();
        let mut budget = self.retry_budget();
        budget.set_routers(self.feed.sharing_router_count(), now);
        let is_granted = budget.take_retry(&call.service, now, rand::random());
        drop(budget);
        self.metrics.count_retry(&call.service, is_granted);
        is_granted.then(|| GrantedRetry { granted_at: BootInstant::now() })
    }

    /// Logs the use of the retry budget of each service that has retried within the window.
    pub(crate) fn log_retry_budgets(&self) {
        let (routers, now) = (self.feed.sharing_router_count(), self.now_with_suspensions());
        let mut budget = self.retry_budget();
        budget.set_routers(routers, now);
        let used = budget.usage(now);
        drop(budget);
        for usage in used {
            log::info!(
                "event=retry_budget service={} requests={} granted={} refused={} \
                 available={:.1} routers={} counted_ms={} limited_ms={}",
                usage.service,
                usage.requests,
                usage.granted,
                usage.refused,
                usage.available,
                routers.unwrap_or(0),
                now.as_millis(),
                usage.limited_for.as_millis()
            );
        }
    }
}
