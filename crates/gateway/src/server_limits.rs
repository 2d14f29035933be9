//! Limits that servers state for all routers together.

use juniper_limits::StatedLimit;
use juniper_registry::InstanceId;

use crate::dialect::AnswerFacts;
use crate::gateway::Gateway;

impl Gateway {
    /// Notes what the answer of `instance` to `request` states. An answer of another server, or to
    /// another request, tells nothing of this one now.
    pub(crate) fn note_stated_limit(
        &self,
        instance: &InstanceId,
        facts: &AnswerFacts,
        request: &str,
    ) {
        if facts.is_other_server || !facts.is_own {
            return;
        }
        match facts.stated_limit {
            StatedLimit::Nothing => {}
            StatedLimit::Rate(rate) => {
                self.metrics.stated_limits.with_label_values(&["yes"]).inc();
                let per_second = rate.per_second();
                log::info!(
                    "event=server_limit_heard request={request} instance={instance} \
                     per_second={per_second}"
                );
            }
            StatedLimit::Unreadable(fault) => {
                self.metrics.stated_limits.with_label_values(&["no"]).inc();
                log::warn!(
                    "event=server_limit_unreadable request={request} instance={instance} \
                     reason=\"{fault}\""
                );
            }
        }
    }
}
