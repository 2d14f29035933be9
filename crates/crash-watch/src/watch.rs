//! The watch of one router.
//!
//! Each router counts the ends that all routers report, so that every one of them stops within
//! a relay's time of the third. The control replicas record the outcome, for routers that start
//! later and for the time after a loss of power.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use juniper_feed::{Feed, FleetView, RelayedBatch};
use juniper_protocol::message::{CrashUpdate, QuarantineRequest, RelayedUpdate, RouterUpdate};
use juniper_quarantine::{
    Clearance, CompletedRequests, Counted, CrashCounts, CrashProof, CrashReport,
    InterruptedRequest, InterruptedRequests, Rebroadcast, Report, ServerCrash,
};
use juniper_registry::InstanceId;
use juniper_types::{NodeId, RequestFingerprint, Timestamp};
use rand::RngExt;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{MissedTickBehavior, interval};

use crate::metrics::CrashMetrics;
use crate::outbox::{Outbox, read};

/// Pace at which reports are told again and the replicas are asked.
const PACE: Duration = Duration::from_millis(200);

/// Range of the time after which a router that saw none of the ends asks the replicas to record
/// a quarantine, in milliseconds. One that saw an end asks at once; the others ask only if none
/// of those could, and not all of them together.
const OTHERS_RECORD_AFTER_MS: std::ops::Range<u64> = 1_000..3_000;

/// Locks. A panic elsewhere leaves plain data, which is whole after each call.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a router knows of requests under which servers ended.
pub struct CrashWatch {
    feed: Feed,
    metrics: CrashMetrics,
    cuts: Mutex<InterruptedRequests>,
    ended_well: Mutex<CompletedRequests>,
    counts: Mutex<CrashCounts>,
    retelling: Mutex<Rebroadcast>,
    outbox: Outbox,
    /// What the replicas have recorded.
    recorded: Mutex<Arc<BTreeSet<RequestFingerprint>>>,
}

impl CrashWatch {
    /// Knows nothing yet. [`CrashWatch::run`] has to run beside it.
    pub fn new(feed: Feed, metrics: CrashMetrics) -> Self {
        CrashWatch {
            feed,
            metrics,
            cuts: Mutex::default(),
            ended_well: Mutex::default(),
            counts: Mutex::default(),
            retelling: Mutex::default(),
            outbox: Outbox::default(),
            recorded: Mutex::default(),
        }
    }

    /// The time of the reports.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.feed.started().elapsed())
    }

    /// The request's name if it must be sent to no server. It is only worked out if there is
    /// anything to compare it with.
    pub fn quarantined(
        &self,
        name: impl FnOnce() -> RequestFingerprint,
    ) -> Option<RequestFingerprint> {
        if lock(&self.counts).is_empty() && lock(&self.recorded).is_empty() {
            return None;
        }
        let request = name();
        let is_quarantined =
            self.is_recorded(&request) || lock(&self.counts).is_quarantined(&request);
        is_quarantined.then_some(request)
    }

    fn is_recorded(&self, request: &RequestFingerprint) -> bool {
        lock(&self.recorded).contains(request)
    }

    /// The connection of a request to a server that wasn't leaving broke before the answer was
    /// whole.
    pub fn note_cut(
        &self,
        instance: &InstanceId,
        address: SocketAddr,
        request: RequestFingerprint,
        sent_at: Timestamp,
    ) {
        let cut = InterruptedRequest { request, sent_at, cut_at: self.now() };
        let crash = lock(&self.cuts).cut(instance, address, cut);
        self.note_crash(crash);
    }

    /// Something shows that a server has ended.
    pub fn note_ended(&self, instance: &InstanceId, proof: CrashProof) {
        let crash = lock(&self.cuts).record_proof(instance, proof, self.now());
        self.note_crash(crash);
    }

    fn note_crash(&self, crash: Option<ServerCrash>) {
        let Some(ServerCrash { instance, proof, requests }) = crash else { return };
        let names: Vec<String> = requests.iter().map(|cut| cut.request.to_string()).collect();
        log::warn!(
            "event=server_ended instance={instance} proof={} requests={} fingerprints={}",
            proof.as_str(),
            requests.len(),
            names.join(",")
        );
        self.metrics.server_ended(proof, requests.len());
        let now = self.now();
        for InterruptedRequest { request, sent_at, cut_at } in requests {
            let (age, under_way) = (now.since(cut_at), cut_at.since(sent_at));
            let ended_well = lock(&self.ended_well).has(&request);
            let instance = instance.clone();
            let report = CrashReport { request, instance, age, in_flight_for, completed_before };
            self.count(&report, Duration::ZERO, "own");
            self.tell(Report::Crash(report));
        }
    }

    fn count(&self, report: &CrashReport, record_after: Duration, from: &str) {
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

    /// A server has answered the request whole: the ends before were not its doing.
    pub fn note_answered(&self, id: &str, request: RequestFingerprint) {
        lock(&self.ended_well).record(&request);
        let clearance = lock(&self.counts).record_completion(request, self.now());
        let Some(clearance) = clearance else { return };
        log::info!(
            "event=suspect_cleared request={id} fingerprint={request} crashes={}",
            clearance.instances.len()
        );
        if self.is_recorded(&request) {
            let feed = self.feed.clone();
            // The answer to the caller doesn't wait for it.
            tokio::spawn(async move { feed.record_release(request).await });
        }
        self.tell(Report::Clear(clearance));
    }

    fn tell(&self, report: Report) {
        self.outbox.push(&report);
        lock(&self.retelling).schedule(report, self.now());
    }

    /// Takes over what the replicas tell: lives of servers, and quarantines that are recorded. A
    /// request that they have released starts anew.
    pub fn take_over(&self, view: &FleetView) {
        self.find_new_lives(view);
        let mut recorded = lock(&self.recorded);
        if Arc::ptr_eq(&recorded, &view.quarantined) {
            return;
        }
        let former = std::mem::replace(&mut *recorded, Arc::clone(&view.quarantined));
        drop(recorded);
        for request in former.difference(&view.quarantined) {
            log::info!("event=quarantine_released fingerprint={request}");
            lock(&self.counts).release(request);
        }
        for request in view.quarantined.difference(&former) {
            log::info!("event=quarantine_in_force fingerprint={request}");
        }
        self.metrics.recorded.set(view.quarantined.len() as i64);
    }

    /// Looks for servers that have ended and are back in another life.
    fn find_new_lives(&self, view: &FleetView) {
        let mut cuts = lock(&self.cuts);
        if cuts.is_empty() {
            return;
        }
        let life_at = |address| {
            let mut servers = view.instances.iter();
            let known = servers.find(|known| SocketAddr::V4(known.report.address) == address);
            known.map(|known| &known.id)
        };
        let crashes = cuts.find_new_incarnations(self.now(), life_at);
        drop(cuts);
        crashes.into_iter().for_each(|crash| self.note_crash(Some(crash)));
    }

    /// Takes in what another router reports.
    fn hear(&self, from: NodeId, news: &CrashUpdate) {
        let from = from.to_string();
        for crash in &news.crashes {
            let after_ms = rand::rng().random_range(OTHERS_RECORD_AFTER_MS);
            self.count(&read(crash), Duration::from_millis(after_ms), &from);
        }
        for cleared in &news.cleared {
            let clearance = Clearance { request: cleared.request, instances: cleared.ids() };
            lock(&self.counts).apply_clearance(&clearance, self.now());
        }
    }

    fn hear_batch(&self, batch: &RelayedBatch) {
        for RelayedUpdate { from, update, .. } in batch.iter() {
            if let Some(crashes) = &update.crashes {
                self.hear(*from, crashes);
            }
        }
    }

    /// Tells the other routers, hears from them and has quarantines recorded, for ever.
    pub async fn run(self: Arc<Self>) {
        let mut received = self.feed.news();
        let mut ticks = interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            tokio::select! {
                batch = received.recv() => match batch {
                    Ok(batch) => self.hear_batch(&batch),
                    Err(RecvError::Lagged(missed)) => {
                        log::warn!("event=crash_news_missed batches={missed} reason=slow_router");
                    }
                    Err(RecvError::Closed) => return,
                },
                crashes = self.outbox.next() => {
                    let news = RouterUpdate { crashes: Some(crashes), ..RouterUpdate::default() };
                    self.feed.tell(news).await;
                }
                // Nearly always there is nothing to keep, and no reason to wake up.
                _ = ticks.tick(), if self.has_work() => {
                    turn += 1;
                    self.keep(turn).await;
                }
            }
        }
    }

    /// Whether anything is suspected, or has to be told again.
    fn has_work(&self) -> bool {
        !lock(&self.counts).is_empty() || !lock(&self.retelling).is_empty()
    }

    /// Tells again what is due, forgets what is old, and asks the replicas to record what isn't
    /// recorded yet: another replica each time.
    async fn keep(&self, turn: usize) {
        let now = self.now();
        let again = lock(&self.retelling).due(now);
        again.iter().for_each(|report| self.outbox.push(report));
        let recorded = Arc::clone(&lock(&self.recorded));
        let due = {
            let mut counts = lock(&self.counts);
            counts.remove_expired(now);
            self.metrics.suspects.set(counts.suspect_count() as i64);
            counts.due_records(now, |request| recorded.contains(request))
        };
        for unrecorded in due {
            let servers = unrecorded.servers.iter().map(|server| server.name().clone()).collect();
            let call = QuarantineRequest { request: unrecorded.request, servers };
            self.feed.record_quarantine(call, turn).await;
        }
    }
}
