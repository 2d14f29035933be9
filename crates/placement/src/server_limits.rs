//! Advertised limits of servers, which hold for all routers together.

use juniper_limits::{Allowance, Decider, PeerLimit, RequestRate, ServerLimit, Verdict};
use juniper_registry::InstanceId;
use juniper_types::Timestamp;

use crate::placement::Placement;

/// Time of an observation.
#[derive(Clone, Copy, Debug)]
pub struct ObservedAt {
    /// Time of this router's clock.
    pub now: Timestamp,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Change of a server's advertised limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server advertises this rate for all routers together.
    Advertised(RequestRate),
    /// The server no longer advertises a limit.
    Ended,
}

impl Placement {
    /// Records the rate that an answer of the server advertises. Returns the change, if any.
    pub fn observe_limit(
        &mut self,
        instance: &InstanceId,
        rate: RequestRate,
        at: ObservedAt,
    ) -> Option<LimitChange> {
        let server = self.server_mut(instance)?;
        let is_new = match &mut server.limit {
            Some(limit) => limit.observe_rate(rate, at.now, at.unix_ms),
            limit => {
                *limit = Some(ServerLimit::from_observation(rate, at.now, at.unix_ms));
                true
            }
        };
        is_new.then_some(LimitChange::Advertised(rate))
    }

    /// Records that an answer of the server, to a request sent at `sent_at`, advertises no limit.
    /// Returns the change, if any.
    pub fn observe_no_limit(
        &mut self,
        instance: &InstanceId,
        sent_at: Timestamp,
        at: ObservedAt,
    ) -> Option<LimitChange> {
        let limit = self.server_mut(instance)?.limit.as_mut()?;
        limit.observe_no_limit(sent_at, at.now, at.unix_ms).then_some(LimitChange::Ended)
    }

    /// Records another router's report of the server's limit. Returns the change, if any.
    pub fn apply_peer_limit(
        &mut self,
        instance: &InstanceId,
        report: PeerLimit,
        at: ObservedAt,
    ) -> Option<LimitChange> {
        let server = self.server_mut(instance)?;
        let is_new = match &mut server.limit {
            Some(limit) => limit.apply_report(report, at.now, at.unix_ms),
            None if report.has_ended => false,
            limit => {
                *limit = Some(ServerLimit::from_report(report, at.now));
                true
            }
        };
        let change = if report.has_ended {
            LimitChange::Ended
        } else {
            LimitChange::Advertised(report.rate)
        };
        is_new.then_some(change)
    }

    /// Takes the limit to report to other routers, if a report is due.
    pub fn take_due_limit_report(
        &mut self,
        instance: &InstanceId,
        now: Timestamp,
    ) -> Option<PeerLimit> {
        self.server_mut(instance)?.limit.as_mut()?.take_due_report(now)
    }

    /// Rate that all routers together may send to the server; `None` without a limit. Removes a
    /// limit that has ended.
    pub fn allowance(&mut self, instance: &InstanceId, now: Timestamp) -> Option<Allowance> {
        let server = self.server_mut(instance)?;
        let allowance = server.limit.as_ref()?.allowance(now);
        if allowance.is_none() {
            server.limit = None;
        }
        allowance
    }

    /// Records the decision on whether a request may be sent to the server.
    pub fn record_limit_decision(
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

    /// Number of servers with an advertised limit.
    pub fn count_limited_servers(&self) -> usize {
        self.servers.values().filter(|server| server.limit.is_some()).count()
    }
}
