//! What servers ask of this router in their answers: a pause, or nothing new since they leave.

use juniper_limits::{ServerNotice, StatedDeparture, StatedPause};
use juniper_registry::InstanceId;

use crate::dialect::AnswerFacts;
use crate::gateway::Gateway;

impl Gateway {
    /// Notes what an answer of `instance` asks for. An answer too many, to another request, tells it
    /// of the server as well; one of another server doesn't.
    pub(crate) fn note_notice(&self, instance: &InstanceId, facts: &AnswerFacts, request: &str) {
        if facts.is_other_server {
            return;
        }
        let ServerNotice { pause, departure } = facts.notice;
        match pause {
            StatedPause::Nothing => {}
            StatedPause::For(pause) => {
                self.metrics.noticed("pause", true);
                let is_longer = self.placement().asked_to_pause(instance, pause, self.now());
                log::info!(
                    "event=server_pause_heard request={request} instance={instance} pause_ms={} \
                     is_longer={is_longer}",
                    pause.as_millis()
                );
            }
            StatedPause::Unreadable(fault) => {
                self.metrics.noticed("pause", false);
                log::warn!(
                    "event=server_pause_unreadable request={request} instance={instance} \
                     reason=\"{fault}\""
                );
            }
        }
        match departure {
            StatedDeparture::Nothing => {}
            StatedDeparture::Leaving => {
                self.metrics.noticed("departure", true);
                // All its answers say so.
                if self.placement().heard_leaving(instance, self.now()) {
                    log::info!("event=server_leaving_heard request={request} instance={instance}");
                }
            }
            StatedDeparture::Unreadable => {
                self.metrics.noticed("departure", false);
                log::warn!("event=server_leaving_unreadable request={request} instance={instance}");
            }
        }
    }
}
