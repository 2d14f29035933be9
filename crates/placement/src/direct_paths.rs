//! Network paths from this router to the servers of one service.
//!
//! A connection attempt fails if the server is down, or if this router is partitioned from it. The
//! two look alike, but a partitioned router usually reaches no other server either. So a failure is
//! reported to other routers only after a later connection attempt to another server has succeeded,
//! and failures at several servers in a row mean that this router is cut off. Answers on established
//! connections don't count: a partition may spare these.

use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::Timestamp;

/// Servers, reachable before, that must fail in a row for this router to count as cut off.
const MIN_FAILED_SERVERS: usize = 2;

/// Maximum number of failures kept; the oldest ones are dropped.
const MAX_FAILURES: usize = 64;

/// Age at which a failure is no longer reported; it is repeated with the next probe.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(2);

/// Interval between probes of other servers while failures are unexplained.
const REFERENCE_INTERVAL: Duration = Duration::from_millis(250);

/// Failed connection attempt that is not due to a partition of this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportableFailure {
    /// Server that could not be connected to.
    pub instance: InstanceId,
    /// Whether its address refused the connection.
    pub is_refused: bool,
}

#[derive(Clone, Debug)]
struct Failure {
    instance: InstanceId,
    is_refused: bool,
    at: Timestamp,
    /// Whether the attempt before it did not fail.
    is_new: bool,
}

/// Outcomes of this router's latest connection attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectPaths {
    /// Failures since the latest success.
    failures: Vec<Failure>,
    /// Failures to report to the other routers.
    reportable: Vec<ReportableFailure>,
    next_reference: Timestamp,
    /// Whether any server was reached.
    has_connected: bool,
}

impl DirectPaths {
    /// Records a failed connection attempt. `is_new` states whether the one before it didn't fail.
    pub(crate) fn record_failure(
        &mut self,
        failed: ReportableFailure,
        is_new: bool,
        now: Timestamp,
    ) {
        let ReportableFailure { instance, is_refused } = failed;
        let known = self.failures.iter().position(|failure| failure.instance == instance);
        let was_new = known.is_some_and(|position| self.failures.remove(position).is_new);
        if self.failures.len() >= MAX_FAILURES {
            self.failures.remove(0);
        }
        let is_new = is_new || was_new;
        self.failures.push(Failure { instance, is_refused, at: now, is_new });
    }

    /// Records an established connection, attempted at `started_at`. It shows that failures before
    /// then at other servers are not due to a partition of this router.
    pub(crate) fn record_success(
        &mut self,
        instance: &InstanceId,
        started_at: Timestamp,
        now: Timestamp,
    ) {
        self.has_connected = true;
        let is_explained = |failure: &Failure| failure.at <= started_at;
        let reportable = self.failures.iter().filter(|failure| {
            let is_recent = now.since(failure.at) < MAX_REPORTED_AGE;
            is_explained(failure) && is_recent && failure.instance != *instance
        });
        self.reportable.extend(reportable.map(|failure| ReportableFailure {
            instance: failure.instance.clone(),
            is_refused: failure.is_refused,
        }));
        self.failures.retain(|failure| !is_explained(failure) && failure.instance != *instance);
        // The next failure needs a reference of its own; until it has one, a crash isn't proven.
        self.next_reference = Timestamp::ZERO;
    }

    /// Takes the servers to report as unreachable.
    pub(crate) fn take_reportable(&mut self) -> Vec<ReportableFailure> {
        std::mem::take(&mut self.reportable)
    }

    /// Whether servers have been reached, and no attempt has failed since that a partition of this
    /// router may explain.
    pub(crate) fn is_proven(&self) -> bool {
        self.has_connected && self.failures.is_empty()
    }

    /// Whether this router seems to be cut off from all servers of the service.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.failures.iter().filter(|failure| failure.is_new).count() >= MIN_FAILED_SERVERS
    }

    /// Whether another server has to be probed to explain failures; counts as taken.
    pub(crate) fn take_due_reference(&mut self, now: Timestamp) -> bool {
        let is_due = !self.failures.is_empty() && now >= self.next_reference;
        if is_due {
            self.next_reference = now.after(REFERENCE_INTERVAL);
        }
        is_due
    }
}
