//! Admission limits of tenants and services: rate, concurrency, queue share and
//! fair shares.
//!
//! A router calls [`Admission::admit`] before it chooses an engine,
//! [`Admission::first_token`] when the answer begins and [`Admission::release`]
//! when the request ends; callers use a guard that releases on drop. Requests
//! are admitted or refused at once, never queued here. A refusal states a delay
//! for the retry.
//!
//! A limit of the settings tree holds for the whole fleet, and each router
//! enforces its [`FleetShare`] of it. With even shares the sum over the routers
//! stays within the limit while every router knows the live routers. Until a
//! change of the live routers is known everywhere, up to `known / live` of the
//! limit may be admitted. Each router admits at least one request at a time and
//! a burst of one. With shares by demand, the limit may also be exceeded by the
//! requests whose demand moved within one exchange between the routers.

mod fair;
mod refusal;

use std::collections::HashMap;
use std::time::Duration;

pub use juniper_limits::FleetShare;
use juniper_limits::{RateLimit, TokenBucket};
use juniper_settings::EffectiveSettings;
use juniper_types::{ServiceName, TenantName, Timestamp};

use fair::FairQueue;
pub use refusal::{AdmissionRefusal, LimitKind};

/// Time without traffic after which a service's state is removed. A token bucket
/// is full by then unless its rate is below one request per minute.
const IDLE_SERVICE_RETENTION: Duration = Duration::from_secs(60);

/// Assumed residence time of requests until the first one has ended.
const INITIAL_RESIDENCE: Duration = Duration::from_secs(1);

/// Weight of the newest sample in the mean residence time.
const RESIDENCE_GAIN: f64 = 0.05;

/// Minimum suggested retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Request for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Tenant of the request.
    pub tenant: &'a TenantName,
    /// Requested service.
    pub service: &'a ServiceName,
    /// Effective settings of the service.
    pub settings: &'a EffectiveSettings,
    /// Prompt tokens, as the measure of the request's work in the queue.
    pub tokens: u32,
}

/// Admitted request. Counts against its limits until released.
#[must_use = "the request counts against its limits until the ticket is released"]
#[derive(Debug)]
pub struct Ticket {
    service: ServiceKey,
    tokens: u32,
    admitted_at: Timestamp,
    waiting: bool,
}

type ServiceKey = (TenantName, ServiceName);

#[derive(Clone, Debug)]
struct ServiceState {
    bucket: TokenBucket,
    in_flight: u32,
    waiting_tokens: u64,
    residence_us: f64,
    used_at: Timestamp,
}

impl ServiceState {
    fn new(rate: RateLimit, now: Timestamp) -> Self {
        ServiceState {
            bucket: TokenBucket::full(rate, now),
            in_flight: 0,
            waiting_tokens: 0,
            residence_us: INITIAL_RESIDENCE.as_micros() as f64,
            used_at: now,
        }
    }

    /// Expected time until one of the requests in flight ends.
    fn expected_next_end(&self) -> Duration {
        let micros = self.residence_us / f64::from(self.in_flight.max(1));
        Duration::from_micros(micros as u64).max(MIN_RETRY_AFTER)
    }
}

/// Admission state of one router.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceKey, ServiceState>,
    queue: FairQueue,
}

impl Admission {
    /// Creates the state without traffic and with an unbounded queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum number of prompt tokens that may be queued in this router's
    /// part of the fleet, as computed by [`queue_capacity`].
    pub fn set_queue_capacity(&mut self, tokens: f64) {
        self.queue.set_capacity(tokens);
    }

    /// Admits a request or refuses it. `share` is this router's part of the fleet's
    /// limits.
    ///
    /// # Errors
    /// Returns the first limit that the request would exceed. The state is then
    /// unchanged.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest<'_>,
        share: FleetShare,
        now: Timestamp,
    ) -> Result<Ticket, AdmissionRefusal> {
        let AdmissionRequest { tenant, service, settings, tokens } = *request;
        let key = (tenant.clone(), service.clone());
        let rate = rate_limit(settings, share);
        let state =
            self.services.entry(key.clone()).or_insert_with(|| ServiceState::new(rate, now));
        state.used_at = now;
        if state.in_flight >= share.of_count(settings.concurrency) {
            let retry_after = state.expected_next_end();
            return Err(AdmissionRefusal { limit: LimitKind::Concurrency, retry_after });
        }
        let max_queued_tokens =
            self.queue.capacity() * f64::from(settings.queue_share_percent) / 100.0;
        let waiting = state.waiting_tokens as f64 + f64::from(tokens);
        if state.waiting_tokens > 0 && waiting > max_queued_tokens {
            let retry_after = state.expected_next_end();
            return Err(AdmissionRefusal { limit: LimitKind::QueueShare, retry_after });
        }
        self.queue.check(tenant, settings, tokens, now)?;
        // The rate is checked last, so that requests refused for other reasons don't
        // consume tokens.
        state.bucket.take(1.0, rate, now).map_err(|retry_after| AdmissionRefusal {
            limit: LimitKind::Rate,
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        })?;
        state.in_flight += 1;
        state.waiting_tokens += u64::from(tokens);
        self.queue.add(tenant, settings, tokens, now);
        Ok(Ticket { service: key, tokens, admitted_at: now, waiting: true })
    }

    /// Records that the answer has begun, so the request is no longer queued.
    pub fn first_token(&mut self, ticket: &mut Ticket, now: Timestamp) {
        if !std::mem::replace(&mut ticket.waiting, false) {
            return;
        }
        if let Some(state) = self.services.get_mut(&ticket.service) {
            state.waiting_tokens -= u64::from(ticket.tokens);
        }
        self.queue.remove(&ticket.service.0, ticket.tokens, ticket.admitted_at, now);
    }

    /// Releases an ended request.
    pub fn release(&mut self, mut ticket: Ticket, now: Timestamp) {
        self.first_token(&mut ticket, now);
        if let Some(state) = self.services.get_mut(&ticket.service) {
            state.in_flight -= 1;
            state.used_at = now;
            let residence = now.since(ticket.admitted_at).as_micros() as f64;
            state.residence_us += RESIDENCE_GAIN * (residence - state.residence_us);
        }
    }

    /// Removes the state of idle services. Call this every few seconds.
    pub fn maintain(&mut self, now: Timestamp) {
        self.services.retain(|_, state| {
            state.in_flight > 0 || now.since(state.used_at) < IDLE_SERVICE_RETENTION
        });
        self.queue.maintain(now);
    }

    /// Number of a service's requests in flight through this router.
    pub fn in_flight(&self, tenant: &TenantName, service: &ServiceName) -> u32 {
        self.services.get(&(tenant.clone(), service.clone())).map_or(0, |state| state.in_flight)
    }

    /// Number of services with state.
    pub fn services(&self) -> usize {
        self.services.len()
    }
}

/// This router's part of a service's rate limit, with a burst of at least one
/// request.
fn rate_limit(settings: &EffectiveSettings, share: FleetShare) -> RateLimit {
    RateLimit {
        per_second: share.of_rate(settings.rate_per_second),
        burst: f64::from(share.of_count(settings.burst)).max(1.0),
    }
}

/// Prompt tokens that may be queued in one router's part of the fleet so that
/// the last request still gets its first token within `timeout`.
pub fn queue_capacity(
    engines: usize,
    engine_tokens_per_second: f64,
    timeout: Duration,
    share: FleetShare,
) -> f64 {
    share.of_rate(engines as f64 * engine_tokens_per_second) * timeout.as_secs_f64()
}
