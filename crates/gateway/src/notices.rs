//! What servers ask of this router in their answers: a pause, or nothing new since they leave.

use juniper_limits::{ServerNotice, StatedDeparture, StatedPause};
use juniper_protocol::message::ServerNoticeNews;
use juniper_registry::InstanceId;

use crate::call::Call;
use crate::dialect::AnswerFacts;
use crate::gateway::Gateway;

/// Servers that one line names at most.
const MAX_SHOWN: usize = 8;

impl Gateway {
    /// Notes what an answer of `instance` asks for. An answer too many, to another request, tells it
    /// of the server as well; one of another server doesn't.
    pub(crate) fn note_notice(&self, instance: &InstanceId, facts: &AnswerFacts, request: &str) {
        if facts.is_other_server {
            return;
        }
        let ServerNotice { pause, departure } = facts.notice;
        let pause_ms = self.note_pause(instance, pause, request);
        let is_leaving = self.note_departure(instance, departure, request);
        if pause_ms > 0 || is_leaving {
            let (instance, started) = (instance.name().clone(), instance.started());
            self.news.push_notice(ServerNoticeNews { instance, started, pause_ms, is_leaving });
        }
    }

    /// Returns the milliseconds that the others are to be told of.
    fn note_pause(&self, instance: &InstanceId, pause: StatedPause, request: &str) -> u64 {
        match pause {
            StatedPause::Nothing => 0,
            StatedPause::For(pause) => {
                self.metrics.noticed("pause", true);
                let is_longer = self.placement().observe_backoff(instance, pause, self.now());
                let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                log::info!(
                    "event=server_pause_heard request={request} instance={instance} \
                     pause_ms={pause_ms} is_longer={is_longer}"
                );
                if is_longer { pause_ms } else { 0 }
            }
            StatedPause::Unreadable(fault) => {
                self.metrics.noticed("pause", false);
                log::warn!(
                    "event=server_pause_unreadable request={request} instance={instance} \
                     reason=\"{fault}\""
                );
                0
            }
        }
    }

    /// Returns whether the others are to be told. All answers of a server that leaves say so.
    fn note_departure(
        &self,
        instance: &InstanceId,
        departure: StatedDeparture,
        request: &str,
    ) -> bool {
        match departure {
            StatedDeparture::Nothing => false,
            StatedDeparture::Leaving => {
                self.metrics.noticed("departure", true);
                let is_new = self.placement().record_departure(instance, self.now());
                if is_new {
                    log::info!("event=server_leaving_heard request={request} instance={instance}");
                }
                is_new
            }
            StatedDeparture::Unreadable => {
                self.metrics.noticed("departure", false);
                log::warn!("event=server_leaving_unreadable request={request} instance={instance}");
                false
            }
        }
    }

    /// Logs which servers the choices for a request pass over, and why.
    pub(crate) fn log_passed_over(&self, call: &Call) {
        let over = self.placement().excluded_servers(&call.service, self.now());
        if over.is_empty() {
            return;
        }
        let shown = over.iter().take(MAX_SHOWN);
        let shown: Vec<String> =
            shown.map(|(instance, reason)| format!("{instance}:{}", reason.as_str())).collect();
        log::info!(
            "event=servers_passed_over request={} count={} servers={}",
            call.id(),
            over.len(),
            shown.join(",")
        );
    }
}
