//! State shared by all requests of one router.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use juniper_clock::BootInstant;
use juniper_routing::admission::AdmissionRequest;
use juniper_settings::EffectiveSettings;
use tokio::sync::Semaphore;

use crate::access::Caller;
use crate::backends::BackEnds;
use crate::config::RouterConfig;
use crate::control_plane::ControlPlane;
use crate::crashes::Crashes;
use crate::error::RequestError;
use crate::limits::{Admitted, Limits};
use crate::metrics::Metrics;
use crate::settings_age::SettingsAge;
use crate::subscription::SettingsView;

/// Retry delay suggested to callers when the router is at its limit of requests in flight, in
/// milliseconds.
const FULL_RETRY_MS: u64 = 500;

/// Retry delay suggested to callers when the settings are unavailable, in milliseconds.
const SETTINGS_RETRY_MS: u64 = 1_000;

/// Prompt tokens counted at admission. Counting the prompt's length would refuse prompts that are
/// cached on an engine; the routing decision refuses requests that can't meet their deadline.
const NO_QUEUED_TOKENS: u32 = 0;

/// State shared by all requests.
pub struct RouterState {
    /// Configuration of the process.
    pub config: Arc<RouterConfig>,
    /// Settings, membership and engine state.
    pub plane: ControlPlane,
    /// Addresses of all back ends, and requests in flight at application and preview servers.
    pub back_ends: Arc<BackEnds>,
    /// HTTP client for all back ends.
    pub http: reqwest::Client,
    /// Crash reports and quarantine checks.
    pub crashes: Arc<Crashes>,
    /// Metrics.
    pub metrics: Metrics,
    /// Admission limits of tenants and services.
    pub limits: Arc<Limits>,
    /// Permits for requests in flight.
    pub slots: Arc<Semaphore>,
    /// Set when a graceful shutdown starts: the router reports not ready, but still serves.
    pub stopping: AtomicBool,
    /// Set shortly after `stopping`: new requests are refused.
    pub closed: AtomicBool,
    /// Start time of the process.
    pub started: BootInstant,
}

impl RouterState {
    /// Returns the settings in force.
    pub fn view(&self) -> SettingsView {
        self.plane.settings.borrow().clone()
    }

    /// Returns how long ago a quorum confirmed that the settings in force are the latest.
    pub fn settings_age(&self) -> SettingsAge {
        match self.plane.settings.borrow().confirmed_at {
            Some(confirmed_at) => SettingsAge::Confirmed(confirmed_at.elapsed()),
            None => SettingsAge::Unconfirmed(self.started.elapsed()),
        }
    }

    /// Whether the router is ready for new requests. Requires that the engines and back ends of
    /// the settings in force were applied, which happens in other tasks; earlier requests would
    /// fail with [`RequestError::NoBackEnd`].
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.plane.engines.has_applied_settings()
            && self.back_ends.has_applied_settings()
    }

    /// Counts a new request as in flight.
    ///
    /// # Errors
    /// Fails when the router is stopping or full, or has no settings in force.
    pub fn begin_request(&self) -> Result<InFlight, RequestError> {
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

    /// Applies the rate and concurrency limits of the tenant and service to a request.
    pub fn admit(&self, in_flight: &mut InFlight, caller: &Caller) -> Result<(), RequestError> {
        let question = AdmissionRequest {
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

    /// Refuses a request if the settings are too old, or if its service's policy is to refuse
    /// requests while the router is cut off from the control replicas.
    pub fn check_cut_off(&self, settings: &EffectiveSettings) -> Result<(), RequestError> {
        match self.settings_age().allows(settings) {
            true => Ok(()),
            false => Err(RequestError::SettingsUnavailable { retry_after_ms: SETTINGS_RETRY_MS }),
        }
    }
}

/// A request in flight, counted until dropped. A graceful shutdown waits for all of them.
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
