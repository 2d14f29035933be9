//! Crash watch of one router.
//!
//! Each router counts the crashes that all routers report, so that all of them stop dispatching a
//! request shortly after the crash that quarantines it. The control replicas record quarantines for
//! routers that start later and for the time after a power loss.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use juniper_feed::{Feed, FleetView, RelayedBatch};
use juniper_protocol::message::{CrashUpdate, QuarantineRequest, RelayedUpdate};
use juniper_quarantine::{
    Clearance, CompletedRequests, CountOutcome, CrashCounts, CrashProof, CrashReport,
    InterruptedParts, InterruptedRequest, InterruptedRequests, Rebroadcast, Report, ServerCrash,
    UnrecordedQuarantine,
};
use juniper_registry::InstanceId;
use juniper_types::{NodeId, RequestFingerprint, Timestamp};
use rand::RngExt;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};

use crate::metrics::CrashMetrics;
use crate::outbox::{Outbox, decode_report};
use crate::parts::{PartWatch, join};

/// Interval between checks for reports to be rebroadcast and for quarantines to be recorded.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);

/// Range of the delay, in milliseconds, after which a router that observed none of the crashes asks
/// the replicas to record a quarantine. A router that observed a crash asks at once; the others ask
/// only in case that request was lost, and at random times.
const PEER_RECORD_DELAY_MS: std::ops::Range<u64> = 1_000..3_000;

/// Draws the delay after which this router has a quarantine or release recorded that another router
/// has reported.
pub(crate) fn peer_record_delay() -> Duration {
    Duration::from_millis(rand::rng().random_range(PEER_RECORD_DELAY_MS))
}

/// Maximum number of servers that a record lists; replicas refuse longer lists.
const MAX_RECORDED_SERVERS: usize = 16;

/// Locks a mutex, ignoring poisoning: the data is consistent after each call.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Crashes and quarantined requests as known to one router.
pub struct CrashWatch {
    feed: Feed,
    metrics: CrashMetrics,
    interrupted: Mutex<InterruptedRequests>,
    completed: Mutex<CompletedRequests>,
    counts: Mutex<CrashCounts>,
    parts: PartWatch,
    rebroadcast: Mutex<Rebroadcast>,
    outbox: Outbox,
    /// Quarantined requests that the replicas have recorded.
    recorded: Mutex<Arc<BTreeSet<RequestFingerprint>>>,
}

impl CrashWatch {
    /// Creates a watch without state. [`CrashWatch::run`] has to run as a task.
    pub fn new(feed: Feed, metrics: CrashMetrics) -> Self {
        CrashWatch {
            feed,
            metrics,
            interrupted: Mutex::default(),
            completed: Mutex::default(),
            counts: Mutex::default(),
            parts: PartWatch::default(),
            rebroadcast: Mutex::default(),
            outbox: Outbox::default(),
            recorded: Mutex::default(),
        }
    }

    /// Current time on the clock of the reports.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.time_origin().elapsed())
    }

    /// Fingerprint of the request if it is quarantined. `fingerprint` is called only if any request
    /// is suspected or quarantined.
    pub fn quarantined(
        &self,
        fingerprint: impl FnOnce() -> RequestFingerprint,
    ) -> Option<RequestFingerprint> {
        if lock(&self.counts).is_empty() && lock(&self.recorded).is_empty() {
            return None;
        }
        let request = fingerprint();
        let is_quarantined =
            self.is_recorded(&request) || lock(&self.counts).is_quarantined(&request);
        is_quarantined.then_some(request)
    }

    fn is_recorded(&self, request: &RequestFingerprint) -> bool {
        lock(&self.recorded).contains(request)
    }

    /// Parts of a prompt that are quarantined, all of them. `parts` is called only if any part is
    /// suspected or quarantined.
    pub fn quarantined_parts<'a>(
        &self,
        parts: impl FnOnce() -> &'a [RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        self.parts.quarantined(parts)
    }

    /// Whether a request may try the quarantined part, if no other request of the fleet does so at
    /// the time.
    pub fn is_trial_due(&self, part: &RequestFingerprint) -> bool {
        self.parts.is_trial_due(part, self.now())
    }

    /// Records that the connection of a request broke before its answer was known to be complete, on
    /// a server that wasn't departing. `prompt` is empty for a request without a prompt.
    pub fn record_interrupted_request(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
        request: RequestFingerprint,
        sent_at: Timestamp,
        prompt: InterruptedParts<'_>,
    ) {
        let interrupted = InterruptedRequest { request, sent_at, interrupted_at: self.now() };
        let crash = lock(&self.interrupted).record(instance, address, interrupted, prompt);
        self.handle_crash(crash);
    }

    /// Records proof that a server has crashed.
    pub fn record_server_crash(&self, instance: &InstanceId, proof: CrashProof) {
        let crash = lock(&self.interrupted).record_proof(instance, proof, self.now());
        self.handle_crash(crash);
    }

    fn handle_crash(&self, crash: Option<ServerCrash>) {
        let Some(crash) = crash else { return };
        let ServerCrash { instance, proof, requests, parts, trial, interrupted_at } = crash;
        log::warn!(
            "event=server_ended instance={instance} proof={} requests={} fingerprints={} parts={}",
            proof.as_str(),
            requests.len(),
            join(requests.iter().map(|interrupted| interrupted.request)),
            join(parts.iter().copied())
        );
        self.metrics.record_crash(proof, requests.len());
        let now = self.now();
        for InterruptedRequest { request, sent_at, interrupted_at } in requests {
            let (age, in_flight_for) = (now.since(interrupted_at), interrupted_at.since(sent_at));
            let completed_before = lock(&self.completed).contains(&request);
            let instance = instance.clone();
            let report = CrashReport { request, instance, age, in_flight_for, completed_before };
            self.count_crash(&report, Duration::ZERO, "own");
            self.publish_report(Report::Crash(report));
        }
        let reported = self.parts.record_own_crash(&instance, interrupted_at, &parts, trial, now);
        reported.into_iter().for_each(|report| self.publish_report(Report::PartCrash(report)));
    }

    fn count_crash(&self, report: &CrashReport, record_after: Duration, from: &str) {
        let CrashReport { request, instance, .. } = report;
        let counted = lock(&self.counts).record_crash(report, self.now(), record_after);
        match counted {
            CountOutcome::Known => {}
            CountOutcome::Suspected(crashes) => log::info!(
                "event=crash_counted fingerprint={request} instance={instance} from={from} \
                 crashes={crashes}"
            ),
            CountOutcome::Quarantined(servers) => {
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

    /// Records that a server completed the request, which clears it of earlier crashes.
    pub fn record_completed_request(&self, id: &str, request: RequestFingerprint) {
        lock(&self.completed).record(&request);
        let clearance = lock(&self.counts).record_completion(request, self.now());
        let Some(clearance) = clearance else { return };
        log::info!(
            "event=suspect_cleared request={id} fingerprint={request} crashes={}",
            clearance.instances.len()
        );
        if self.is_recorded(&request) {
            let feed = self.feed.clone();
            // Recorded in the background, so that the answer to the caller isn't delayed.
            tokio::spawn(async move { feed.record_release(request).await });
        }
        self.publish_report(Report::Clear(clearance));
    }

    /// Records that a server completed a prompt with these shared parts, and so survived them.
    pub fn record_completed_parts(&self, id: &str, parts: &[RequestFingerprint]) {
        let reports = self.parts.record_completion(id, parts, self.now());
        reports.into_iter().for_each(|report| self.publish_report(Report::PartCompletion(report)));
    }

    fn publish_report(&self, report: Report) {
        self.outbox.push(&report);
        lock(&self.rebroadcast).schedule(report, self.now());
    }

    /// Applies a view of the fleet: incarnations of servers, and recorded quarantines. The count of
    /// a request that was released starts anew.
    pub fn apply_view(&self, view: &FleetView) {
        self.find_restarts(view);
        let mut recorded = lock(&self.recorded);
        if Arc::ptr_eq(&recorded, &view.quarantined) {
            return;
        }
        let former = std::mem::replace(&mut *recorded, Arc::clone(&view.quarantined));
        drop(recorded);
        for request in former.difference(&view.quarantined) {
            log::info!("event=quarantine_released fingerprint={request}");
            lock(&self.counts).release(request);
            self.parts.release(request, self.now());
        }
        for request in view.quarantined.difference(&former) {
            log::info!("event=quarantine_in_force fingerprint={request}");
            self.parts.adopt(*request, self.now());
        }
        self.metrics.recorded.set(view.quarantined.len() as i64);
    }

    /// Looks for servers that have crashed and restarted.
    fn find_restarts(&self, view: &FleetView) {
        let mut interrupted = lock(&self.interrupted);
        if interrupted.is_empty() {
            return;
        }
        let incarnation_at = |address| {
            let mut servers = view.instances.iter();
            let known = servers.find(|known| SocketAddr::V4(known.report.address) == address);
            known.map(|known| &known.id)
        };
        let crashes = interrupted.find_new_incarnations(self.now(), incarnation_at);
        drop(interrupted);
        crashes.into_iter().for_each(|crash| self.handle_crash(Some(crash)));
    }

    /// Applies an update of another router.
    fn apply_peer_update(&self, from: NodeId, update: &CrashUpdate) {
        let from = from.to_string();
        for crash in &update.crashes {
            self.count_crash(&decode_report(crash), peer_record_delay(), &from);
        }
        for cleared in &update.cleared {
            let clearance = Clearance { request: cleared.request, instances: cleared.ids() };
            lock(&self.counts).apply_clearance(&clearance, self.now());
        }
    }

    fn apply_peer_updates(&self, batch: &RelayedBatch) {
        for RelayedUpdate { from, update, .. } in batch.iter() {
            if let Some(crashes) = &update.crashes {
                self.apply_peer_update(*from, crashes);
            }
            if let Some(parts) = &update.parts {
                self.parts.apply_peer_update(*from, parts, self.now());
            }
        }
    }

    /// Exchanges reports with the other routers and has quarantines recorded. Runs forever.
    pub async fn run(self: Arc<Self>) {
        let mut received = self.feed.subscribe_router_updates();
        let mut ticks = interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut round = 0;
        loop {
            tokio::select! {
                batch = received.recv() => match batch {
                    Ok(batch) => self.apply_peer_updates(&batch),
                    Err(RecvError::Lagged(missed)) => {
                        log::warn!("event=crash_news_missed batches={missed} reason=slow_router");
                    }
                    Err(RecvError::Closed) => return,
                },
                update = self.outbox.next_update() => self.feed.publish(update).await,
                // The timer is polled only when there is work, so that an idle task doesn't wake
                // up.
                _ = ticks.tick(), if self.has_pending_work() => {
                    round += 1;
                    self.run_maintenance(round).await;
                }
            }
        }
    }

    /// Whether any request is suspected, or any report has to be rebroadcast.
    fn has_pending_work(&self) -> bool {
        !lock(&self.counts).is_empty()
            || self.parts.has_suspects()
            || !lock(&self.rebroadcast).is_empty()
    }

    /// Rebroadcasts due reports, removes expired state, and asks the replicas to record quarantines
    /// that aren't recorded yet: another replica in each round.
    async fn run_maintenance(&self, round: usize) {
        let now = self.now();
        let due_reports = lock(&self.rebroadcast).due(now);
        due_reports.iter().for_each(|report| self.outbox.push(report));
        let recorded = Arc::clone(&lock(&self.recorded));
        let unrecorded_requests = {
            let mut counts = lock(&self.counts);
            counts.remove_expired(now);
            self.metrics.suspects.set(counts.suspect_count() as i64);
            counts.due_records(now, |request| recorded.contains(request))
        };
        let (unrecorded_parts, released_parts) = self.parts.run_maintenance(now);
        self.metrics.suspected_parts.set(self.parts.suspect_count() as i64);
        for unrecorded in unrecorded_requests.into_iter().chain(unrecorded_parts) {
            self.record_quarantine(unrecorded, round).await;
        }
        for part in released_parts {
            self.feed.record_release(part).await;
        }
    }

    async fn record_quarantine(&self, unrecorded: UnrecordedQuarantine, round: usize) {
        let servers = unrecorded.servers.iter().take(MAX_RECORDED_SERVERS);
        let servers = servers.map(|server| server.name().clone()).collect();
        let call = QuarantineRequest { request: unrecorded.request, servers };
        self.feed.record_quarantine(call, round).await;
    }
}
