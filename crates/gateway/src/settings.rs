//! Settings of a gateway.

use std::time::Duration;

use juniper_placement::RetrySettings;
use juniper_types::FingerprintKey;

/// Longest time that a request is expected to wait in a server's queue before it begins. 2.2 s
/// were seen on gltg-boards-large, while a third of the servers was down.
const LONGEST_QUEUE: Duration = Duration::from_millis(2_500);

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this node, for logs.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Bounds on repeats.
    pub retry: RetrySettings,
    /// Time after which a key that was taken away must not be honoured any more,
    /// also where the control replicas can't be reached.
    pub revoke_within: Duration,
    /// Time after which a request must not begin on weights older than those named.
    pub renew_within: Duration,
    /// Key under which the contents of requests are named; the same at all routers.
    pub fingerprint_key: FingerprintKey,
    /// Time that a planned stop may take.
    pub grace: Duration,
}

impl GatewaySettings {
    /// Age of what is known of the configuration beyond which keys aren't
    /// honoured. It leaves time for a request to reach its server.
    pub(crate) fn key_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.85)
    }

    /// Age beyond which the node asks to be given no new connections. It is
    /// noticed before keys are refused.
    pub(crate) fn ready_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.6)
    }

    /// Age beyond which an unknown route or key isn't taken for certain.
    pub(crate) fn certain_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.4)
    }

    /// Time after the naming of weights from which older ones aren't used. What is sent before
    /// may wait in its server's queue and must begin in time even so.
    pub fn strict_weights_after(&self) -> Duration {
        self.renew_within.saturating_sub(LONGEST_QUEUE).max(self.renew_within / 2)
    }
}
