//! Settings of a gateway.

use std::time::Duration;

use juniper_memory_budget::MachineLimits;
use juniper_placement::RetrySettings;
use juniper_types::FingerprintKey;

/// Longest time that a request is expected to wait in a server's queue: 2.2 s occurred with a third
/// of the servers down.
const MAX_EXPECTED_QUEUE_TIME: Duration = Duration::from_millis(2_500);

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this router, for logs.
    pub node: String,
    /// Zone of this router.
    pub zone: String,
    /// Limits on retries.
    pub retry: RetrySettings,
    /// Time after which a revoked key must not be accepted any more, also while the control
    /// replicas are unreachable.
    pub revoke_within: Duration,
    /// Time after the announcement of new weights after which no request may start on older ones.
    pub renew_within: Duration,
    /// Key of the fingerprints of requests' contents; the same at all routers.
    pub fingerprint_key: FingerprintKey,
    /// Grace period of a planned shutdown.
    pub grace_period: Duration,
    /// Capacity of each direction of the machine's link, in bytes per second, if it is known.
    pub link_bytes_per_second: Option<f64>,
    /// Memory and descriptors of the process.
    pub machine: MachineLimits,
}

impl GatewaySettings {
    /// Maximum age of the configuration for which keys are accepted. Leaves time for a request to
    /// reach its server.
    pub(crate) fn key_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.85)
    }

    /// Maximum age of the configuration for which readiness checks succeed. Shorter than that for
    /// keys, so that callers move elsewhere before keys are refused.
    pub(crate) fn ready_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.6)
    }

    /// Maximum age of the configuration for which an unknown route or key is rejected as unknown.
    pub(crate) fn rejection_age_limit(&self) -> Duration {
        self.revoke_within.mul_f64(0.4)
    }

    /// Time after the announcement of new weights from which requests are sent only to servers that
    /// have them. Earlier requests may queue at their server, but start within `renew_within`.
    pub fn strict_weights_after(&self) -> Duration {
        self.renew_within.saturating_sub(MAX_EXPECTED_QUEUE_TIME).max(self.renew_within / 2)
    }
}
