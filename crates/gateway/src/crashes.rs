//! Reports evidence of crashes to the crash watch, and checks requests for quarantine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use juniper_protocol::message::LimitCharge;
use juniper_quarantine::{CrashProof, InterruptedParts};
use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};
use tokio::time::timeout;

use crate::body::BodyEnd;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::retry::Progress;

/// Account from which all routers take trials of quarantined parts; never the name of a tenant. There
/// is one for all parts, so that two of them aren't tried at one server at the same time.
const TRIAL_ACCOUNT: &str = "\0trial";

/// Trials of quarantined parts per second, of all routers together: a request begins to be answered
/// within this time.
const TRIALS_PER_SECOND: f64 = 1.0;

/// Timeout for the grant of a trial.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(150);

impl Gateway {
    /// Records that the connection of a request broke before the answer was complete.
    pub(crate) fn record_interrupted(
        &self,
        call: &Call,
        instance: &InstanceId,
        sent_at: Timestamp,
    ) {
        let key = &self.settings.fingerprint_key;
        let parts: Vec<String> =
            call.part_fingerprints(key).iter().map(ToString::to_string).collect();
        log::info!(
            "event=request_cut request={} instance={instance} fingerprint={} parts={}",
            call.id(),
            call.fingerprint(key),
            parts.join(",")
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
        let key = &self.settings.fingerprint_key;
        let view = self.feed.latest();
        let known = view.instances.get(instance.name()).filter(|known| known.id == *instance);
        // An unknown server is departing or has departed, so its end isn't evidence against the
        // request.
        if let Some(known) = known {
            let address = SocketAddr::V4(known.report.address);
            let trial = call.trial.get().copied();
            let prompt = InterruptedParts { parts: call.part_fingerprints(key), trial };
            let fingerprint = call.fingerprint(key);
            self.crashes.record_interrupted_request(
                instance,
                address,
                fingerprint,
                sent_at,
                prompt,
            );
            self.probes_due.notify_one();
        }
    }

    /// Records that the server's address refuses connections.
    pub(crate) fn record_refused(&self, instance: &InstanceId) {
        self.crashes.record_server_crash(instance, CrashProof::Refused);
    }

    /// Records that a server has answered the request completely.
    fn record_completed(&self, call: &Call) {
        let key = &self.settings.fingerprint_key;
        self.crashes.record_completed_request(call.id(), call.fingerprint(key));
        self.crashes.record_completed_parts(call.id(), call.part_fingerprints(key));
    }

    /// Whether the request is quarantined, unless it is granted the trial of a part that is due for
    /// one. A trial is sent once.
    pub(crate) async fn check_quarantine(&self, call: &Call, progress: Progress) -> bool {
        let parts = self.quarantined_parts(call);
        if call.trial.get().is_some() {
            let has_tried = progress.sent > 0 && !parts.is_empty();
            return has_tried || self.is_quarantined(call);
        }
        if let [part] = parts[..]
            && self.crashes.is_trial_due(&part)
            && self.take_trial().await
        {
            log::info!("event=part_trial request={} part={part}", call.id());
            // Fails only if the request has a trial already.
            let _ = call.trial.set(part);
        }
        self.is_quarantined(call)
    }

    /// Whether the request is quarantined and must not be sent to any server.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        let fingerprint_of = || call.fingerprint(&self.settings.fingerprint_key);
        if let Some(fingerprint) = self.crashes.quarantined(fingerprint_of) {
            log::info!("event=quarantined request={} fingerprint={fingerprint}", call.id());
            return true;
        }
        let trial = call.trial.get();
        let parts = self.quarantined_parts(call);
        let refused = parts.iter().find(|part| Some(*part) != trial);
        if let Some(part) = refused {
            self.metrics.quarantined_parts.inc();
            log::info!("event=quarantined request={} part={part}", call.id());
        }
        refused.is_some()
    }

    fn quarantined_parts(&self, call: &Call) -> Vec<RequestFingerprint> {
        self.crashes.quarantined_parts(|| call.part_fingerprints(&self.settings.fingerprint_key))
    }

    /// Takes the permission to try a quarantined part. Without a replica's answer there is none.
    async fn take_trial(&self) -> bool {
        let charge = LimitCharge {
            account: TRIAL_ACCOUNT.to_owned(),
            version: 1,
            per_second: TRIALS_PER_SECOND,
            burst: 1.0,
            units: 1.0,
            is_certain: false,
            reserve: None,
        };
        let answer = timeout(TRIAL_TIMEOUT, self.feed.charge(charge, 0)).await;
        matches!(answer, Ok(Ok(answer)) if answer.retry_after_ms.is_none())
    }
}
