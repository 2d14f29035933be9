//! Reports of other routers that a server is unreachable.
//!
//! With hundreds of routers, each router sends to a given server only about once a minute. If every
//! router had to detect a failed server by itself, each of them would lose a request. So the first
//! router to detect the failure reports it, probes the server, and repeats the report until the
//! server is reachable again.
//!
//! A router that is itself partitioned must not make other routers avoid healthy servers. A report
//! therefore needs confirmation: by two routers of the receiver's own zone, or by routers of two
//! zones.

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
pub(crate) struct UnreachableReports(Vec<UnreachableReport>);

impl UnreachableReports {
    /// Adds a router's report that the server is unreachable.
    pub(crate) fn add(&mut self, reporter: Reporter<'_>, now: Timestamp) {
        self.0.retain(|report| report.node != reporter.node && is_fresh(report, now));
        let of_zone = self.0.iter().filter(|report| report.zone == reporter.zone).count();
        if of_zone < SAME_ZONE_QUORUM {
            let zone = reporter.zone.to_owned();
            self.0.push(UnreachableReport { node: reporter.node, zone, at: now });
        }
    }

    /// Removes all reports once a router has reached the server.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a router in `own_zone` treats the server as unreachable.
    pub(crate) fn is_confirmed(&self, own_zone: &str, now: Timestamp) -> bool {
        if self.0.len() < SAME_ZONE_QUORUM.min(ZONE_QUORUM) {
            return false;
        }
        let fresh = || self.0.iter().filter(|report| is_fresh(report, now));
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
