//! Requests that end the servers that run them, as the gateway sees them.

use std::net::SocketAddr;

use juniper_quarantine::CrashProof;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::call::Call;
use crate::gateway::Gateway;

impl Gateway {
    /// The connection of a request broke before the server's answer was whole.
    pub(crate) fn note_cut(&self, call: &Call, instance: &InstanceId, sent_at: Timestamp) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        log::info!(
            "event=request_cut request={} instance={instance} fingerprint={fingerprint}",
            call.id()
        );
        let view = self.feed.latest();
        let known = view.instances.get(instance.name()).filter(|known| known.id == *instance);
        // One that isn't known is leaving or has left: its end says nothing of the request.
        if let Some(known) = known {
            let address = SocketAddr::V4(known.report.address);
            self.crashes.record_interrupted_request(instance, address, fingerprint, sent_at);
        }
    }

    /// Nobody listens at the server's address any more.
    pub(crate) fn note_refused(&self, instance: &InstanceId) {
        self.crashes.record_server_crash(instance, CrashProof::Refused);
    }

    /// A server has answered the request whole.
    pub(crate) fn note_answered(&self, call: &Call) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        self.crashes.record_completed_request(call.id(), fingerprint);
    }

    /// Whether the request must be sent to no server.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        let name = || call.fingerprint(&self.settings.fingerprint_key);
        let quarantined = self.crashes.quarantined(name);
        if let Some(fingerprint) = quarantined {
            log::info!("event=quarantined request={} fingerprint={fingerprint}", call.id());
        }
        quarantined.is_some()
    }
}
