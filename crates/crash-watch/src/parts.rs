//! Parts of prompts that crash servers, as known to one router.

use std::sync::Mutex;
use std::time::Duration;

use juniper_protocol::message::{PartCompletion, PartUpdate};
use juniper_quarantine::{
    COMPLETION_VALIDITY, CompletedParts, PartChange, PartCompletionReport, PartCrashReport,
    PartCrashes, UnrecordedQuarantine,
};
use juniper_registry::InstanceId;
use juniper_types::{NodeId, RequestFingerprint, Timestamp};

use crate::outbox::decode_part_crash;
use crate::watch::{lock, peer_record_delay};

/// Maximum number of parts in one report of a crash.
const MAX_REPORTED_PARTS: usize = 64;

/// Suspected, quarantined and recently completed parts of prompts.
#[derive(Default)]
pub(crate) struct PartWatch {
    crashes: Mutex<PartCrashes>,
    completed: Mutex<CompletedParts>,
}

impl PartWatch {
    pub(crate) fn quarantined<'a>(
        &self,
        parts: impl FnOnce() -> &'a [RequestFingerprint],
    ) -> Vec<RequestFingerprint> {
        let crashes = lock(&self.crashes);
        if crashes.is_empty() {
            return Vec::new();
        }
        parts().iter().filter(|part| crashes.is_quarantined(part)).copied().collect()
    }

    pub(crate) fn is_trial_due(&self, part: &RequestFingerprint, now: Timestamp) -> bool {
        lock(&self.crashes).is_trial_due(part, now)
    }

    /// Records a crash that this router has observed. Returns the reports for the other routers.
    pub(crate) fn record_own_crash(
        &self,
        instance: &InstanceId,
        at: Timestamp,
        parts: &[RequestFingerprint],
        trial: Option<RequestFingerprint>,
        now: Timestamp,
    ) -> Vec<PartCrashReport> {
        let suspected: Vec<RequestFingerprint> = {
            let completed = lock(&self.completed);
            let is_sound = |part| {
                let last = completed.last_completion(part);
                last.is_some_and(|last| at.since(last) < COMPLETION_VALIDITY)
            };
            parts.iter().filter(|part| !is_sound(*part)).copied().collect()
        };
        let reports: Vec<PartCrashReport> = suspected
            .chunks(MAX_REPORTED_PARTS)
            .map(|parts| PartCrashReport {
                instance: instance.clone(),
                age: now.since(at),
                parts: parts.to_vec(),
                trial,
            })
            .collect();
        for report in &reports {
            self.record_crash(report, now, Duration::ZERO, "own");
        }
        reports
    }

    fn record_crash(
        &self,
        report: &PartCrashReport,
        now: Timestamp,
        record_after: Duration,
        from: &str,
    ) {
        let changes = lock(&self.crashes).record_crash(report, now, record_after);
        if let Some(part) = report.trial {
            log::warn!(
                "event=part_trial_failed part={part} instance={} from={from}",
                report.instance
            );
        }
        log_changes(&changes, from);
    }

    /// Records that a prompt with these parts was answered completely. Returns the reports for the
    /// other routers.
    pub(crate) fn record_completion(
        &self,
        id: &str,
        parts: &[RequestFingerprint],
        now: Timestamp,
    ) -> Vec<PartCompletionReport> {
        let mut completed = lock(&self.completed);
        parts.iter().for_each(|part| completed.record(part, now));
        drop(completed);
        let mut crashes = lock(&self.crashes);
        if crashes.is_empty() {
            return Vec::new();
        }
        let mut reports = Vec::new();
        for part in parts {
            let Some((report, changes)) = crashes.record_completion(*part, now) else { continue };
            log::info!("event=part_cleared request={id} part={part}");
            log_changes(&changes, "own");
            reports.push(report);
        }
        reports
    }

    /// Applies an update of another router.
    pub(crate) fn apply_peer_update(&self, from: NodeId, update: &PartUpdate, now: Timestamp) {
        let from = from.to_string();
        for crash in &update.crashes {
            self.record_crash(&decode_part_crash(crash), now, peer_record_delay(), &from);
        }
        for PartCompletion { part, age_ms } in &update.completions {
            let age = Duration::from_millis(*age_ms);
            let report = PartCompletionReport { part: *part, age };
            let changes = lock(&self.crashes).apply_completion(&report, now, peer_record_delay());
            log_changes(&changes, &from);
        }
    }

    pub(crate) fn adopt(&self, part: RequestFingerprint, now: Timestamp) {
        lock(&self.crashes).adopt(part, now);
    }

    pub(crate) fn release(&self, part: &RequestFingerprint, now: Timestamp) {
        lock(&self.crashes).release(part, now);
    }

    pub(crate) fn has_suspects(&self) -> bool {
        lock(&self.crashes).has_suspects()
    }

    pub(crate) fn suspect_count(&self) -> usize {
        lock(&self.crashes).suspect_count()
    }

    /// Removes expired state. Returns the quarantines and releases that the replicas have to record.
    pub(crate) fn run_maintenance(
        &self,
        now: Timestamp,
    ) -> (Vec<UnrecordedQuarantine>, Vec<RequestFingerprint>) {
        let mut crashes = lock(&self.crashes);
        log_changes(&crashes.remove_expired(now), "expiry");
        (crashes.due_records(now), crashes.due_releases(now))
    }
}

fn log_changes(changes: &[PartChange], from: &str) {
    for change in changes {
        match change {
            PartChange::Quarantined(part, servers) => {
                let names: Vec<&str> = servers.iter().map(|server| server.as_str()).collect();
                log::warn!(
                    "event=part_quarantined part={part} from={from} crashes={} servers={}",
                    servers.len(),
                    names.join(",")
                );
            }
            PartChange::Released(part) => {
                log::info!("event=part_released part={part} from={from}");
            }
        }
    }
}

/// Joins fingerprints for logs.
pub(crate) fn join(fingerprints: impl Iterator<Item = RequestFingerprint>) -> String {
    let texts: Vec<String> = fingerprints.map(|fingerprint| fingerprint.to_string()).collect();
    texts.join(",")
}
