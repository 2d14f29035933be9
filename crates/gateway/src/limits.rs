//! Limits over all routers. Each request of a tenant with a limit is charged to the tenant's
//! account before it is sent to a server: by the replica that owns the account, or by this router
//! alone while no owner answers.
//!
//! While a service of the configuration has tight objectives, refusals of owners that still hold are
//! repeated without asking, and owners that don't answer within a few round trips are decided for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_catalog::{Tenant, TenantLimit};
use juniper_feed::{ChargeError, Feed};
use juniper_limits::{
    ChargeRequest, KnownRefusals, LocalLimits, OwnerQuery, OwnerTimeout, RateLimit, Verdict,
};
use juniper_protocol::message::{ChargeAnswer, LimitCharge};
use juniper_types::Timestamp;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::answer::OwnAnswer;
use crate::gateway::Gateway;
use crate::lock::lock;

/// Timeout for an owner's answer. A round trip between zones takes 2 to 3 ms; a replica that
/// exceeds this has lost power, is frozen or is overloaded.
const OWNER_TIMEOUT: Duration = Duration::from_millis(60);

/// Timeout while this router doesn't know the tenant's usage at all routers, and so not its own
/// share. It has then just started, often together with many others that ask the same replicas.
const FIRST_OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which an owner that didn't answer isn't asked again.
const SILENT_OWNER_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which an owner's answer is awaited, longer than any request waits. Late answers
/// tell the round trip, and a charge whose request was refused meanwhile is refunded.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Replicas asked for one request: the owner, and the next one if the first isn't the owner.
const MAX_OWNERS_ASKED: usize = 2;

/// A charge that was admitted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantedCharge(pub(crate) LimitCharge);

/// Whose limit an account is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AccountKind {
    /// A tenant's limit.
    Tenant,
    /// A limit that a server advertises.
    Server,
}

/// Who decided on a charge, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecidedBy {
    /// The replica that owns the account.
    Owner,
    /// This router, within its share.
    Share,
    /// This router, by a refusal of the owner that still holds.
    KnownRefusal,
}

impl DecidedBy {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DecidedBy::Owner => "owner",
            DecidedBy::Share => "share",
            DecidedBy::KnownRefusal => "known_refusal",
        }
    }
}

/// State of limits at this router.
#[derive(Default)]
pub(crate) struct Limits {
    local: Mutex<LocalLimits>,
    /// Accounts whose owner didn't answer, with the time of the last such request.
    silent_owners: Mutex<HashMap<String, Instant>>,
    /// Refusals of owners that still hold.
    known_refusals: Mutex<KnownRefusals>,
    /// Timeouts of owners while a service has tight objectives.
    owner_timeouts: Mutex<OwnerTimeout>,
}

impl Limits {
    /// The owner's refusal of an earlier charge, if it also holds for this one.
    fn repeat_refusal(&self, charge: &LimitCharge, now: Timestamp) -> Option<Verdict> {
        lock(&self.known_refusals).repeat(&charge_request(charge), now, rand::random())
    }

    /// Records the owner's verdict on a charge that it was asked for at `asked_at`.
    fn record_answer(
        &self,
        charge: &LimitCharge,
        verdict: &Verdict,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        let request = charge_request(charge);
        lock(&self.local).record_verdict(&request, verdict, now);
        lock(&self.known_refusals).record_verdict(&request, verdict, now);
        lock(&self.owner_timeouts).record_answer(&charge.account, now.since(asked_at), now);
    }

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
        let repeated = match self.has_tight_service() {
            true => self.limits.repeat_refusal(&charge, self.now()),
            false => None,
        };
        let (verdict, by) = match repeated {
            Some(refusal) => (refusal, DecidedBy::KnownRefusal),
            None => self.decide(&charge, AccountKind::Tenant).await,
        };
        let Verdict::Refused { retry_after, fleet_per_second } = verdict else {
            return Ok(Some(GrantedCharge(charge)));
        };
        let event = match by {
            DecidedBy::KnownRefusal => "refused_known",
            DecidedBy::Owner | DecidedBy::Share => "limit_reached",
        };
        log::info!(
            "event={event} request={id} tenant={} decided_by={} units={} limit_per_s={:.0} \
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

    /// Decides on a charge: the owner does if it answers in time, otherwise this router.
    pub(crate) async fn decide(
        &self,
        charge: &LimitCharge,
        kind: AccountKind,
    ) -> (Verdict, DecidedBy) {
        if self.has_tight_service() {
            return self.decide_soon(charge, kind).await;
        }
        let answered = match self.limits.is_owner_silent(&charge.account) {
            true => None,
            false => self.ask_owner(charge, self.owner_timeout(&charge.account, kind)).await,
        };
        let Some(answer) = answered else {
            return (self.decide_by_share(charge), DecidedBy::Share);
        };
        let verdict = to_verdict(answer);
        lock(&self.limits.local).record_verdict(&charge_request(charge), &verdict, self.now());
        (verdict, DecidedBy::Owner)
    }

    /// Whether a service of the configuration has tight objectives.
    fn has_tight_service(&self) -> bool {
        let view = self.feed.latest();
        let Some(index) = &view.catalog else { return false };
        let catalog = index.catalog();
        // Services without engines are tight only if one with engines is.
        catalog.services.iter().any(|service| service.engine.is_some() && catalog.is_tight(service))
    }

    /// Decides on a charge by this router's share of the limit.
    fn decide_by_share(&self, charge: &LimitCharge) -> Verdict {
        let (routers, now) = (self.feed.router_count(), self.now());
        let request = charge_request(charge);
        lock(&self.limits.local).decide(&request, routers, now, rand::random())
    }

    /// Decides on a charge within a few round trips to the owner.
    async fn decide_soon(&self, charge: &LimitCharge, kind: AccountKind) -> (Verdict, DecidedBy) {
        let (asked_at, is_tenant) = (self.now(), kind == AccountKind::Tenant);
        let query = lock(&self.limits.owner_timeouts).query(&charge.account, is_tenant, asked_at);
        let OwnerQuery::Ask(wait) = query else {
            return (self.decide_by_share(charge), DecidedBy::Share);
        };
        let (answer, mut answered) = oneshot::channel();
        let (decided, was_admitted) = oneshot::channel();
        let (limits, feed) = (Arc::clone(&self.limits), self.feed.clone());
        let asking = ask_and_record(limits, feed, charge.clone(), asked_at, answer, was_admitted);
        tokio::spawn(asking);
        let verdict = match timeout(wait, &mut answered).await {
            Ok(verdict) => verdict.ok(),
            Err(_) => {
                // An answer that was sent at this moment counts.
                answered.close();
                let verdict = answered.try_recv().ok();
                if verdict.is_none() {
                    log::info!("event=limit_owner_silent account={:?}", charge.account);
                    let mut timeouts = lock(&self.limits.owner_timeouts);
                    timeouts.record_timeout(&charge.account, asked_at, self.now());
                }
                verdict
            }
        };
        if let Some(verdict) = verdict {
            return (verdict, DecidedBy::Owner);
        }
        let verdict = self.decide_by_share(charge);
        // Fails if the owner can't be reached, and then nothing was charged.
        let _ = decided.send(verdict.is_admitted());
        (verdict, DecidedBy::Share)
    }

    /// Timeout for the owner's answer, unless a service has tight objectives.
    fn owner_timeout(&self, account: &str, kind: AccountKind) -> Duration {
        let is_known = kind == AccountKind::Server
            || lock(&self.limits.local).has_recent_verdict(account, self.now());
        if is_known { OWNER_TIMEOUT } else { FIRST_OWNER_TIMEOUT }
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
        self.decide(&charge, AccountKind::Tenant).await;
    }

    /// Refunds the charge of a request that no server has run.
    pub(crate) fn refund(&self, granted_charge: &GrantedCharge) {
        let LimitCharge { account, units, .. } = granted_charge.0.clone();
        let feed = self.feed.clone();
        // The caller's answer doesn't wait for the refund.
        tokio::spawn(async move { feed.refund_charge(account, units).await });
    }
}

/// Asks the account's owner, records its verdict and sends it to `answer`. A charge that the owner
/// grants too late is refunded unless the router has admitted the request by itself.
async fn ask_and_record(
    limits: Arc<Limits>,
    feed: Feed,
    charge: LimitCharge,
    asked_at: Timestamp,
    answer: oneshot::Sender<Verdict>,
    was_admitted: oneshot::Receiver<bool>,
) {
    let asking = async {
        for rank in 0..MAX_OWNERS_ASKED {
            match feed.charge(charge.clone(), rank).await {
                Ok(answer) => return Some(to_verdict(answer)),
                Err(ChargeError::NotOwner(_)) => {}
                Err(error) => {
                    let account = &charge.account;
                    log::debug!("event=limit_owner_failed account={account:?} reason=\"{error}\"");
                    return None;
                }
            }
        }
        None
    };
    let Ok(Some(verdict)) = timeout(LATE_ANSWER_TIMEOUT, asking).await else { return };
    let now = Timestamp::ZERO.after(feed.time_origin().elapsed());
    limits.record_answer(&charge, &verdict, asked_at, now);
    let is_late = answer.send(verdict).is_err();
    // Callers that have left count as refused.
    let is_unused = is_late && verdict.is_admitted() && !was_admitted.await.unwrap_or(false);
    if is_unused && !charge.is_certain {
        feed.refund_charge(charge.account, charge.units).await;
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
