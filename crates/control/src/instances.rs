//! The servers that send their heartbeats to this replica.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use juniper_protocol::message::RenewalNews;
use juniper_registry::{HeardInstance, HeardInstances, InstanceReport, Intake};
use juniper_types::Timestamp;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// Silence after which a server counts as gone. Heartbeats come about every
/// second and may be late by some.
const SILENT_AFTER: Duration = Duration::from_secs(6);

/// Pace at which silence is looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// What this replica heard, and a number that tells of changes.
pub struct InstanceBoard {
    started: Instant,
    heard: Mutex<HeardInstances>,
    revision: watch::Sender<u64>,
    renewals: watch::Sender<Arc<RenewalNews>>,
}

impl Default for InstanceBoard {
    fn default() -> Self {
        InstanceBoard {
            started: Instant::now(),
            heard: Mutex::new(HeardInstances::new(SILENT_AFTER)),
            revision: watch::Sender::new(0),
            renewals: watch::Sender::new(Arc::default()),
        }
    }
}

impl InstanceBoard {
    fn lock(&self) -> MutexGuard<'_, HeardInstances> {
        self.heard.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO.after(self.started.elapsed())
    }

    /// Takes a heartbeat in.
    pub fn hear(&self, report: InstanceReport) {
        let described = format!(
            "instance={} service={} address={} zone={} state={:?} models={:?} sequence={}",
            report.id,
            report.service,
            report.address,
            report.zone,
            report.state,
            report.models.iter().map(|held| held.version).collect::<Vec<_>>(),
            report.sequence
        );
        let mut heard = self.lock();
        if heard.hear(report, self.now()) == Intake::News {
            log::info!("event=instance_heard {described}");
            self.revision.send_replace(heard.revision());
        }
    }

    /// What changed after `revision`, with the number of the latest change.
    pub fn changes_after(&self, revision: u64) -> (u64, Vec<HeardInstance>) {
        let heard = self.lock();
        (heard.revision(), heard.changes_after(revision))
    }

    /// Tells those who follow this replica which servers are being renewed.
    pub fn announce(&self, news: RenewalNews) {
        self.renewals.send_if_modified(|known| {
            let changed = **known != news;
            if changed {
                *known = Arc::new(news);
            }
            changed
        });
    }

    /// The servers that are being renewed.
    pub fn renewals(&self) -> watch::Receiver<Arc<RenewalNews>> {
        self.renewals.subscribe()
    }

    /// Tells of changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    fn expire(&self) {
        let mut heard = self.lock();
        let expired = heard.expire(self.now());
        for id in &expired {
            log::warn!("event=instance_silent instance={id} after_ms={}", SILENT_AFTER.as_millis());
        }
        if !expired.is_empty() {
            self.revision.send_replace(heard.revision());
        }
    }

    /// Looks for silent servers, for ever.
    pub async fn keep_expiring(&self) {
        let mut ticks = interval(EXPIRY_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.expire();
        }
    }
}
