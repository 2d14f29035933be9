//! The router's part of the queue and how tenants share it.
//!
//! While the queue has room, anybody may use it. Once it is filled beyond
//! [`CONTENDED`], a tenant may only add to it while it has less than its fair
//! share, by weight, among the tenants active lately. The rest of the queue is
//! thereby kept for tenants that have little in it, so that a large one can't
//! starve a small one.

use std::collections::HashMap;
use std::time::Duration;

use juniper_settings::EffectiveSettings;
use juniper_types::{TenantName, Timestamp};

use super::MIN_RETRY_AFTER;
use super::refusal::{AdmissionRefusal, LimitKind};

/// Share of the queue from which on tenants are held to their fair shares.
const CONTENDED: f64 = 0.5;

/// Share of the queue that the lowest priority may fill; the highest may fill all.
const LOWEST_PRIORITY_SHARE: f64 = 0.7;

/// Highest priority.
const HIGHEST_PRIORITY: f64 = 9.0;

/// A tenant counts as active for so long after its last request.
const ACTIVE_FOR: Duration = Duration::from_secs(2);

/// Weight of the newest sample in the mean time that a token waits.
const WAIT_GAIN: f64 = 0.05;

#[derive(Clone, Debug)]
struct TenantQueue {
    waiting_tokens: u64,
    weight: u32,
    active_at: Timestamp,
}

impl TenantQueue {
    fn is_active(&self, now: Timestamp) -> bool {
        self.waiting_tokens > 0 || now.since(self.active_at) < ACTIVE_FOR
    }
}

#[derive(Clone, Debug)]
pub(super) struct FairQueue {
    capacity: f64,
    waiting_tokens: u64,
    tenants: HashMap<TenantName, TenantQueue>,
    /// Mean time from admission to first token, in microseconds.
    wait_us: f64,
}

impl Default for FairQueue {
    fn default() -> Self {
        FairQueue {
            capacity: f64::INFINITY,
            waiting_tokens: 0,
            tenants: HashMap::new(),
            wait_us: MIN_RETRY_AFTER.as_micros() as f64,
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

    /// Whether the queue takes `tokens` more of `tenant`.
    pub(super) fn check(
        &self,
        tenant: &TenantName,
        settings: &EffectiveSettings,
        tokens: u32,
        now: Timestamp,
    ) -> Result<(), AdmissionRefusal> {
        // An empty queue takes any request, however long.
        if self.waiting_tokens == 0 {
            return Ok(());
        }
        let filled = self.waiting_tokens as f64 + f64::from(tokens);
        let own = self.tenants.get(tenant).map_or(0, |queue| queue.waiting_tokens) as f64;
        let fair = self.fair_share(tenant, settings.share_weight, now);
        if filled > CONTENDED * self.capacity && own > 0.0 && own + f64::from(tokens) > fair {
            let over = own + f64::from(tokens) - fair;
            return Err(self.refusal(LimitKind::FairShare, over, own));
        }
        let priority = f64::from(settings.priority).min(HIGHEST_PRIORITY) / HIGHEST_PRIORITY;
        let part = LOWEST_PRIORITY_SHARE + (1.0 - LOWEST_PRIORITY_SHARE) * priority;
        if filled > part * self.capacity {
            let over = filled - part * self.capacity;
            return Err(self.refusal(LimitKind::Priority, over, self.waiting_tokens as f64));
        }
        Ok(())
    }

    /// Tokens of the queue that are `tenant`'s when all active ones want theirs.
    fn fair_share(&self, tenant: &TenantName, weight: u32, now: Timestamp) -> f64 {
        let others = self.tenants.iter().filter(|(name, _)| *name != tenant);
        let active = others.filter(|(_, queue)| queue.is_active(now));
        let weights: f64 = active.map(|(_, queue)| f64::from(queue.weight)).sum();
        let own = f64::from(weight.max(1));
        self.capacity * own / (own + weights)
    }

    /// `over` of the `waiting` tokens have to leave first, at the pace of late.
    fn refusal(&self, limit: LimitKind, over: f64, waiting: f64) -> AdmissionRefusal {
        let micros = self.wait_us * (over / waiting.max(1.0)).min(1.0);
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
        self.wait_us += WAIT_GAIN * (waited - self.wait_us);
    }

    pub(super) fn maintain(&mut self, now: Timestamp) {
        self.tenants.retain(|_, queue| queue.is_active(now));
    }
}
