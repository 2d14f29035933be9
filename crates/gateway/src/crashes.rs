//! Reports evidence of crashes to the crash watch and checks requests for quarantine.

use std::net::SocketAddr;
use std::sync::Arc;

use juniper_quarantine::CrashProof;
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::attempt::BodyEnd;
use crate::call::Call;
use crate::gateway::Gateway;

impl Gateway {
    /// Records that the connection of a request broke before the answer was complete.
    pub(crate) fn record_interrupted(
        &self,
        call: &Call,
        instance: &InstanceId,
        sent_at: Timestamp,
    ) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        log::info!(
            "event=request_cut request={} instance={instance} fingerprint={fingerprint}",
            call.id()
        );
        self.track_interrupted(call, instance, sent_at);
    }

    /// Records that the answer to a request has ended. An answer that ends with its connection is
    /// complete unless the server has crashed at that moment.
    pub(crate) fn record_ended(
        self: &Arc<Self>,
        call: &Call,
        instance: &InstanceId,
        sent_at: Timestamp,
        end: BodyEnd,
    ) {
        match end {
            BodyEnd::Marked => self.record_completed(call),
            BodyEnd::ConnectionClosed => {
                self.track_interrupted(call, instance, sent_at);
                tokio::spawn(
                    Arc::clone(self).replace_connection(call.service.clone(), instance.clone()),
                );
            }
        }
    }

    /// Opens a connection in place of one that ended with its answer, which also shows at once whether
    /// the server has crashed.
    async fn replace_connection(self: Arc<Self>, service: String, instance: InstanceId) {
        let view = self.feed.latest();
        let known = view.instances.get(instance.name()).filter(|known| known.id == instance);
        let Some(address) = known.map(|known| known.report.address) else { return };
        let limit = self.connection_limit(&view, &service);
        // A failure is recorded where the connection is opened.
        if let Ok(connection) = self.connect_server(&instance, address, limit).await {
            self.pool.put_back(&instance, connection, None);
        }
    }

    /// Watches whether the server of the request turns out to have crashed.
    fn track_interrupted(&self, call: &Call, instance: &InstanceId, sent_at: Timestamp) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        let view = self.feed.latest();
        let known = view.instances.get(instance.name()).filter(|known| known.id == *instance);
        // An unknown server is departing or has departed, so its end isn't evidence against the
        // request.
        if let Some(known) = known {
            let address = SocketAddr::V4(known.report.address);
            self.crashes.record_interrupted_request(instance, address, fingerprint, sent_at);
            self.probes_due.notify_one();
        }
    }

    /// Records that the server's address refuses connections.
    pub(crate) fn record_refused(&self, instance: &InstanceId) {
        self.crashes.record_server_crash(instance, CrashProof::Refused);
    }

    /// Records that a server has answered the request completely.
    fn record_completed(&self, call: &Call) {
        let fingerprint = call.fingerprint(&self.settings.fingerprint_key);
        self.crashes.record_completed_request(call.id(), fingerprint);
    }

    /// Whether the request is quarantined and must not be sent to any server.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        let fingerprint_of = || call.fingerprint(&self.settings.fingerprint_key);
        let quarantined = self.crashes.quarantined(fingerprint_of);
        if let Some(fingerprint) = quarantined {
            log::info!("event=quarantined request={} fingerprint={fingerprint}", call.id());
        }
        quarantined.is_some()
    }
}
