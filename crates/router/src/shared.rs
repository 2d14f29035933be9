//! What all requests of one router share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use juniper_clock::BootInstant;
use juniper_routing::admission::AdmissionQuestion;
use juniper_settings::{EffectiveSettings, PartitionPolicy};
use tokio::sync::Semaphore;
use tokio::time::Duration;

use crate::access::Caller;
use crate::backends::BackEnds;
use crate::config::RouterConfig;
use crate::control_plane::ControlPlane;
use crate::crashes::Crashes;
use crate::error::RequestError;
use crate::limits::{Admitted, Limits};
use crate::metrics::Metrics;
use crate::subscription::SettingsView;

/// Without a quorum's confirmation for this long a router counts as cut off.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// Suggested pause when the router itself is full, in milliseconds.
const FULL_RETRY_MS: u64 = 500;

/// Suggested pause when the settings are unavailable, in milliseconds.
const SETTINGS_RETRY_MS: u64 = 1_000;

/// Tokens that a request brings to the queue. The prompt's length would count
/// what engines have cached as work, and refuse requests that cost nothing; the
/// engine's choice refuses what can't meet its deadline.
const NO_QUEUED_TOKENS: u32 = 0;

/// Shared by all requests.
pub struct Shared {
    /// Settings of the process.
    pub config: Arc<RouterConfig>,
    /// Settings, membership and shared engine knowledge.
    pub plane: ControlPlane,
    /// Addresses of all back ends, and the load of servers.
    pub back_ends: Arc<BackEnds>,
    /// Client for all back ends.
    pub http: reqwest::Client,
    /// Requests that end back ends.
    pub crashes: Arc<Crashes>,
    /// Metrics.
    pub metrics: Metrics,
    /// Limits of tenants and services.
    pub limits: Arc<Limits>,
    /// Bounds the requests in flight.
    pub slots: Arc<Semaphore>,
    /// Set when a planned stop begins: the router says that it isn't ready, but still serves.
    pub stopping: AtomicBool,
    /// Set a little later: new requests are refused.
    pub closed: AtomicBool,
    /// When the process started.
    pub started: BootInstant,
}

impl Shared {
    /// The settings in force now.
    pub fn view(&self) -> SettingsView {
        self.plane.settings.borrow().clone()
    }

    /// Time since a quorum last confirmed that the settings in force are the latest.
    pub fn settings_age(&self) -> Duration {
        let confirmed = self.plane.settings.borrow().confirmed_at.unwrap_or(self.started);
        confirmed.elapsed()
    }

    /// Whether the router is taking new requests. Settings in force are not enough:
    /// other tasks take the engines and addresses over from them, and a request that
    /// came first would be refused for want of a back end.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.plane.engines.has_followed()
            && self.back_ends.has_followed()
    }

    /// Takes a place among the requests in flight, or says at once why not.
    pub fn enter(&self) -> Result<InFlight, RequestError> {
        if self.closed.load(Ordering::Acquire) {
            return Err(RequestError::Stopping);
        }
        if self.plane.settings.borrow().in_force.revision.0 == 0 {
            return Err(RequestError::SettingsUnavailable { retry_after_ms: SETTINGS_RETRY_MS });
        }
        let permit = Arc::clone(&self.slots)
            .try_acquire_owned()
            .map_err(|_| RequestError::Overloaded { retry_after_ms: FULL_RETRY_MS })?;
        self.metrics.in_flight.inc();
        Ok(InFlight { gauge: self.metrics.in_flight.clone(), _admitted: None, _permit: permit })
    }

    /// Holds a request to the rate and concurrency of its service.
    pub fn admit(&self, in_flight: &mut InFlight, caller: &Caller) -> Result<(), RequestError> {
        let question = AdmissionQuestion {
            tenant: &caller.home.tenant,
            service: &caller.service,
            settings: &caller.settings,
            tokens: NO_QUEUED_TOKENS,
        };
        let others = self.plane.peers.borrow().routers.len();
        let routers = u32::try_from(others + 1).unwrap_or(u32::MAX);
        in_flight._admitted = Some(self.limits.admit(&question, routers)?);
        Ok(())
    }

    /// Applies the tree's rule for traffic while cut off from the control replicas.
    pub fn check_cut_off(&self, settings: &EffectiveSettings) -> Result<(), RequestError> {
        let age = self.settings_age();
        let too_old = age.as_secs() > settings.max_settings_age_seconds;
        let refuses = settings.cut_off == PartitionPolicy::Refuse && age > CUT_OFF_AFTER;
        if too_old || refuses {
            return Err(RequestError::SettingsUnavailable { retry_after_ms: SETTINGS_RETRY_MS });
        }
        Ok(())
    }
}

/// A request in flight; a planned stop waits until all are dropped.
pub struct InFlight {
    gauge: prometheus::IntGauge,
    _admitted: Option<Admitted>,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
