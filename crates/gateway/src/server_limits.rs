//! Limits that servers advertise for all routers together. They are observed in servers' answers,
//! published to the other routers, and enforced by one account per server.

use std::time::{SystemTime, UNIX_EPOCH};

use juniper_limits::{AdvertisedLimit, Allowance, Decider, PeerLimit, RequestRate, Verdict};
use juniper_placement::{Choice, LimitChange, ObservedAt};
use juniper_protocol::message::{LimitCharge, ServerLimitUpdate, server_account};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::attempt::effective_priority;
use crate::call::Call;
use crate::dialect::AnswerInfo;
use crate::gateway::Gateway;
use crate::limits::{AccountKind, DecidedBy, GrantedCharge};

/// Outcome of a server's admission check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Admission {
    /// The server admits the request; the charge is refunded if nothing is sent.
    Granted(Option<GrantedCharge>),
    /// The server's advertised limit is used up.
    AtLimit,
}

impl DecidedBy {
    fn decider(self) -> Decider {
        match self {
            DecidedBy::Owner => Decider::Owner,
            DecidedBy::Share | DecidedBy::KnownRefusal => Decider::Router,
        }
    }
}

/// Time of day, in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    // A clock before 1970 counts as the epoch, which only ranks this router's observations last.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    fn observed_at(&self) -> ObservedAt {
        ObservedAt { now: self.now(), unix_ms: unix_ms() }
    }

    /// Records the limit advertised in the answer of `instance` to `request`, sent at `sent_at`.
    /// Answers of another server or to another request are ignored.
    pub(crate) fn observe_limit(
        &self,
        instance: &InstanceId,
        info: &AnswerInfo,
        sent_at: Timestamp,
        request: &str,
    ) {
        if info.is_wrong_server || !info.matches_request {
            return;
        }
        let at = self.observed_at();
        let change = match info.advertised_limit {
            AdvertisedLimit::Nothing => self.placement().observe_no_limit(instance, sent_at, at),
            AdvertisedLimit::Rate(rate) => {
                self.metrics.advertised_limits.with_label_values(&["yes"]).inc();
                self.placement().observe_limit(instance, rate, at)
            }
            AdvertisedLimit::Invalid(error) => {
                self.metrics.advertised_limits.with_label_values(&["no"]).inc();
                log::warn!(
                    "event=server_limit_unreadable request={request} instance={instance} \
                     reason=\"{error}\""
                );
                None
            }
        };
        log_limit_change(instance, change, request);
        self.publish_limit(instance, at.now);
    }

    /// Applies a limit that another router reported.
    pub(crate) fn apply_peer_limit(&self, update: &ServerLimitUpdate) {
        let instance = update.id();
        let Ok(rate) = RequestRate::new(update.per_second) else {
            log::warn!("event=server_limit_unreadable request=- instance={instance} reason=news");
            return;
        };
        let limit = PeerLimit { sequence: update.sequence, rate, has_ended: update.is_withdrawn };
        let at = self.observed_at();
        let change = self.placement().apply_peer_limit(&instance, limit, at);
        log_limit_change(&instance, change, "-");
        self.publish_limit(&instance, at.now);
    }

    fn publish_limit(&self, instance: &InstanceId, now: Timestamp) {
        let Some(limit) = self.placement().take_due_limit_report(instance, now) else { return };
        self.updates.push_limit(ServerLimitUpdate {
            instance: instance.name().clone(),
            started: instance.started(),
            sequence: limit.sequence,
            per_second: limit.rate.per_second(),
            is_withdrawn: limit.has_ended,
        });
    }

    /// Charges a request against the chosen server's advertised limit, if any. Since no router sees
    /// what the others send, the replica that owns the server's account counts for all.
    pub(crate) async fn admit_at_server(&self, call: &Call, choice: &Choice) -> Admission {
        let allowance = self.placement().allowance(&choice.instance, self.now());
        let Some(allowance) = allowance else { return Admission::Granted(None) };
        let charge = charge_of(call, choice, allowance);
        let (verdict, by) = self.decide(&charge, AccountKind::Server).await;
        let now = self.now();
        self.placement().record_limit_decision(&choice.instance, &verdict, by.decider(), now);
        self.metrics.count_server_charge(&verdict, by);
        match verdict {
            Verdict::Admitted { .. } => {
                // Only charges of the owner's account can be refunded.
                let charge = (by == DecidedBy::Owner).then_some(GrantedCharge(charge));
                Admission::Granted(charge)
            }
            Verdict::Refused { retry_after, fleet_per_second } => {
                log::info!(
                    "event=server_used_up request={} instance={} decided_by={} limit_per_s={:.2} \
                     admitted_per_s={fleet_per_second:.2} pause_ms={}",
                    call.id(),
                    choice.instance,
                    by.as_str(),
                    allowance.limit.per_second,
                    retry_after.as_millis()
                );
                Admission::AtLimit
            }
        }
    }
}

fn charge_of(call: &Call, choice: &Choice, allowance: Allowance) -> LimitCharge {
    let Allowance { limit, version } = allowance;
    LimitCharge {
        account: server_account(&choice.instance),
        version,
        per_second: limit.per_second,
        burst: limit.burst,
        units: 1.0,
        is_certain: false,
        reserve: Some(reserve(effective_priority(call, choice), limit.burst))
            .filter(|reserve| *reserve > 0.0),
    }
}

/// Units that a request of this priority, 0 for the most urgent, leaves to more urgent ones. Below
/// the burst, so that no priority is shut out while there is no other load.
fn reserve(priority: u8, burst: f64) -> f64 {
    let priority = f64::from(priority);
    burst * priority / (priority + 1.0)
}

fn log_limit_change(instance: &InstanceId, change: Option<LimitChange>, request: &str) {
    match change {
        None => {}
        Some(LimitChange::Advertised(rate)) => log::info!(
            "event=server_limit_heard request={request} instance={instance} per_second={}",
            rate.per_second()
        ),
        Some(LimitChange::Ended) => {
            log::info!("event=server_limit_over request={request} instance={instance}");
        }
    }
}
