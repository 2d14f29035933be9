//! Limits over all routers. Each request of a tenant with a limit is charged to the tenant's
//! account before it is sent to a server: by the replica that owns the account, or by this router
//! alone while no owner answers.

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

/// Timeout for an owner's answer. A round trip between zones takes 2 to 3 ms; a replica that
/// exceeds this has lost power, is frozen or is overloaded.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(60);

/// Timeout while this router doesn't know the tenant's usage at all routers, and so not its own
/// share. It has then just started, often together with many others that ask the same replicas.
const FIRST_OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an owner that didn't answer isn't asked again.
const SILENT_OWNER_BACKOFF: Duration = Duration::from_millis(300);

/// Replicas asked for one request: the owner, and the next one if the first isn't the owner.
const MAX_OWNERS_ASKED: usize = 2;

/// A charge that was admitted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantedCharge(pub(crate) LimitCharge);

/// Who decided on a charge, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecidedBy {
    /// The replica that owns the account.
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

/// State of limits at this router.
#[derive(Default)]
pub(crate) struct Limits {
    local: Mutex<LocalLimits>,
    /// Accounts whose owner didn't answer, with the time of the last such request.
    silent_owners: Mutex<HashMap<String, Instant>>,
}

impl Limits {
    fn is_owner_silent(&self, account: &str) -> bool {
        let silent = lock(&self.silent_owners);
        silent.get(account).is_some_and(|since| since.elapsed() < SILENT_OWNER_BACKOFF)
    }

    fn mark_silent(&self, account: &str) {
        let mut silent = lock(&self.silent_owners);
        silent.retain(|_, since| since.elapsed() < SILENT_OWNER_BACKOFF);
        silent.insert(account.to_owned(), Instant::now());
    }
}

fn charge_request(charge: &LimitCharge) -> ChargeRequest<'_> {
    ChargeRequest {
        account: &charge.account,
        limit: RateLimit { per_second: charge.per_second, burst: charge.burst },
        version: charge.version,
        units: charge.units,
        is_unconditional: charge.is_certain,
        reserve: charge.reserve.unwrap_or(0.0),
    }
}

fn to_verdict(answer: ChargeAnswer) -> Verdict {
    let fleet_per_second = answer.fleet_per_second;
    match answer.retry_after_ms {
        None => Verdict::Admitted { fleet_per_second },
        Some(pause_ms) => {
            Verdict::Refused { retry_after: Duration::from_millis(pause_ms), fleet_per_second }
        }
    }
}

impl Gateway {
    /// Charges a request with `tokens` to the account of `tenant`. `None` if the tenant has no
    /// limit.
    ///
    /// # Errors
    /// Fails with the answer for the caller if the request exceeds the limit.
    pub(crate) async fn charge(
        &self,
        id: &str,
        tenant: &Tenant,
        version: u64,
        tokens: Option<u64>,
    ) -> Result<Option<GrantedCharge>, OwnAnswer> {
        let Some(limit) = &tenant.limit else { return Ok(None) };
        let charge = charge_of(tenant, limit, version, tokens);
        let wait = self.owner_timeout(&charge.account);
        let (verdict, by) = self.decide(&charge, wait).await;
        let Verdict::Refused { retry_after, fleet_per_second } = verdict else {
            return Ok(Some(GrantedCharge(charge)));
        };
        log::info!(
            "event=limit_reached request={id} tenant={} decided_by={} units={} limit_per_s={:.0} \
             admitted_per_s={fleet_per_second:.0} pause_ms={}",
            tenant.name,
            by.as_str(),
            charge.units,
            limit.per_second,
            retry_after.as_millis()
        );
        self.metrics.count_over_limit(&tenant.name, by);
        Err(OwnAnswer::OverLimit(retry_after))
    }

    /// Decides on a charge: the owner does if it answers within `wait`, otherwise this router.
    pub(crate) async fn decide(
        &self,
        charge: &LimitCharge,
        wait: Duration,
    ) -> (Verdict, DecidedBy) {
        let answered = match self.limits.is_owner_silent(&charge.account) {
            true => None,
            false => self.ask_owner(charge, wait).await,
        };
        let now = self.now();
        let mut local = lock(&self.limits.local);
        match answered {
            Some(answer) => {
                let verdict = to_verdict(answer);
                local.record_verdict(&charge_request(charge), &verdict, now);
                (verdict, DecidedBy::Owner)
            }
            None => {
                let routers = self.feed.router_count();
                let verdict = local.decide(&charge_request(charge), routers, now, rand::random());
                (verdict, DecidedBy::Share)
            }
        }
    }

    /// Timeout for the owner's answer.
    fn owner_timeout(&self, account: &str) -> Duration {
        match lock(&self.limits.local).has_recent_verdict(account, self.now()) {
            true => OWNER_TIMEOUT,
            false => FIRST_OWNER_TIMEOUT,
        }
    }

    /// Asks the account's owner. `None` if no owner answers in time.
    async fn ask_owner(&self, charge: &LimitCharge, wait: Duration) -> Option<ChargeAnswer> {
        for rank in 0..MAX_OWNERS_ASKED {
            match timeout(wait, self.feed.charge(charge.clone(), rank)).await {
                Ok(Ok(answer)) => return Some(answer),
                // It may be partitioned from the other replicas, in which case the next one owns
                // the account.
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
                    self.limits.mark_silent(&charge.account);
                    return None;
                }
            }
        }
        None
    }

    /// Charges a request again that may run a second time. It is never refused.
    pub(crate) async fn charge_retry(&self, granted_charge: &GrantedCharge) {
        let charge = LimitCharge { is_certain: true, ..granted_charge.0.clone() };
        self.decide(&charge, self.owner_timeout(&charge.account)).await;
    }

    /// Refunds the charge of a request that no server has run.
    pub(crate) fn refund(&self, granted_charge: &GrantedCharge) {
        let LimitCharge { account, units, .. } = granted_charge.0.clone();
        let feed = self.feed.clone();
        // The caller's answer doesn't wait for the refund.
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
