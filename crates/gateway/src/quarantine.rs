//! Requests that are sent to no server, because servers ended under them.
//!
//! Each router counts the ends that all routers report, so that every one of them stops within
//! a relay's time of the third. The control replicas record the outcome, for routers that start
//! later and for the time after a loss of power.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniper_feed::FleetView;
use juniper_protocol::message::{Cleared, Crash, CrashNews, QuarantineCall};
use juniper_quarantine::{Clearance, Counted, CrashCounts, CrashReport, Report, Retelling};
use juniper_types::{NodeId, RequestFingerprint};
use rand::RngExt;
use tokio::time::{MissedTickBehavior, interval};

use crate::call::Call;
use crate::gateway::Gateway;
use crate::lock::lock;

/// Pace at which reports are told again and the replicas are asked.
const PACE: Duration = Duration::from_millis(200);

/// Range of the time after which a router that saw none of the ends asks the replicas to record
/// a quarantine, in milliseconds. One that saw an end asks at once; the others ask only if none
/// of those could, and not all of them together.
const OTHERS_RECORD_AFTER_MS: std::ops::Range<u64> = 1_000..3_000;

/// What this router knows of requests under which servers ended.
#[derive(Default)]
pub(crate) struct QuarantineBook {
    counts: Mutex<CrashCounts>,
    retelling: Mutex<Retelling>,
    /// What the replicas have recorded.
    recorded: Mutex<Arc<BTreeSet<RequestFingerprint>>>,
}

impl QuarantineBook {
    /// Whether there is anything that a request has to be compared with.
    fn is_empty(&self) -> bool {
        lock(&self.counts).is_empty() && lock(&self.recorded).is_empty()
    }

    fn is_recorded(&self, request: &RequestFingerprint) -> bool {
        lock(&self.recorded).contains(request)
    }
}

impl Gateway {
    /// Whether the request must be sent to no server.
    pub(crate) fn is_quarantined(&self, call: &Call) -> bool {
        if self.quarantine.is_empty() {
            return false;
        }
        let request = call.fingerprint(&self.settings.fingerprint_key);
        let is_quarantined = self.quarantine.is_recorded(&request)
            || lock(&self.quarantine.counts).is_quarantined(&request);
        if is_quarantined {
            log::info!("event=quarantined request={} fingerprint={request}", call.id());
        }
        is_quarantined
    }

    /// A server ended while requests of this router were under way on it.
    pub(crate) fn report_crash(&self, report: CrashReport) {
        self.count_crash(&report, Duration::ZERO, "own");
        self.tell_report(Report::Crash(report));
    }

    fn count_crash(&self, report: &CrashReport, record_after: Duration, from: &str) {
        let CrashReport { request, instance, .. } = report;
        let counted = lock(&self.quarantine.counts).crashed(report, self.now(), record_after);
        match counted {
            Counted::Known => {}
            Counted::Suspected(crashes) => log::info!(
                "event=crash_counted fingerprint={request} instance={instance} from={from} \
                 crashes={crashes}"
            ),
            Counted::Quarantined(servers) => {
                let names: Vec<&str> = servers.iter().map(|server| server.as_str()).collect();
                log::warn!(
                    "event=request_quarantined fingerprint={request} instance={instance} \
                     from={from} crashes={} servers={}",
                    servers.len(),
                    names.join(",")
                );
                self.metrics.quarantined.inc();
            }
        }
    }

    /// A server has answered the request whole: the ends before were not its doing.
    pub(crate) fn note_answered(&self, call: &Call) {
        if lock(&self.quarantine.counts).is_empty() {
            return;
        }
        let request = call.fingerprint(&self.settings.fingerprint_key);
        let clearance = lock(&self.quarantine.counts).answered(request, self.now());
        let Some(clearance) = clearance else { return };
        log::info!(
            "event=suspect_cleared request={} fingerprint={request} crashes={}",
            call.id(),
            clearance.instances.len()
        );
        if self.quarantine.is_recorded(&request) {
            let feed = self.feed.clone();
            // The answer to the caller doesn't wait for it.
            tokio::spawn(async move { feed.record_release(request).await });
        }
        self.tell_report(Report::Clear(clearance));
    }

    fn tell_report(&self, report: Report) {
        self.news.push_report(&report);
        lock(&self.quarantine.retelling).told(report, self.now());
    }

    /// Takes in what another router reports.
    pub(crate) fn hear_reports(&self, from: NodeId, news: &CrashNews) {
        let from = from.to_string();
        for Crash { request, instance, age_ms, under_way_ms } in &news.crashes {
            let report = CrashReport {
                request: *request,
                instance: instance.clone(),
                age: Duration::from_millis(*age_ms),
                under_way: Duration::from_millis(*under_way_ms),
            };
            let after_ms = rand::rng().random_range(OTHERS_RECORD_AFTER_MS);
            self.count_crash(&report, Duration::from_millis(after_ms), &from);
        }
        for Cleared { request, instances } in &news.cleared {
            let clearance = Clearance { request: *request, instances: instances.clone() };
            lock(&self.quarantine.counts).cleared(&clearance, self.now());
        }
    }

    /// Takes over what the replicas have recorded. A request that they have released starts anew.
    pub(crate) fn take_over_quarantine(&self, view: &FleetView) {
        let mut recorded = lock(&self.quarantine.recorded);
        if Arc::ptr_eq(&recorded, &view.quarantined) {
            return;
        }
        let former = std::mem::replace(&mut *recorded, Arc::clone(&view.quarantined));
        drop(recorded);
        for request in former.difference(&view.quarantined) {
            log::info!("event=quarantine_released fingerprint={request}");
            lock(&self.quarantine.counts).released(request);
        }
        for request in view.quarantined.difference(&former) {
            log::info!("event=quarantine_in_force fingerprint={request}");
        }
        self.metrics.quarantine_recorded.set(view.quarantined.len() as i64);
    }

    /// Tells reports again and has quarantines recorded, for ever.
    pub(crate) async fn keep_quarantine(self: Arc<Self>) {
        let mut ticks = interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for turn in 0.. {
            ticks.tick().await;
            let now = self.now();
            let due = lock(&self.quarantine.retelling).due(now);
            due.iter().for_each(|report| self.news.push_report(report));
            self.record_due(turn).await;
            let mut counts = lock(&self.quarantine.counts);
            counts.forget_old(now);
            self.metrics.suspects.set(counts.suspects() as i64);
        }
    }

    /// Asks the replicas to record what isn't recorded yet: another replica each time.
    async fn record_due(&self, turn: usize) {
        let recorded = Arc::clone(&lock(&self.quarantine.recorded));
        let is_recorded = |request: &RequestFingerprint| recorded.contains(request);
        let due = lock(&self.quarantine.counts).due_records(self.now(), is_recorded);
        for unrecorded in due {
            let call = QuarantineCall { request: unrecorded.request, servers: unrecorded.servers };
            self.feed.record_quarantine(call, turn).await;
        }
    }
}
