//! Charges retries against the retry budget, and reports its use.

use juniper_placement::RetryUsage;

use crate::call::Call;
use crate::gateway::Gateway;

impl Gateway {
    /// Takes one retry of the request from its service's budget. Returns whether it may be sent.
    pub(crate) fn take_retry(&self, call: &Call) -> bool {
        let routers = self.feed.router_count();
        let is_granted = self.retry_budget().take_retry(&call.service, routers, self.now());
        self.metrics.count_retry(&call.service, is_granted);
        is_granted
    }

    /// Logs the use of the retry budget of each service that has retried within the window.
    pub(crate) fn log_retry_budgets(&self) {
        let (routers, now) = (self.feed.router_count(), self.now());
        let used = self.retry_budget().usage(routers, now);
        for RetryUsage { service, requests, granted, refused, available } in used {
            log::info!(
                "event=retry_budget service={service} requests={requests} granted={granted} \
                 refused={refused} available={available:.1} routers={routers} counted_ms={}",
                now.as_millis()
            );
        }
    }
}
