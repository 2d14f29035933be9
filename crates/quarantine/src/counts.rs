//! Crash counts of requests.
//!
//! Every router derives the same counts from the reports of all routers. A report names the
//! incarnation that crashed, so duplicates, also from different routers, count once, and the order
//! of reports doesn't matter.

use std::collections::BTreeMap;
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};

use crate::report::{Clearance, CrashReport};

/// Number of crashes after which a request is quarantined. One or two crashes may coincide with a
/// request by chance.
pub const CRASHES_BEFORE_QUARANTINE: usize = 3;

/// Crashes within this time of each other count once if the request was in flight on both servers
/// and has completed before. A power failure interrupts many copies of a frequent, harmless request
/// at once; a request that crashes its servers never completes.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(150);

/// Time since the latest change after which a request is no longer suspected; longer than callers
/// and automation take to retry.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Maximum number of suspects, at about 200 bytes each. A crash adds at most as many as the server
/// has slots.
const MAX_SUSPECTS: usize = 4_096;

/// Number of suspects that are evicted together when the maximum is reached.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 8;

/// Maximum number of crashes recorded for one suspect.
const MAX_CRASHES: usize = 16;

/// Interval at which an unrecorded quarantine is sent to the replicas again.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Effect of a crash report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CountOutcome {
    /// No effect: the crash was known, or the request is quarantined.
    Known,
    /// The request is suspected; this many crashes count against it.
    Suspected(usize),
    /// The request has been quarantined after crashes of these servers.
    Quarantined(Vec<InstanceId>),
}

/// Quarantine that the replicas haven't recorded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnrecordedQuarantine {
    /// Fingerprint of the request.
    pub request: RequestFingerprint,
    /// Servers that crashed under the request.
    pub servers: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
struct Crash {
    instance: InstanceId,
    sent_at: Timestamp,
    at: Timestamp,
    completed: bool,
    is_cleared: bool,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    changed_at: Timestamp,
    /// When to ask the replicas to record the quarantine; set while the request is quarantined.
    record_at: Option<Timestamp>,
}

impl Crash {
    /// Whether both crashes may have one cause other than the request. That isn't so if the request
    /// was dispatched to this server after the earlier crash.
    fn has_same_cause(&self, earlier: &Crash) -> bool {
        let completed = self.completed || earlier.completed;
        completed && self.at.since(earlier.at) < SIMULTANEOUS_WINDOW && self.sent_at <= earlier.at
    }
}

impl Suspect {
    fn contains(&self, instance: &InstanceId) -> bool {
        self.crashes.iter().any(|crash| crash.instance.is_same(instance))
    }

    /// Crashes that count against the request, earliest first; simultaneous ones count once.
    fn counted_crashes(&self) -> Vec<&Crash> {
        let mut crashes: Vec<&Crash> =
            self.crashes.iter().filter(|crash| !crash.is_cleared).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut counted_crashes: Vec<&Crash> = Vec::new();
        for crash in crashes {
            let has_same_cause =
                counted_crashes.last().is_some_and(|last| crash.has_same_cause(last));
            if !has_same_cause {
                counted_crashes.push(crash);
            }
        }
        counted_crashes
    }

    fn servers(&self) -> Vec<InstanceId> {
        self.counted_crashes().into_iter().map(|crash| crash.instance.clone()).collect()
    }

    fn add(&mut self, crash: Crash) {
        if self.crashes.len() < MAX_CRASHES {
            self.crashes.push(crash);
        }
    }
}

/// Crash counts of all suspected requests.
#[derive(Clone, Debug, Default)]
pub struct CrashCounts {
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl CrashCounts {
    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Number of suspected requests.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Whether the request is quarantined and must not be dispatched.
    pub fn is_quarantined(&self, request: &RequestFingerprint) -> bool {
        self.suspects.get(request).is_some_and(|suspect| suspect.record_at.is_some())
    }

    /// Records a crash under a request. If this quarantines the request, the record is due after
    /// `record_after`, unless another router has had it recorded by then.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        now: Timestamp,
        record_after: Duration,
    ) -> CountOutcome {
        let suspect = self.suspect(report.request, now);
        if suspect.contains(&report.instance) || suspect.record_at.is_some() {
            return CountOutcome::Known;
        }
        let at = now.before(report.age);
        let sent_at = at.before(report.in_flight_for);
        let (instance, completed) = (report.instance.clone(), report.completed_before);
        suspect.add(Crash { instance, sent_at, at, completed, is_cleared: false });
        suspect.changed_at = now;
        let servers = suspect.servers();
        if servers.len() < CRASHES_BEFORE_QUARANTINE {
            return CountOutcome::Suspected(servers.len());
        }
        suspect.record_at = Some(now.after(record_after));
        CountOutcome::Quarantined(servers)
    }

    /// Records that the request completed. Returns the clearance to report to the other routers if
    /// crashes counted against the request.
    pub fn record_completion(
        &mut self,
        request: RequestFingerprint,
        now: Timestamp,
    ) -> Option<Clearance> {
        let suspect = self.suspects.get(&request)?;
        let counted_crashes = suspect.crashes.iter().filter(|crash| !crash.is_cleared);
        let instances: Vec<InstanceId> =
            counted_crashes.map(|crash| crash.instance.clone()).collect();
        if instances.is_empty() {
            return None;
        }
        let clearance = Clearance { request, instances };
        self.apply_clearance(&clearance, now);
        Some(clearance)
    }

    /// Applies a clearance. Crashes that weren't reported yet are recorded as cleared, so that a
    /// later report of them doesn't count.
    pub fn apply_clearance(&mut self, clearance: &Clearance, now: Timestamp) {
        let suspect = self.suspect(clearance.request, now);
        for instance in &clearance.instances {
            if !suspect.contains(instance) {
                let instance = instance.clone();
                let (sent_at, at, completed) = (now, now, true);
                suspect.add(Crash { instance, sent_at, at, completed, is_cleared: true });
            }
        }
        let cleared = suspect.crashes.iter_mut();
        cleared
            .filter(|crash| clearance.instances.iter().any(|id| id.is_same(&crash.instance)))
            .for_each(|crash| crash.is_cleared = true);
        if suspect.counted_crashes().len() < CRASHES_BEFORE_QUARANTINE {
            suspect.record_at = None;
        }
    }

    /// Removes a request that the replicas have released from quarantine.
    pub fn release(&mut self, request: &RequestFingerprint) {
        self.suspects.remove(request);
    }

    /// Quarantines that are due to be sent to the replicas for recording. They become due again
    /// until they are recorded.
    pub fn due_records(
        &mut self,
        now: Timestamp,
        is_recorded: impl Fn(&RequestFingerprint) -> bool,
    ) -> Vec<UnrecordedQuarantine> {
        let mut due = Vec::new();
        for (request, suspect) in &mut self.suspects {
            let is_due = suspect.record_at.is_some_and(|at| at <= now);
            if is_due && !is_recorded(request) {
                suspect.record_at = Some(now.after(RECORD_RETRY_INTERVAL));
                due.push(UnrecordedQuarantine { request: *request, servers: suspect.servers() });
            }
        }
        due
    }

    /// Removes suspects that haven't changed for a while.
    pub fn remove_expired(&mut self, now: Timestamp) {
        self.suspects.retain(|_, suspect| now.since(suspect.changed_at) < SUSPECT_TTL);
    }

    fn suspect(&mut self, request: RequestFingerprint, now: Timestamp) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&request) {
            self.evict();
        }
        let new_suspect = || Suspect { changed_at: now, ..Suspect::default() };
        self.suspects.entry(request).or_insert_with(new_suspect)
    }

    /// Evicts a batch of suspects, since each eviction scans all of them: those with the fewest
    /// crashes first, and the oldest first among these.
    fn evict(&mut self) {
        let candidates = self.suspects.iter().map(|(request, suspect)| {
            (suspect.counted_crashes().len(), suspect.changed_at, *request)
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_unstable();
        for (_, _, request) in candidates.into_iter().take(EVICTION_BATCH) {
            self.suspects.remove(&request);
        }
    }
}
