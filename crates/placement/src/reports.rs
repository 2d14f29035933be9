//! Servers that other routers can't reach.
//!
//! With hundreds of routers each of them sends to a given server once in a minute or so. If
//! each had to find out by itself that a server is down, the fleet would pay once for every
//! pair of router and server. So whoever finds out tells the others, probes the server and
//! tells again until it is back.
//!
//! A router that is cut off itself must not take servers away from the others. What it says
//! therefore counts only with the word of another router: one of the listener's own zone if it
//! is from there too, or one of another zone than its own.

use juniper_types::Timestamp;

use crate::health::MAX_PROBE_PAUSE;

/// Reporters of the listener's own zone that are believed; no more are remembered of any zone.
const ENOUGH_NEAR: usize = 2;

/// Zones whose routers are believed.
const ENOUGH_ZONES: usize = 2;

/// Time for which a report counts. Whoever reports probes at least each `MAX_PROBE_PAUSE` and
/// reports again; one such report may be lost.
const REPORT_AGE_MS: u64 = 2 * MAX_PROBE_PAUSE.as_millis() as u64 + 500;

/// The router that tells something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reporter<'a> {
    /// Its number.
    pub node: u64,
    /// Its zone.
    pub zone: &'a str,
}

#[derive(Clone, Debug)]
struct Report {
    node: u64,
    zone: String,
    at: Timestamp,
}

/// Reports that one server can't be reached.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports(Vec<Report>);

impl Reports {
    /// A router can't reach the server.
    pub(crate) fn unreachable(&mut self, reporter: Reporter<'_>, now: Timestamp) {
        self.0.retain(|report| report.node != reporter.node && is_fresh(report, now));
        let of_zone = self.0.iter().filter(|report| report.zone == reporter.zone).count();
        if of_zone < ENOUGH_NEAR {
            let zone = reporter.zone.to_owned();
            self.0.push(Report { node: reporter.node, zone, at: now });
        }
    }

    /// A router has reached the server: it lives.
    pub(crate) fn reached(&mut self) {
        self.0.clear();
    }

    /// Whether a router in `own_zone` should believe that the server can't be reached.
    pub(crate) fn are_believed(&self, own_zone: &str, now: Timestamp) -> bool {
        if self.0.len() < ENOUGH_NEAR.min(ENOUGH_ZONES) {
            return false;
        }
        let fresh = || self.0.iter().filter(|report| is_fresh(report, now));
        let near = fresh().filter(|report| report.zone == own_zone).count();
        let mut zones: Vec<&str> = fresh().map(|report| report.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        near >= ENOUGH_NEAR || zones.len() >= ENOUGH_ZONES
    }
}

fn is_fresh(report: &Report, now: Timestamp) -> bool {
    now.since(report.at).as_millis() < u128::from(REPORT_AGE_MS)
}
