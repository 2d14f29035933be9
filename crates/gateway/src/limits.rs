//! Limits over all routers: each request of a tenant that has one is counted by the replica that owns
//! its account before it is sent to a server, or by this router alone while no owner can be asked.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use juniper_catalog::{Tenant, TenantLimit};
use juniper_feed::ChargeError;
use juniper_limits::{ChargeRequest, LocalLimits, RateLimit, Verdict};
use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use tokio::time::{Instant, timeout};

use crate::answer::OwnAnswer;
use crate::gateway::Gateway;
use crate::lock::lock;

/// Longest wait for an owner's answer. A round trip between zones takes 2 to 3 ms; a replica that
/// needs more than this has lost power, is frozen, or has much to do.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(60);

/// The same while this router doesn't know what the tenant uses at all routers, and so not its own
/// share. It has just started then, often together with many others that ask the same replicas.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Time for which an owner that didn't answer isn't asked again.
const SILENT_OWNER_PAUSE: Duration = Duration::from_millis(300);

/// Replicas that are asked for one request: the owner, and the next one if that owns nothing.
const MAX_ASKED: usize = 2;

/// What was counted for a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Charged(pub(crate) LimitCharge);

/// Who decided on a charge, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecidedBy {
    /// The replica that owns the limit.
    Owner,
    /// This router, within its share.
    Share,
}

impl DecidedBy {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DecidedBy::Owner => "owner",
            DecidedBy::Share => "share",
        }
    }
}

/// What this router needs for limits.
#[derive(Default)]
pub(crate) struct Limits {
    local: Mutex<LocalLimits>,
    /// When an account's owner was last asked without an answer, for a short while.
    silent: Mutex<HashMap<String, Instant>>,
}

impl Limits {
    fn is_silent(&self, account: &str) -> bool {
        let silent = lock(&self.silent);
        silent.get(account).is_some_and(|since| since.elapsed() < SILENT_OWNER_PAUSE)
    }

    fn note_silent(&self, account: &str) {
        let mut silent = lock(&self.silent);
        silent.retain(|_, since| since.elapsed() < SILENT_OWNER_PAUSE);
        silent.insert(account.to_owned(), Instant::now());
    }
}

fn request(charge: &LimitCharge) -> ChargeRequest<'_> {
    ChargeRequest {
        account: &charge.account,
        limit: RateLimit { per_second: charge.per_second, burst: charge.burst },
        version: charge.version,
        units: charge.units,
        is_certain: charge.is_certain,
        reserve: charge.reserve.unwrap_or(0.0),
    }
}

fn verdict(answer: ChargeAnswer) -> Verdict {
    let fleet_per_second = answer.fleet_per_second;
    match answer.refused_for_ms {
        None => Verdict::Admitted { fleet_per_second },
        Some(pause_ms) => {
            Verdict::Refused { pause: Duration::from_millis(pause_ms), fleet_per_second }
        }
    }
}

impl Gateway {
    /// Counts a request of `tenant` that states `tokens`. `None` if the tenant has no limit.
    ///
    /// # Errors
    /// The answer to a request beyond the limit.
    pub(crate) async fn charge(
        &self,
        id: &str,
        tenant: &Tenant,
        version: u64,
        tokens: Option<u64>,
    ) -> Result<Option<Charged>, OwnAnswer> {
        let Some(limit) = &tenant.limit else { return Ok(None) };
        let charge = charge_of(tenant, limit, version, tokens);
        let wait = self.answer_limit(&charge.account);
        let (verdict, by) = self.decide(&charge, wait).await;
        let Verdict::Refused { pause, fleet_per_second } = verdict else {
            return Ok(Some(Charged(charge)));
        };
        log::info!(
            "event=limit_reached request={id} tenant={} decided_by={} units={} limit_per_s={:.0} \
             admitted_per_s={fleet_per_second:.0} pause_ms={}",
            tenant.name,
            by.as_str(),
            charge.units,
            limit.per_second,
            pause.as_millis()
        );
        self.metrics.over_limit(&tenant.name, by);
        Err(OwnAnswer::OverLimit(pause))
    }

    /// Decides on a charge: the owner if it answers within `wait`, or else this router.
    pub(crate) async fn decide(
        &self,
        charge: &LimitCharge,
        wait: Duration,
    ) -> (Verdict, DecidedBy) {
        let answered = match self.limits.is_silent(&charge.account) {
            true => None,
            false => self.ask_owner(charge, wait).await,
        };
        let now = self.now();
        let mut local = lock(&self.limits.local);
        match answered {
            Some(answer) => {
                let verdict = verdict(answer);
                local.heard(&request(charge), &verdict, now);
                (verdict, DecidedBy::Owner)
            }
            None => {
                let routers = self.feed.router_count();
                let verdict = local.decide(&request(charge), routers, now, rand::random());
                (verdict, DecidedBy::Share)
            }
        }
    }

    /// How long the owner's answer is worth waiting for.
    fn answer_limit(&self, account: &str) -> Duration {
        match lock(&self.limits.local).knows(account, self.now()) {
            true => ANSWER_LIMIT,
            false => FIRST_ANSWER_LIMIT,
        }
    }

    /// The owner's answer, if one answers in time.
    async fn ask_owner(&self, charge: &LimitCharge, wait: Duration) -> Option<ChargeAnswer> {
        for rank in 0..MAX_ASKED {
            match timeout(wait, self.feed.charge(charge.clone(), rank)).await {
                Ok(Ok(answer)) => return Some(answer),
                // It may be cut off from the other replicas; the next one owns the limit then.
                Ok(Err(ChargeError::NotOwner(_))) => {}
                Ok(Err(error)) => {
                    log::debug!(
                        "event=limit_owner_failed account={:?} reason=\"{error}\"",
                        charge.account
                    );
                    return None;
                }
                Err(_) => {
                    log::info!("event=limit_owner_silent account={:?}", charge.account);
                    self.limits.note_silent(&charge.account);
                    return None;
                }
            }
        }
        None
    }

    /// Counts a request once more that may run a second time. It isn't refused any more.
    pub(crate) async fn charge_again(&self, charged: &Charged) {
        let charge = LimitCharge { is_certain: true, ..charged.0.clone() };
        self.decide(&charge, self.answer_limit(&charge.account)).await;
    }

    /// Takes back what was counted for a request that no server has run.
    pub(crate) fn give_back(&self, charged: &Charged) {
        let LimitCharge { account, units, .. } = charged.0.clone();
        let feed = self.feed.clone();
        // The answer to the caller doesn't wait for it.
        tokio::spawn(async move { feed.refund_charge(account, units).await });
    }
}

fn charge_of(
    tenant: &Tenant,
    limit: &TenantLimit,
    version: u64,
    tokens: Option<u64>,
) -> LimitCharge {
    LimitCharge {
        account: tenant.name.clone(),
        version,
        per_second: limit.per_second,
        burst: limit.burst,
        units: limit.cost(tokens),
        is_certain: false,
        reserve: None,
    }
}
