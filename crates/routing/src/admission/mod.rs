//! Limits of tenants and services: rate, concurrency, queue share, fair shares.
//!
//! A router asks [`Admission::admit`] before it chooses an engine, calls
//! [`Admission::first_token`] when the answer begins and [`Admission::release`]
//! when the request ends in whatever way; a guard that releases on drop makes
//! sure of the last. Nothing waits here: a request is admitted or refused at
//! once, with the time after which it has a chance.
//!
//! A limit of the tree holds for the whole fleet. Each router enforces its
//! [`FleetShare`] of it. With an even share the sum over the routers is never
//! above the limit while every router knows the live routers. Its error: until
//! a change of the live routers is known everywhere, `known / live` of the
//! limit may be admitted, and each router admits at least one request at a
//! time and a burst of one. Shares by demand add the requests whose demand
//! moved within one exchange between the routers.

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

/// Services without traffic for so long are forgotten; a bucket is full by then
/// unless its rate is below one request a minute.
const IDLE_BEFORE_FORGOTTEN: Duration = Duration::from_secs(60);

/// Time that a request is taken to stay until one has ended.
const INITIAL_RESIDENCE: Duration = Duration::from_secs(1);

/// Weight of the newest sample in the mean time that requests stay.
const RESIDENCE_GAIN: f64 = 0.05;

/// Shortest suggested pause.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuestion<'a> {
    /// Who asks.
    pub tenant: &'a TenantName,
    /// For what.
    pub service: &'a ServiceName,
    /// Settings in force for the service.
    pub settings: &'a EffectiveSettings,
    /// Tokens of the prompt: the work that the request brings to the queue.
    pub tokens: u32,
}

/// One admitted request; it counts until it is released.
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

    /// Time until one of the requests in flight should end.
    fn next_end(&self) -> Duration {
        let micros = self.residence_us / f64::from(self.in_flight.max(1));
        Duration::from_micros(micros as u64).max(MIN_RETRY_AFTER)
    }
}

/// The limits of one router.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: HashMap<ServiceKey, ServiceState>,
    queue: FairQueue,
}

impl Admission {
    /// Limits without traffic, and a queue without bounds.
    pub fn new() -> Self {
        Self::default()
    }

    /// Bounds the prompt tokens that may wait for their first token in this
    /// router's part of the fleet; [`queue_capacity`] computes it.
    pub fn set_queue_capacity(&mut self, tokens: f64) {
        self.queue.set_capacity(tokens);
    }

    /// Admits a request or says why not. `share` is this router's part of the
    /// fleet's limits.
    ///
    /// # Errors
    /// The first limit that the request would break. Nothing is counted then.
    pub fn admit(
        &mut self,
        question: &AdmissionQuestion<'_>,
        share: FleetShare,
        now: Timestamp,
    ) -> Result<Ticket, AdmissionRefusal> {
        let AdmissionQuestion { tenant, service, settings, tokens } = *question;
        let key = (tenant.clone(), service.clone());
        let rate = rate_of(settings, share);
        let state =
            self.services.entry(key.clone()).or_insert_with(|| ServiceState::new(rate, now));
        state.used_at = now;
        if state.in_flight >= share.of_count(settings.concurrency) {
            let retry_after = state.next_end();
            return Err(AdmissionRefusal { limit: LimitKind::Concurrency, retry_after });
        }
        let most_waiting = self.queue.capacity() * f64::from(settings.queue_share_percent) / 100.0;
        let waiting = state.waiting_tokens as f64 + f64::from(tokens);
        if state.waiting_tokens > 0 && waiting > most_waiting {
            let retry_after = state.next_end();
            return Err(AdmissionRefusal { limit: LimitKind::QueueShare, retry_after });
        }
        self.queue.check(tenant, settings, tokens, now)?;
        // The rate comes last, so that a request refused otherwise uses none of it.
        state.bucket.take(1.0, rate, now).map_err(|retry_after| AdmissionRefusal {
            limit: LimitKind::Rate,
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        })?;
        state.in_flight += 1;
        state.waiting_tokens += u64::from(tokens);
        self.queue.add(tenant, settings, tokens, now);
        Ok(Ticket { service: key, tokens, admitted_at: now, waiting: true })
    }

    /// Notes that the answer has begun: the request no longer waits.
    pub fn first_token(&mut self, ticket: &mut Ticket, now: Timestamp) {
        if !std::mem::replace(&mut ticket.waiting, false) {
            return;
        }
        if let Some(state) = self.services.get_mut(&ticket.service) {
            state.waiting_tokens -= u64::from(ticket.tokens);
        }
        self.queue.remove(&ticket.service.0, ticket.tokens, ticket.admitted_at, now);
    }

    /// Ends a request.
    pub fn release(&mut self, mut ticket: Ticket, now: Timestamp) {
        self.first_token(&mut ticket, now);
        if let Some(state) = self.services.get_mut(&ticket.service) {
            state.in_flight -= 1;
            state.used_at = now;
            let residence = now.since(ticket.admitted_at).as_micros() as f64;
            state.residence_us += RESIDENCE_GAIN * (residence - state.residence_us);
        }
    }

    /// Forgets services without traffic; to be called every few seconds.
    pub fn maintain(&mut self, now: Timestamp) {
        self.services.retain(|_, state| {
            state.in_flight > 0 || now.since(state.used_at) < IDLE_BEFORE_FORGOTTEN
        });
        self.queue.maintain(now);
    }

    /// Requests of a service in flight through this router.
    pub fn in_flight(&self, tenant: &TenantName, service: &ServiceName) -> u32 {
        self.services.get(&(tenant.clone(), service.clone())).map_or(0, |state| state.in_flight)
    }

    /// Services remembered.
    pub fn services(&self) -> usize {
        self.services.len()
    }
}

/// This router's part of a service's rate. There is room for one request at least.
fn rate_of(settings: &EffectiveSettings, share: FleetShare) -> RateLimit {
    RateLimit {
        per_second: share.of_rate(settings.rate_per_second),
        burst: f64::from(share.of_count(settings.burst)).max(1.0),
    }
}

/// Prompt tokens that may wait in one router's part of the fleet so that the
/// last of them still gets its first token within `patience`.
pub fn queue_capacity(
    engines: usize,
    engine_tokens_per_second: f64,
    patience: Duration,
    share: FleetShare,
) -> f64 {
    share.of_rate(engines as f64 * engine_tokens_per_second) * patience.as_secs_f64()
}
