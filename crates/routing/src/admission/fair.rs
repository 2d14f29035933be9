//! Fair sharing of one router's queue among tenants.
//!
//! Below the fill level [`CONTENDED_SHARE`], any tenant may add requests. Above
//! it, a tenant may add requests only up to its weighted fair share among the
//! recently active tenants, so that a large tenant can't starve a small one.

use std::collections::HashMap;
use std::time::Duration;

use juniper_settings::EffectiveSettings;
use juniper_types::{TenantName, Timestamp};

use super::MIN_RETRY_AFTER;
use super::refusal::{AdmissionRefusal, LimitKind};

/// Fill level of the queue above which tenants are held to their fair shares.
const CONTENDED_SHARE: f64 = 0.5;

/// Share of the queue available to the lowest priority. The share grows linearly
/// to the whole queue for the highest priority.
const LOWEST_PRIORITY_SHARE: f64 = 0.7;

/// Highest priority in the settings.
const HIGHEST_PRIORITY: f64 = 9.0;

/// Time after its last request during which a tenant counts as active.
const ACTIVITY_WINDOW: Duration = Duration::from_secs(2);

/// Weight of the newest sample in the mean queueing time.
const WAIT_GAIN: f64 = 0.05;

#[derive(Clone, Debug)]
struct TenantQueue {
    waiting_tokens: u64,
    weight: u32,
    active_at: Timestamp,
}

impl TenantQueue {
    fn is_active(&self, now: Timestamp) -> bool {
        self.waiting_tokens > 0 || now.since(self.active_at) < ACTIVITY_WINDOW
    }
}

#[derive(Clone, Debug)]
pub(super) struct FairQueue {
    capacity: f64,
    waiting_tokens: u64,
    tenants: HashMap<TenantName, TenantQueue>,
    /// Running mean of the time from admission to first token, in microseconds.
    mean_wait_us: f64,
}

impl Default for FairQueue {
    fn default() -> Self {
        FairQueue {
            capacity: f64::INFINITY,
            waiting_tokens: 0,
            tenants: HashMap::new(),
            mean_wait_us: MIN_RETRY_AFTER.as_micros() as f64,
        }
    }
}

impl FairQueue {
    pub(super) fn set_capacity(&mut self, tokens: f64) {
        self.capacity = tokens;
    }

    pub(super) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Checks whether `tenant` may add `tokens` to the queue.
    pub(super) fn check(
        &self,
        tenant: &TenantName,
        settings: &EffectiveSettings,
        tokens: u32,
        now: Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        // An empty queue accepts a request of any length.
        if self.waiting_tokens == 0 {
            return Ok(());
        }
        let filled = self.waiting_tokens as f64 + f64::from(tokens);
        let own = self.tenants.get(tenant).map_or(0, |queue| queue.waiting_tokens) as f64;
        let fair = self.fair_share(tenant, settings.share_weight, now);
        if filled > CONTENDED_SHARE * self.capacity && own > 0.0 && own + f64::from(tokens) > fair {
            let excess_tokens = own + f64::from(tokens) - fair;
            return Err(self.refusal(LimitKind::FairShare, excess_tokens, own));
        }
        let priority = f64::from(settings.priority).min(HIGHEST_PRIORITY) / HIGHEST_PRIORITY;
        let priority_share = LOWEST_PRIORITY_SHARE + (1.0 - LOWEST_PRIORITY_SHARE) * priority;
        if filled > priority_share * self.capacity {
            let excess_tokens = filled - priority_share * self.capacity;
            return Err(self.refusal(
                LimitKind::Priority,
                excess_tokens,
                self.waiting_tokens as f64,
            ));
        }
        Ok(())
    }

    /// Fair share of `tenant` among the active tenants, in tokens.
    fn fair_share(&self, tenant: &TenantName, weight: u32, now: Timestamp) -> f64 {
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let active = others.filter(|(_, queue)| queue.is_active(now));
        let weights: f64 = active.map(|(_, queue)| f64::from(queue.weight)).sum();
        let own = f64::from(weight.max(1));
        self.capacity * own / (own + weights)
    }

    /// Refusal with the expected time until `excess_tokens` of `queued_tokens` have
    /// left the queue.
    fn refusal(
        &self,
        limit: LimitKind,
        excess_tokens: f64,
        queued_tokens: f64,
    ) -> AdmissionRefusal {
        let micros = self.mean_wait_us * (excess_tokens / queued_tokens.max(1.0)).min(1.0);
        let retry_after = Duration::from_micros(micros as u64).max(MIN_RETRY_AFTER);
        AdmissionRefusal { limit, retry_after }
    }

    pub(super) fn add(
        &mut self,
        tenant: &TenantName,
        settings: &EffectiveSettings,
        tokens: u32,
        now: Timestamp,
    ) {
        self.waiting_tokens += u64::from(tokens);
        let queue = self.tenants.entry(tenant.clone()).or_insert(TenantQueue {
            waiting_tokens: 0,
            weight: 0,
            active_at: now,
        });
        queue.waiting_tokens += u64::from(tokens);
        queue.weight = settings.share_weight.max(1);
        queue.active_at = now;
    }

    pub(super) fn remove(
        &mut self,
        tenant: &TenantName,
        tokens: u32,
        admitted_at: Timestamp,
        now: Timestamp,
    ) {
        self.waiting_tokens -= u64::from(tokens);
        if let Some(queue) = self.tenants.get_mut(tenant) {
            queue.waiting_tokens -= u64::from(tokens);
        }
        let waited = now.since(admitted_at).as_micros() as f64;
        self.mean_wait_us += WAIT_GAIN * (waited - self.mean_wait_us);
    }

    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.tenants.retain(|_, queue| queue.is_active(now));
    }
}
