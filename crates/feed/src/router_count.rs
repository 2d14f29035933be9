//! Number of routers in the fleet, from the reports of replicas. Performs no I/O and reads no clock.
//!
//! Routers divide common budgets by this number. A number that is too high leaves a part of a budget
//! unused; one that is too low lets all routers together exceed it. A router therefore shares a
//! budget only while most replicas have a quorum and report to it, and uses the highest number of
//! the last seconds:
//!
//! - A router that is partitioned from the quorum uses no share after [`MAX_REPORT_AGE`]; the
//!   others take over its share after [`RETENTION`], which is longer.
//! - A replica counts only the routers that reach it. Any two routers reach a common replica if each
//!   reaches a majority, so that the sum of the numbers that a majority reports is never too low.
//!   If all replicas report, the highest number is used. It is exact unless other routers reach
//!   only some of the replicas; the shares then add up to 1.17 at most.
//! - Replicas that have just restarted know few routers. After a gap a router uses no share for
//!   [`SETTLING_TIME`], in which the others reconnect, and its estimate doesn't fall for
//!   [`RETENTION`]. A router that stood still may not have noticed a gap, so that counts as one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use juniper_clock::BootInstant;
use juniper_types::NodeId;

use crate::follow::MAX_FULLY_FOLLOWED;

/// Time after the confirmation by a quorum for which a report is used; several confirmation
/// intervals.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time for which a higher number is retained.
const RETENTION: Duration = Duration::from_secs(5);

/// Longest time between two calls of a router that runs.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(1);

/// Time without gaps after which a share is used; longer than routers take to reconnect.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Latest report of a replica.
#[derive(Clone, Copy, Debug)]
struct Report {
    routers: u32,
    /// When a quorum had last confirmed that the replica was current.
    confirmed_at: BootInstant,
}

/// Highest numbers within the retention time.
#[derive(Clone, Debug, Default)]
struct RecentNumbers(VecDeque<(BootInstant, u32)>);

impl RecentNumbers {
    fn record(&mut self, number: u32, now: BootInstant) {
        while self.0.back().is_some_and(|(_, lower)| *lower <= number) {
            self.0.pop_back();
        }
        self.0.push_back((now, number));
        while self.0.front().is_some_and(|(at, _)| now.since(*at) > RETENTION) {
            self.0.pop_front();
        }
    }

    fn highest(&self) -> Option<u32> {
        self.0.front().map(|(_, number)| *number)
    }
}

/// Number of routers, as far as known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterCount {
    /// Best estimate.
    pub estimate: u32,
    /// Number by which a common budget may be divided; not below the actual one. `None` while this
    /// router may not use any share.
    pub sharing: Option<u32>,
}

/// Derives the number of routers from the reports of replicas.
#[derive(Clone, Debug, Default)]
pub struct RouterCounter {
    reports: BTreeMap<NodeId, Report>,
    estimates: RecentNumbers,
    bounds: RecentNumbers,
    /// Since when there has been a bound without gaps.
    bounded_since: Option<BootInstant>,
    /// Time of the last call with current reports, if there was one.
    reported_at: Option<BootInstant>,
}

impl RouterCounter {
    /// Records the number that a replica reports, which a quorum had last confirmed as current at
    /// `confirmed_at`.
    pub fn record(&mut self, replica: NodeId, routers: u32, confirmed_at: BootInstant) {
        self.reports.insert(replica, Report { routers, confirmed_at });
    }

    /// The number as of `now`, in a group of these members; `None` before the first report. Must be
    /// called every few hundred milliseconds.
    pub fn count(&mut self, members: &BTreeSet<NodeId>, now: BootInstant) -> Option<RouterCount> {
        let is_current = |report: &Report| now.since(report.confirmed_at) <= MAX_REPORT_AGE;
        let current: Vec<u32> = self
            .reports
            .iter()
            .filter(|(replica, report)| members.contains(replica) && is_current(report))
            .map(|(_, report)| report.routers)
            .collect();
        let is_continuous = self.reported_at.is_some_and(|at| now.since(at) <= MAX_CALL_INTERVAL);
        if let Some(highest) = current.iter().max() {
            if let Some(before) = self.estimates.highest().filter(|_| !is_continuous) {
                self.estimates.record(before, now);
            }
            self.estimates.record(*highest, now);
            self.reported_at = Some(now);
        }
        if !is_continuous {
            self.bounded_since = None;
        }
        match bound(&current, members.len()) {
            Some(bound) => {
                self.bounds.record(bound, now);
                self.bounded_since.get_or_insert(now);
            }
            None => self.bounded_since = None,
        }
        let estimate = self.estimates.highest()?.max(1);
        let is_settled = self.bounded_since.is_some_and(|at| now.since(at) >= SETTLING_TIME);
        let sharing = self.bounds.highest().filter(|_| is_settled).map(|bound| bound.max(1));
        Some(RouterCount { estimate, sharing })
    }
}

/// Number that isn't below the actual one, from the current reports of a group's members. Members
/// of a large group, of which routers follow only a few, report numbers for the whole fleet.
fn bound(reports: &[u32], members: usize) -> Option<u32> {
    let highest = reports.iter().copied().max()?;
    if members > MAX_FULLY_FOLLOWED || reports.len() == members {
        return Some(highest);
    }
    let is_majority = reports.len() * 2 > members;
    is_majority.then(|| reports.iter().sum())
}
