//! Reports of other routers that a server is unreachable.
//!
//! With hundreds of routers, each router sends to a given server only about once a minute. If every
//! router had to detect a failed server by itself, each of them would lose a request. So the first
//! router to detect the failure reports it, probes the server, and repeats the report until the
//! server is reachable again.
//!
//! A router that is itself partitioned must not make other routers avoid healthy servers:
//!
//! - It reports a server only after it has connected to another one (`direct_paths`).
//! - A report needs confirmation: by two routers of the receiver's own zone, or by routers of two
//!   zones.
//! - A receiver that has just had contact with the server ignores the reports; any other one
//!   verifies them by a probe of its own. After contact, the same routers' reports are ignored for
//!   a while.

use std::time::Duration;

use juniper_types::Timestamp;

use crate::health::MAX_PROBE_INTERVAL;

/// Reports from the receiver's own zone that confirm each other; also the maximum number kept per
/// zone.
const SAME_ZONE_QUORUM: usize = 2;

/// Zones whose reports confirm each other.
const ZONE_QUORUM: usize = 2;

/// Age at which a report expires. Reports are repeated with each probe, at least every
/// `MAX_PROBE_INTERVAL`; the expiry tolerates the loss of one.
const MAX_REPORT_AGE_MS: u64 = 2 * MAX_PROBE_INTERVAL.as_millis() as u64 + 500;

/// Time for which the reports of a router are ignored after contact with the server has contradicted
/// one.
const CONTRADICTION_TIME: Duration = Duration::from_secs(10);

/// Maximum number of routers whose reports are ignored.
const MAX_CONTRADICTED: usize = 8;

/// The router that sent a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter<'a> {
    /// Node id of the router.
    pub node: u64,
    /// Zone of the router.
    pub zone: &'a str,
}

#[derive(Clone, Debug)]
struct UnreachableReport {
    node: u64,
    zone: String,
    at: Timestamp,
}

/// Unexpired reports that one server is unreachable.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreachableReports {
    reports: Vec<UnreachableReport>,
    /// Routers whose reports are ignored, and until when.
    contradicted: Vec<(u64, Timestamp)>,
    /// When a probe of this router has to verify the reports.
    verify_at: Option<Timestamp>,
}

impl UnreachableReports {
    /// Adds a router's report that the server is unreachable.
    pub(crate) fn add(&mut self, reporter: Reporter<'_>, now: Timestamp) {
        if self.is_contradicted(reporter.node, now) {
            return;
        }
        self.reports.retain(|report| report.node != reporter.node && is_fresh(report, now));
        let of_zone = self.reports.iter().filter(|report| report.zone == reporter.zone).count();
        if of_zone < SAME_ZONE_QUORUM {
            let zone = reporter.zone.to_owned();
            self.reports.push(UnreachableReport { node: reporter.node, zone, at: now });
        }
    }

    fn is_contradicted(&self, node: u64, now: Timestamp) -> bool {
        self.contradicted.iter().any(|(router, until)| *router == node && now < *until)
    }

    /// Removes all reports after contact with the server, and ignores further ones of the same
    /// routers for a while: the fault lies in their network paths.
    pub(crate) fn contradict(&mut self, now: Timestamp) {
        self.verify_at = None;
        if self.reports.is_empty() {
            return;
        }
        let until = now.after(CONTRADICTION_TIME);
        let fresh = self.reports.drain(..).filter(|report| is_fresh(report, now));
        let routers = fresh.map(|report| (report.node, until));
        self.contradicted.extend(routers);
        let excess = self.contradicted.len().saturating_sub(MAX_CONTRADICTED);
        self.contradicted.drain(..excess);
    }

    /// Schedules a probe that verifies the reports.
    pub(crate) fn schedule_verification(&mut self, at: Timestamp) {
        self.verify_at.get_or_insert(at);
    }

    /// Whether a probe that verifies the reports is due; it counts as taken.
    pub(crate) fn take_due_verification(&mut self, now: Timestamp) -> bool {
        self.verify_at.take_if(|at| *at <= now).is_some()
    }

    /// Whether a router in `own_zone` treats the server as unreachable.
    pub(crate) fn is_confirmed(&self, own_zone: &str, now: Timestamp) -> bool {
        if self.reports.len() < SAME_ZONE_QUORUM.min(ZONE_QUORUM) {
            return false;
        }
        let fresh = || self.reports.iter().filter(|report| is_fresh(report, now));
        let near = fresh().filter(|report| report.zone == own_zone).count();
        let mut zones: Vec<&str> = fresh().map(|report| report.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        near >= SAME_ZONE_QUORUM || zones.len() >= ZONE_QUORUM
    }
}

fn is_fresh(report: &UnreachableReport, now: Timestamp) -> bool {
    now.since(report.at).as_millis() < u128::from(MAX_REPORT_AGE_MS)
}
