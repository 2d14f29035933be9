//! Limits that servers state for all routers together: heard in their answers, told to the other
//! routers, and kept by one account for all.

use std::time::{SystemTime, UNIX_EPOCH};

use juniper_limits::{Allowance, Decider, RequestRate, StatedLimit, ToldLimit, Verdict};
use juniper_placement::{Choice, LimitChange, ObservedAt};
use juniper_protocol::message::{LimitCharge, ServerLimitNews, server_account};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::attempt::rank;
use crate::call::Call;
use crate::dialect::AnswerFacts;
use crate::gateway::Gateway;
use crate::limits::{ANSWER_LIMIT, Charged, DecidedBy};

/// What became of the question whether a server takes a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Admission {
    /// It does; what was counted is given back if nothing is sent.
    Granted(Option<Charged>),
    /// It has got all that it takes from all routers together.
    UsedUp,
}

impl DecidedBy {
    fn decider(self) -> Decider {
        match self {
            DecidedBy::Owner => Decider::Owner,
            DecidedBy::Share => Decider::Router,
        }
    }
}

/// The time of day, in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    // A clock before 1970 only orders what is told later.
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    fn heard_at(&self) -> ObservedAt {
        ObservedAt { now: self.now(), unix_ms: unix_ms() }
    }

    /// Notes what the answer of `instance` to `request`, sent at `sent_at`, states. An answer of
    /// another server, or to another request, tells nothing of this one now.
    pub(crate) fn note_stated_limit(
        &self,
        instance: &InstanceId,
        facts: &AnswerFacts,
        sent_at: Timestamp,
        request: &str,
    ) {
        if facts.is_other_server || !facts.is_own {
            return;
        }
        let at = self.heard_at();
        let change = match facts.stated_limit {
            StatedLimit::Nothing => self.placement().observe_no_limit(instance, sent_at, at),
            StatedLimit::Rate(rate) => {
                self.metrics.stated_limits.with_label_values(&["yes"]).inc();
                self.placement().observe_limit(instance, rate, at)
            }
            StatedLimit::Unreadable(fault) => {
                self.metrics.stated_limits.with_label_values(&["no"]).inc();
                log::warn!(
                    "event=server_limit_unreadable request={request} instance={instance} \
                     reason=\"{fault}\""
                );
                None
            }
        };
        log_change(instance, change, request);
        self.tell_limit(instance, at.now);
    }

    /// Notes what another router tells.
    pub(crate) fn learn_limit(&self, news: &ServerLimitNews) {
        let instance = news.id();
        let Ok(rate) = RequestRate::of(news.per_second) else {
            log::warn!("event=server_limit_unreadable request=- instance={instance} reason=news");
            return;
        };
        let told = ToldLimit { sequence: news.sequence, rate, is_over: news.is_over };
        let at = self.heard_at();
        let change = self.placement().apply_peer_limit(&instance, told, at);
        log_change(&instance, change, "-");
        self.tell_limit(&instance, at.now);
    }

    fn tell_limit(&self, instance: &InstanceId, now: Timestamp) {
        let Some(told) = self.placement().take_due_limit_report(instance, now) else { return };
        self.news.push_limit(ServerLimitNews {
            instance: instance.name().clone(),
            started: instance.started(),
            sequence: told.sequence,
            per_second: told.rate.per_second(),
            is_over: told.is_over,
        });
    }

    /// Asks whether the chosen server takes the request, if it states a limit. No router knows by
    /// itself what the others send: the replica that keeps the server's account counts for all.
    pub(crate) async fn admit_at_server(&self, call: &Call, choice: &Choice) -> Admission {
        let allowance = self.placement().allowance(&choice.instance, self.now());
        let Some(allowance) = allowance else { return Admission::Granted(None) };
        let charge = charge_of(call, choice, allowance);
        let (verdict, by) = self.decide(&charge, ANSWER_LIMIT).await;
        let now = self.now();
        self.placement().record_limit_decision(&choice.instance, &verdict, by.decider(), now);
        self.metrics.server_charged(&verdict, by);
        match verdict {
            Verdict::Admitted { .. } => {
                // Only the owner's account can take it back.
                let counted = (by == DecidedBy::Owner).then_some(Charged(charge));
                Admission::Granted(counted)
            }
            Verdict::Refused { pause, fleet_per_second } => {
                log::info!(
                    "event=server_used_up request={} instance={} decided_by={} limit_per_s={:.2} \
                     admitted_per_s={fleet_per_second:.2} pause_ms={}",
                    call.id(),
                    choice.instance,
                    by.as_str(),
                    allowance.limit.per_second,
                    pause.as_millis()
                );
                Admission::UsedUp
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
        reserve: Some(reserve(rank(call, choice), limit.burst)).filter(|reserve| *reserve > 0.0),
    }
}

/// What a request of this rank, 0 for the most urgent, leaves to more urgent ones. It is below the
/// burst, so that no rank is shut out while nobody else asks.
fn reserve(rank: u8, burst: f64) -> f64 {
    let rank = f64::from(rank);
    burst * rank / (rank + 1.0)
}

fn log_change(instance: &InstanceId, change: Option<LimitChange>, request: &str) {
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
