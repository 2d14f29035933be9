//! What servers take from all routers together.

use juniper_limits::{Allowance, Decider, PeerLimit, RequestRate, ServerLimit, Verdict};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::placement::Placement;

/// When something is heard.
#[derive(Clone, Copy, Debug)]
pub struct HeardAt {
    /// The time as this router counts it.
    pub now: Timestamp,
    /// The time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// What is new of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It takes so many requests a second from all routers together.
    Stated(RequestRate),
    /// It states a limit no longer.
    Over,
}

impl Placement {
    /// An answer of the server states that it takes `rate` from all routers together. Returns what
    /// is new.
    pub fn heard_limit(
        &mut self,
        instance: &InstanceId,
        rate: RequestRate,
        at: HeardAt,
    ) -> Option<LimitChange> {
        let server = self.server_mut(instance)?;
        let is_new = match &mut server.limit {
            Some(limit) => limit.observe_rate(rate, at.now, at.unix_ms),
            limit => {
                *limit = Some(ServerLimit::from_observation(rate, at.now, at.unix_ms));
                true
            }
        };
        is_new.then_some(LimitChange::Stated(rate))
    }

    /// An answer of the server to what was sent at `sent_at` states no limit.
    pub fn heard_no_limit(
        &mut self,
        instance: &InstanceId,
        sent_at: Timestamp,
        at: HeardAt,
    ) -> Option<LimitChange> {
        let limit = self.server_mut(instance)?.limit.as_mut()?;
        limit.observe_no_limit(sent_at, at.now, at.unix_ms).then_some(LimitChange::Over)
    }

    /// Another router tells what the server takes.
    pub fn told_limit(
        &mut self,
        instance: &InstanceId,
        told: PeerLimit,
        at: HeardAt,
    ) -> Option<LimitChange> {
        let server = self.server_mut(instance)?;
        let is_new = match &mut server.limit {
            Some(limit) => limit.apply_report(told, at.now, at.unix_ms),
            None if told.has_ended => false,
            limit => {
                *limit = Some(ServerLimit::from_report(told, at.now));
                true
            }
        };
        let change =
            if told.has_ended { LimitChange::Over } else { LimitChange::Stated(told.rate) };
        is_new.then_some(change)
    }

    /// What the other routers should be told now of the server's limit.
    pub fn limit_news(&mut self, instance: &InstanceId, now: Timestamp) -> Option<PeerLimit> {
        self.server_mut(instance)?.limit.as_mut()?.take_due_report(now)
    }

    /// What all routers together may send to the server; `None` if it states no limit. One that is
    /// over for good is forgotten.
    pub fn allowance(&mut self, instance: &InstanceId, now: Timestamp) -> Option<Allowance> {
        let server = self.server_mut(instance)?;
        let allowance = server.limit.as_ref()?.allowance(now);
        if allowance.is_none() {
            server.limit = None;
        }
        allowance
    }

    /// It was decided whether a request may be sent to the server.
    pub fn limit_decided(
        &mut self,
        instance: &InstanceId,
        verdict: &Verdict,
        by: Decider,
        now: Timestamp,
    ) {
        if let Some(limit) = self.server_mut(instance).and_then(|server| server.limit.as_mut()) {
            limit.record_verdict(verdict, by, now);
        }
    }

    /// Servers that state what they take from all routers together.
    pub fn limited_servers(&self) -> usize {
        self.servers.values().filter(|server| server.limit.is_some()).count()
    }
}
