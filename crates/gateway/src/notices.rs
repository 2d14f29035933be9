//! Notices that servers give this router in their answers: backoffs and departures.

use juniper_limits::{DepartureNotice, RequestedBackoff, ServerNotice};
use juniper_protocol::message::ServerNoticeUpdate;
use juniper_registry::InstanceId;
use juniper_types::NodeId;

use crate::call::Call;
use crate::dialect::AnswerInfo;
use crate::gateway::Gateway;

/// Maximum number of servers named in one log line.
const MAX_LOGGED_SERVERS: usize = 8;

impl Gateway {
    /// Records the notices in an answer of `instance`, also if the answer belongs to another
    /// request, but not if it is of another server. The server means the router that connected to it,
    /// which is `tunnel_peer` if the answer came through a tunnel.
    pub(crate) fn observe_notice(
        &self,
        instance: &InstanceId,
        info: &AnswerInfo,
        tunnel_peer: Option<NodeId>,
        request: &str,
    ) {
        if info.is_wrong_server {
            return;
        }
        let ServerNotice { backoff, departure } = info.notice;
        let backoff_ms = self.observe_backoff(instance, backoff, request);
        let is_departing = self.observe_departure(instance, departure, request);
        if backoff_ms > 0 || is_departing {
            let (instance, started) = (instance.name().clone(), instance.started());
            self.updates.push_notice(ServerNoticeUpdate {
                instance,
                started,
                backoff_ms,
                is_departing,
                through: tunnel_peer,
            });
        }
    }

    /// Returns the backoff to publish, in milliseconds; zero for none.
    fn observe_backoff(
        &self,
        instance: &InstanceId,
        pause: RequestedBackoff,
        request: &str,
    ) -> u64 {
        match pause {
            RequestedBackoff::Nothing => 0,
            RequestedBackoff::For(pause) => {
                self.metrics.count_notice("pause", true);
                let is_longer = self.placement().observe_backoff(instance, pause, self.now());
                let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                log::info!(
                    "event=server_pause_heard request={request} instance={instance} \
                     pause_ms={pause_ms} is_longer={is_longer}"
                );
                if is_longer { pause_ms } else { 0 }
            }
            RequestedBackoff::Invalid(error) => {
                self.metrics.count_notice("pause", false);
                log::warn!(
                    "event=server_pause_unreadable request={request} instance={instance} \
                     reason=\"{error}\""
                );
                0
            }
        }
    }

    /// Returns whether to publish the departure. All answers of a departing server announce it, but
    /// only the first is published.
    fn observe_departure(
        &self,
        instance: &InstanceId,
        departure: DepartureNotice,
        request: &str,
    ) -> bool {
        match departure {
            DepartureNotice::Nothing => false,
            DepartureNotice::Departing => {
                self.metrics.count_notice("departure", true);
                let is_new = self.placement().record_departure(instance, self.now());
                if is_new {
                    log::info!("event=server_leaving_heard request={request} instance={instance}");
                }
                is_new
            }
            DepartureNotice::Invalid => {
                self.metrics.count_notice("departure", false);
                log::warn!("event=server_leaving_unreadable request={request} instance={instance}");
                false
            }
        }
    }

    /// Logs which servers are excluded from the choice for a request, and why.
    pub(crate) fn log_excluded_servers(&self, call: &Call) {
        let excluded = self.placement().excluded_servers(&call.service, self.now());
        if excluded.is_empty() {
            return;
        }
        let shown = excluded.iter().take(MAX_LOGGED_SERVERS);
        let shown: Vec<String> =
            shown.map(|(instance, reason)| format!("{instance}:{}", reason.as_str())).collect();
        log::info!(
            "event=servers_passed_over request={} count={} servers={}",
            call.id(),
            excluded.len(),
            shown.join(",")
        );
    }
}
