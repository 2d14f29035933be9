//! Parts of prompts that crash servers, whatever else their prompts hold.
//!
//! Every router derives the same quarantines from the reports of all routers. A quarantine is a
//! presumption until one request with the part was tried: a complete answer ends it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use juniper_registry::InstanceId;
use juniper_types::{RequestFingerprint, Timestamp};

use crate::counts::UnrecordedQuarantine;
use crate::part_report::{PartCompletionReport, PartCrashReport};
use crate::part_suspect::PartSuspect;
use crate::part_verdicts::{CRASHES_BEFORE_PART_QUARANTINE, explain};

/// Time from a quarantine to the first trial, in which the reports of all routers arrive. Often they
/// show already which of several parts crashes servers.
const FIRST_TRIAL_DELAY: Duration = Duration::from_millis(300);

/// Time from a failed trial, or from the start of a recorded quarantine, to the next trial; doubles
/// with each failed trial.
const RETRIAL_DELAY: Duration = Duration::from_secs(600);

/// Number of failed trials after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// Time after which a quarantine is recorded without a trial.
const UNTRIED_RECORD_DELAY: Duration = Duration::from_secs(2);

/// Interval at which an unrecorded quarantine is sent to the replicas again.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time since the latest change after which a part is no longer suspected.
const SUSPECT_TTL: Duration = Duration::from_secs(600);

/// Maximum number of crashed servers whose time is kept.
const MAX_CRASHED_SERVERS: usize = 256;

/// Maximum number of suspects, at about 300 bytes each.
const MAX_SUSPECTS: usize = 4_096;

/// Number of suspects that are evicted together when the maximum is reached.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 8;

/// Change of the quarantines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// A part was quarantined after crashes of these servers.
    Quarantined(RequestFingerprint, Vec<InstanceId>),
    /// A part was released, since another one explains its crashes or a prompt with it completed.
    Released(RequestFingerprint),
}

#[derive(Clone, Debug)]
struct PartQuarantine {
    /// Servers that crashed under the part; empty if only the record of the replicas is known.
    servers: Vec<InstanceId>,
    /// Whether this router's evidence supports the quarantine.
    is_evident: bool,
    /// Whether a trial has shown that the part crashes servers.
    is_tried: bool,
    /// Whether the replicas have recorded the quarantine.
    is_recorded: bool,
    /// Start of the quarantine, or its latest failed trial.
    judged_at: Timestamp,
    record_at: Timestamp,
    /// Whether this router's evidence no longer supports a recorded quarantine. It may be incomplete,
    /// so a trial decides.
    is_doubted: bool,
    /// When to ask the replicas to release the part; set once a prompt with it was answered.
    release_at: Option<Timestamp>,
}

impl PartQuarantine {
    fn starting(now: Timestamp, record_after: Duration) -> Self {
        PartQuarantine {
            servers: Vec::new(),
            is_evident: false,
            is_tried: false,
            is_recorded: false,
            judged_at: now,
            record_at: now.after(record_after),
            is_doubted: false,
            release_at: None,
        }
    }
}

/// Suspected and quarantined parts of prompts.
#[derive(Clone, Debug, Default)]
pub struct PartCrashes {
    suspects: BTreeMap<RequestFingerprint, PartSuspect>,
    quarantined: BTreeMap<RequestFingerprint, PartQuarantine>,
    /// Latest crashed servers with the time of the crash, which is the same for all parts.
    crashed_at: VecDeque<(InstanceId, Timestamp)>,
}

impl PartCrashes {
    /// Whether no part is suspected or quarantined.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty()
    }

    /// Whether any part is suspected, so that state has to be recorded or removed in time.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether prompts with the part must not be dispatched.
    pub fn is_quarantined(&self, part: &RequestFingerprint) -> bool {
        self.quarantined.contains_key(part)
    }

    /// Whether a request may try the part, if no other request of the fleet does so at the time.
    pub fn is_trial_due(&self, part: &RequestFingerprint, now: Timestamp) -> bool {
        let Some(quarantine) = self.quarantined.get(part) else { return false };
        let failed_trials =
            self.suspects.get(part).map_or(0, |suspect| suspect.failed_trials().len());
        let doublings = u32::try_from(failed_trials).unwrap_or(u32::MAX).min(MAX_DOUBLINGS);
        let is_untried = quarantine.is_evident && !quarantine.is_tried;
        let delay = match is_untried || quarantine.is_doubted {
            true => FIRST_TRIAL_DELAY,
            false => RETRIAL_DELAY * 2_u32.pow(doublings),
        };
        now.since(quarantine.judged_at) >= delay
    }

    /// Records a crash. Quarantines that it causes are to be recorded after `record_after` at the
    /// earliest, unless another router has had them recorded by then.
    pub fn record_crash(
        &mut self,
        report: &PartCrashReport,
        now: Timestamp,
        record_after: Duration,
    ) -> Vec<PartChange> {
        let at = self.crash_time(&report.instance, now.before(report.age));
        let mut needs_verdict = false;
        for part in &report.parts {
            let suspect = self.suspect(*part, now);
            let is_new = suspect.add(&report.instance, at, now);
            if report.trial == Some(*part) {
                suspect.fail_trial(&report.instance);
            }
            needs_verdict |= is_new && suspect.count(&[]) >= CRASHES_BEFORE_PART_QUARANTINE;
        }
        if let Some(tried) = report.trial.and_then(|part| self.quarantined.get_mut(&part)) {
            tried.judged_at = now;
        }
        match needs_verdict {
            true => self.update_quarantines(now, record_after),
            false => Vec::new(),
        }
    }

    /// Time of a server's crash. Reports of several routers differ by the time that they travelled.
    fn crash_time(&mut self, instance: &InstanceId, at: Timestamp) -> Timestamp {
        let known = self.crashed_at.iter().find(|(crashed, _)| crashed.is_same(instance));
        if let Some((_, known)) = known {
            return *known;
        }
        if self.crashed_at.len() >= MAX_CRASHED_SERVERS {
            self.crashed_at.pop_front();
        }
        self.crashed_at.push_back((instance.clone(), at));
        at
    }

    /// Records a complete answer to a prompt with the part. Returns the report for the other routers
    /// if crashes counted against the part or it was quarantined, and the changes.
    pub fn record_completion(
        &mut self,
        part: RequestFingerprint,
        now: Timestamp,
    ) -> Option<(PartCompletionReport, Vec<PartChange>)> {
        let is_quarantined = self.is_quarantined(&part);
        let is_suspected = self.suspects.get(&part).is_some_and(|suspect| suspect.count(&[]) > 0);
        if !is_quarantined && !is_suspected {
            return None;
        }
        let report = PartCompletionReport { part, age: Duration::ZERO };
        Some((report, self.apply_completion(&report, now, Duration::ZERO)))
    }

    /// Applies a report of a complete answer. A recorded quarantine is to be released after
    /// `release_after`, unless another router has had it released by then.
    pub fn apply_completion(
        &mut self,
        report: &PartCompletionReport,
        now: Timestamp,
        release_after: Duration,
    ) -> Vec<PartChange> {
        let PartCompletionReport { part, age } = *report;
        self.suspect(part, now).complete(now.before(age), now);
        let Some(quarantine) = self.quarantined.get_mut(&part) else { return Vec::new() };
        quarantine.release_at.get_or_insert(now.after(release_after));
        self.update_quarantines(now, release_after)
    }

    /// Adopts a quarantine that the replicas have recorded.
    pub fn adopt(&mut self, part: RequestFingerprint, now: Timestamp) {
        // All crashes are explained by another part, or were taken back, since the record was asked for.
        let is_doubted = self.suspects.get(&part).is_some_and(|suspect| {
            suspect.has_completed() || suspect.count(&[]) >= CRASHES_BEFORE_PART_QUARANTINE
        });
        let quarantine = self.quarantined.entry(part).or_insert_with(|| PartQuarantine {
            is_doubted,
            ..PartQuarantine::starting(now, Duration::ZERO)
        });
        quarantine.is_recorded = true;
    }

    /// Parts whose quarantine the replicas have recorded.
    pub fn recorded(&self) -> impl Iterator<Item = RequestFingerprint> {
        let recorded = self.quarantined.iter().filter(|(_, quarantine)| quarantine.is_recorded);
        recorded.map(|(part, _)| *part)
    }

    /// Removes a part that the replicas have released from quarantine. Earlier crashes no longer
    /// count, also those that are reported again.
    pub fn release(&mut self, part: &RequestFingerprint, now: Timestamp) {
        self.quarantined.remove(part);
        if let Some(suspect) = self.suspects.get_mut(part) {
            suspect.complete(now, now);
        }
    }

    /// Recorded quarantines whose release is due. They become due again until they are released.
    pub fn due_releases(&mut self, now: Timestamp) -> Vec<RequestFingerprint> {
        let mut due = Vec::new();
        for (part, quarantine) in &mut self.quarantined {
            let is_refuted = quarantine.is_recorded && !quarantine.is_evident;
            if is_refuted && quarantine.release_at.is_some_and(|at| at <= now) {
                quarantine.release_at = Some(now.after(RECORD_RETRY_INTERVAL));
                due.push(*part);
            }
        }
        due
    }

    /// Quarantines that are due to be sent to the replicas for recording. They become due again until
    /// they are recorded.
    pub fn due_records(&mut self, now: Timestamp) -> Vec<UnrecordedQuarantine> {
        let mut due = Vec::new();
        for (part, quarantine) in &mut self.quarantined {
            let delay = if quarantine.is_tried { Duration::ZERO } else { UNTRIED_RECORD_DELAY };
            if !quarantine.is_recorded && quarantine.record_at.after(delay) <= now {
                quarantine.record_at = now.after(RECORD_RETRY_INTERVAL);
                let servers = quarantine.servers.clone();
                due.push(UnrecordedQuarantine { request: *part, servers });
            }
        }
        due
    }

    /// Removes suspects that haven't changed for a while. Recorded quarantines stay.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<PartChange> {
        let before = self.suspects.len();
        self.suspects.retain(|part, suspect| {
            let is_recorded = self.quarantined.get(part).is_some_and(|known| known.is_recorded);
            is_recorded || now.since(suspect.changed_at) < SUSPECT_TTL
        });
        match self.suspects.len() < before {
            true => self.update_quarantines(now, Duration::ZERO),
            false => Vec::new(),
        }
    }

    /// Number of suspected parts.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Derives the quarantines from the evidence. Recorded ones stay until the replicas release them.
    fn update_quarantines(&mut self, now: Timestamp, record_after: Duration) -> Vec<PartChange> {
        let mut found = explain(&self.suspects);
        let mut changes = Vec::new();
        self.quarantined.retain(|part, quarantine| {
            let was_evident = quarantine.is_evident;
            let explanation = found.remove(part);
            quarantine.is_evident = explanation.is_some();
            match explanation {
                Some(explanation) => {
                    quarantine.is_tried = explanation.is_tried;
                    quarantine.servers = explanation.servers;
                    (quarantine.is_doubted, quarantine.release_at) = (false, None);
                }
                None if was_evident => {
                    quarantine.is_doubted = true;
                    changes.push(PartChange::Released(*part));
                }
                None => {}
            }
            quarantine.is_evident || quarantine.is_recorded
        });
        for (part, explanation) in found {
            changes.push(PartChange::Quarantined(part, explanation.servers.clone()));
            let quarantine = PartQuarantine {
                servers: explanation.servers,
                is_evident: true,
                is_tried: explanation.is_tried,
                ..PartQuarantine::starting(now, record_after)
            };
            self.quarantined.insert(part, quarantine);
        }
        changes
    }

    fn suspect(&mut self, part: RequestFingerprint, now: Timestamp) -> &mut PartSuspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&part) {
            self.evict();
        }
        self.suspects.entry(part).or_insert_with(|| PartSuspect::at(now))
    }

    /// Evicts a batch of suspects that aren't quarantined: those with the fewest crashes first, and the
    /// oldest first among these.
    fn evict(&mut self) {
        let unquarantined =
            self.suspects.iter().filter(|(part, _)| !self.quarantined.contains_key(*part));
        let mut candidates: Vec<_> = unquarantined
            .map(|(part, suspect)| (suspect.count(&[]), suspect.changed_at, *part))
            .collect();
        candidates.sort_unstable();
        for (_, _, part) in candidates.into_iter().take(EVICTION_BATCH) {
            self.suspects.remove(&part);
        }
    }
}
